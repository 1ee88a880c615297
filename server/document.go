package server

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
)

// fromDocument converts a configuration document to the types of the components
// that use it.
func fromDocument(d configurer.Document) Configuration {
	c := Configuration{
		Revision:     d.Revision,
		ModelClasses: make(map[identifier.Model]identifier.Class),
	}
	for _, class := range d.Classes {
		c.Classes = append(c.Classes, admitter.Class{
			Name:       class.Name,
			FirstToken: time.Duration(class.FirstToken),
			PerToken:   time.Duration(class.PerToken),
			Patience:   time.Duration(class.Patience),
		})
	}
	for _, p := range d.Pools {
		c.Pools = append(c.Pools, registrar.Pool{
			ID:         p.Name,
			Models:     p.Models,
			Prefix:     p.Prefix,
			Repeatable: p.Repeatable,
		})
		for _, m := range p.Models {
			if p.DefaultClass != "" {
				c.ModelClasses[m] = p.DefaultClass
			}
		}
	}
	for _, u := range d.Upstreams {
		c.Upstreams = append(c.Upstreams, registrar.Upstream{
			ID:         u.ID,
			Pool:       u.Pool,
			Role:       u.Role,
			DataCentre: u.DataCentre,
			Address:    u.Address,
			Pieces:     u.Pieces,
			Streams:    u.Streams,
			Leaving:    u.Retired,
		})
	}
	return c
}
