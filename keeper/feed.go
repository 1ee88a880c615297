package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrForgotten says that the service has dropped the history asked for.
var ErrForgotten = errors.New("the store has dropped the history after this version; list the keys again")

// ErrLapsed says that a lease has ended.
var ErrLapsed = errors.New("the lease has ended; ask for a new one")

// Snapshot is what stands below a prefix.
type Snapshot struct {
	Entries []Entry
	// At is a version from which on every later change is in the history.
	At Version
}

// Changes are what was written below a prefix, in order. A deletion has a nil
// Value and its own version.
type Changes struct {
	Entries []Entry
	// At is the version to go on from.
	At Version
}

// Feed is the reading side of a store whose changes are asked for one call at
// a time, so that each call has its own deadline.
type Feed interface {
	// Snapshot returns all entries whose keys start with prefix.
	Snapshot(ctx context.Context, purpose Purpose, prefix string) (Snapshot, error)
	// Changes waits up to wait for changes after a version. It returns
	// ErrForgotten where the history is gone.
	Changes(ctx context.Context, purpose Purpose, prefix string, after Version, wait time.Duration) (Changes, error)
}
