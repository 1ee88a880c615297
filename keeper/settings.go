package keeper

import (
	"net/http"
	"time"

	"github.com/figtrack/figtrack/poster"
)

// The defaults of Settings.
const (
	// DefaultTimeout is the deadline of one call.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxWait is the longest wait for a purpose's share.
	DefaultMaxWait = 500 * time.Millisecond
	// DefaultWatchFor is the longest life of one watch.
	DefaultWatchFor = time.Minute
)

// Share is the rate that one VM may use for one purpose.
type Share struct {
	// ReadsPerSecond and WritesPerSecond are calls a second. A watch that is
	// opened counts as a read.
	ReadsPerSecond, WritesPerSecond float64
	// ReadBurst and WriteBurst are the calls that may be made at once.
	ReadBurst, WriteBurst int
}

// Settings are what a Client needs.
type Settings struct {
	// Endpoints are the base URLs of the service, in order of preference.
	// There is at least one.
	Endpoints []string
	// Timeout is the deadline of each call.
	Timeout time.Duration
	// MaxWait is the longest time that a call waits for its purpose's share.
	MaxWait time.Duration
	// WatchFor is the longest life of a watch, after which its channel is
	// closed, so that a silent connection is not relied on for longer.
	WatchFor time.Duration
	// Shares holds the rates by purpose. A purpose without a share may not
	// make calls.
	Shares map[Purpose]Share
	// Client carries the calls and has no timeout of its own; nil means a
	// client of poster's.
	Client *http.Client
}

// DefaultShares returns the rates of one VM in a deployment of up to ten.
// Claims are written by the leaders of the claim shards only, so that their
// sum doesn't grow with the VMs; the share lets one VM lead all of them.
func DefaultShares() map[Purpose]Share {
	return map[Purpose]Share{
		PurposeConfiguration: {ReadsPerSecond: 4, WritesPerSecond: 2, ReadBurst: 16, WriteBurst: 4},
		PurposeClaim:         {ReadsPerSecond: 60, WritesPerSecond: 110, ReadBurst: 60, WriteBurst: 30},
		PurposeFence:         {ReadsPerSecond: 4, WritesPerSecond: 2, ReadBurst: 8, WriteBurst: 4},
		PurposeMembership:    {ReadsPerSecond: 2, WritesPerSecond: 1, ReadBurst: 8, WriteBurst: 4},
	}
}

func (cfg Settings) withDefaults() Settings {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = DefaultMaxWait
	}
	if cfg.WatchFor <= 0 {
		cfg.WatchFor = DefaultWatchFor
	}
	if cfg.Shares == nil {
		cfg.Shares = DefaultShares()
	}
	if cfg.Client == nil {
		cfg.Client = poster.NewClient()
	}
	return cfg
}
