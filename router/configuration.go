package router

import (
	"time"

	"github.com/figtrack/figtrack/authorizer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/matcher"
	"github.com/figtrack/figtrack/tracker"
)

// Configuration is one accepted configuration. It is immutable.
type Configuration struct {
	// Revision grows with each new configuration.
	Revision identifier.Revision
	Routes   *matcher.Table
	// RouteCount is the number of routes.
	RouteCount int
	Pools      map[identifier.Pool]Pool
	Limits     Limits
	// Workspaces is nil if the configuration has none.
	Workspaces *authorizer.Table
}

// Pool holds the settings of one pool.
type Pool struct {
	// HasEngines is true if the pool has prefill and decode engines rather
	// than plain services.
	HasEngines bool
	// Memory is the number of tokens that one decode engine of the pool holds,
	// Slots the number of requests that it runs at once. Both are zero without
	// engines.
	Memory identifier.Tokens
	Slots  int
	// Switch is how long an engine is unavailable while it changes its role.
	Switch time.Duration
	// LongestStream is the longest timeout of the pool's resumable streams; zero without
	// any.
	LongestStream time.Duration
	// MaxConns is the most connections to one runner from all VMs together.
	MaxConns int
}

// Limits bound the size and the timing of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is a decoded entry of the store. The set is sealed.
type Document interface{ document() }

// Configured holds a new configuration.
type Configured struct{ Configuration *Configuration }

// Registered holds the entry of an upstream that has registered itself.
type Registered struct{ Runner tracker.Runner }

// Deregistered reports that an upstream's entry was removed.
type Deregistered struct {
	ID  identifier.Upstream
	Age keeper.Age
}

// Foreign is an entry that the router doesn't use.
type Foreign struct{}

func (Configured) document()   {}
func (Registered) document()   {}
func (Deregistered) document() {}
func (Foreign) document()      {}
