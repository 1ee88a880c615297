// Package matcher finds the route of a request by its host and path.
package matcher

import (
	"net"
	"strings"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Kind says how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "Repeatable"
	// KindAtMostOnce requests run once or not at all.
	KindAtMostOnce Kind = "AtMostOnce"
	// KindStream requests are answered by a series of events and run at most
	// once, unless the route is resumable.
	KindStream Kind = "Stream"
)

// Share is a pool's part of a route's requests.
type Share struct {
	Pool identifier.Pool
	// Weight is the part relative to the other shares; at least 0.
	Weight int
}

// Route is what the configuration says of a group of requests.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable says that a broken stream may go on at another runner.
	Resumable bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Target is the time within which an answer, or its first event, is on
	// time.
	Target time.Duration
	// Gap is the longest pause between two events that is on time.
	Gap time.Duration
	// MaxAttempts is the most runners that may run one request; at least 1.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Shares has at least one entry.
	Shares []Share
}

// Repeatable says that a request of the route may run again.
func (r Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Pool chooses a pool by weight; draw is uniform in [0, 1).
func (r Route) Pool(draw float64) identifier.Pool {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Shares[0].Pool
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Table holds the routes of one configuration. It is not changed after New.
type Table struct {
	// hosts holds the routes by host in lower case and by prefix.
	hosts map[string]map[string]Route
}

// New returns the table of routes. Of two with the same host and prefix the
// later one counts.
func New(routes []Route) *Table {
	t := &Table{hosts: map[string]map[string]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	return t
}

// Match returns the route with the longest prefix of path among those of the
// host, which may carry a port.
func (t *Table) Match(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes := t.hosts[strings.ToLower(host)]
	for len(routes) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			break
		}
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
		path = path[:end]
	}
	return Route{}, false
}
