package orderer

import (
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
)

// WantedOf returns the serving state that the configuration d asks of the
// owned runners. It leaves out plain services, retired runners and runners of
// pools that d doesn't describe; these get no orders.
func WantedOf(d configurer.Document, owned []identifier.Upstream) Wanted {
	w := Wanted{Revision: d.Revision}
	for _, id := range owned {
		u, ok := d.Upstream(id)
		if !ok || u.Retired || u.Role == identifier.RolePlain {
			continue
		}
		p, ok := d.Pool(u.Pool)
		if !ok {
			continue
		}
		serving := Serving{Models: p.Models, Adapters: p.Adapters, Version: p.Version, Role: u.Role}
		w.Runners = append(w.Runners, Want{Upstream: id, Pool: u.Pool, Serving: serving, ChecksFence: u.ChecksFence})
	}
	return w
}
