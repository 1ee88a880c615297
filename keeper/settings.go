package keeper

import (
	"net/http"
	"time"

	"github.com/figtrack/figtrack/poster"
)

// Defaults of Settings.
const (
	// DefaultTimeout bounds one call.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxWait bounds the wait for the rate of a purpose.
	DefaultMaxWait = 500 * time.Millisecond
	// DefaultMaxWatchDuration is the maximum duration of one watch.
	DefaultMaxWatchDuration = time.Minute
)

// Share holds the rates of calls that one VM may make for one purpose.
type Share struct {
	// ReadsPerSecond and WritesPerSecond are the sustained rates in calls per
	// second. Opening a watch counts as a read, granting and renewing a lease as
	// a write.
	ReadsPerSecond, WritesPerSecond float64
	// ReadBurst and WriteBurst are the numbers of calls that may be made at once.
	ReadBurst, WriteBurst int
}

// Settings configures a Client. Unset fields get their defaults, but for
// Endpoints.
type Settings struct {
	// Endpoints are the base URLs of the service, in order of preference.
	// There is at least one.
	Endpoints []string
	// Timeout bounds each write, the opening of a watch, and in a read the wait for the
	// first and for each further byte.
	Timeout time.Duration
	// MaxWait bounds the wait for the rate of a purpose. A call that would wait
	// longer fails without being sent.
	MaxWait time.Duration
	// MaxWatchDuration is the maximum duration of a watch, after which its
	// channel is closed: a connection that broke without notice is then
	// replaced.
	MaxWatchDuration time.Duration
	// Shares holds the rates by purpose. Calls of a purpose without an entry
	// fail.
	Shares map[Purpose]Share
	// Client sends the requests. It must have no timeout, as that would end
	// watches; nil stands for poster.NewClient().
	Client *http.Client
}

// DefaultShares returns the rates of one VM in a deployment of up to ten VMs.
// Only the leaders of the claim shards write claims, so that their sum doesn't
// grow with the number of VMs; PurposeClaim suffices for one VM that leads all
// shards.
func DefaultShares() map[Purpose]Share {
	return map[Purpose]Share{
		PurposeConfiguration: {ReadsPerSecond: 4, WritesPerSecond: 2, ReadBurst: 16, WriteBurst: 4},
		PurposeClaim:         {ReadsPerSecond: 60, WritesPerSecond: 110, ReadBurst: 60, WriteBurst: 30},
		PurposeFence:         {ReadsPerSecond: 4, WritesPerSecond: 2, ReadBurst: 8, WriteBurst: 4},
		PurposeMembership:    {ReadsPerSecond: 2, WritesPerSecond: 1, ReadBurst: 8, WriteBurst: 4},
	}
}

// withDefaults returns a copy of the settings with defaults in unset fields.
func (cfg Settings) withDefaults() Settings {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = DefaultMaxWait
	}
	if cfg.MaxWatchDuration <= 0 {
		cfg.MaxWatchDuration = DefaultMaxWatchDuration
	}
	if cfg.Shares == nil {
		cfg.Shares = DefaultShares()
	}
	if cfg.Client == nil {
		cfg.Client = poster.NewClient()
	}
	return cfg
}
