// Package matcher finds the route of a request by its host and path.
package matcher

import (
	"net"
	"strings"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Kind is the kind of a route: whether its requests may run more than once and
// whether their answers are streams.
type Kind string

// The kinds of routes.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "Repeatable"
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce Kind = "AtMostOnce"
	// KindStream requests are answered by a stream of events and run at most
	// once, unless the route is resumable.
	KindStream Kind = "Stream"
)

// Share is the weight of one pool in the distribution of a route's requests.
type Share struct {
	Pool identifier.Pool
	// Weight is relative to the sum of the route's weights; at least 0.
	Weight int
}

// Route holds the settings of the requests to one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable is true if a broken stream may be continued on another runner.
	Resumable bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Target is the time within which an answer, or its first event, is on
	// time.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// MaxAttempts is the most runs of one request; at least 1.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// IsPublic is true if requests need no API key.
	IsPublic bool
	// Shares has at least one entry.
	Shares []Share
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r Route) IsRepeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// ChoosePool chooses a pool with a probability in proportion to its weight;
// draw is a uniform random number in [0, 1). If all weights are zero it returns
// the first pool.
func (r Route) ChoosePool(draw float64) identifier.Pool {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Shares[0].Pool
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Table holds the routes of one configuration. It is immutable.
type Table struct {
	// hosts holds the routes by lower-case host and by prefix.
	hosts map[string]map[string]Route
}

// New returns a table of routes. If two routes have the same host and prefix,
// the later one is used.
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

// Match returns the route of the host whose prefix is the longest prefix of
// path. The host may include a port.
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
