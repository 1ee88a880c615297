package router

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/matcher"
	"github.com/figtrack/figtrack/tracker"
)

// Configuration is one accepted configuration. It is not changed.
type Configuration struct {
	// Revision only rises.
	Revision identifier.Revision
	Routes   *matcher.Table
	// Count is the number of routes.
	Count  int
	Pools  map[identifier.Pool]Pool
	Limits Limits
}

// Pool is what the configuration says of a pool.
type Pool struct {
	// HasEngines says that its runners read prompts and decode.
	HasEngines bool
	// Memory is the tokens that one of its engines holds, Slots the requests
	// that run at once on it. Both are zero without engines.
	Memory identifier.Tokens
	Slots  int
	// Switch is how long an engine is away when its role changes.
	Switch time.Duration
	// MaxConns is the most connections to one runner from the whole fleet.
	MaxConns int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is what an entry of the store says. The set is sealed.
type Document interface{ document() }

// Settled carries a configuration.
type Settled struct{ Configuration *Configuration }

// Registered carries an upstream's own entry.
type Registered struct{ Runner tracker.Runner }

// Deregistered says that an upstream's entry was removed.
type Deregistered struct {
	ID      identifier.Upstream
	Version int64
}

// Foreign is an entry of no concern to the router.
type Foreign struct{}

func (Settled) document()      {}
func (Registered) document()   {}
func (Deregistered) document() {}
func (Foreign) document()      {}
