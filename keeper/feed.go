package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted is returned when the service has dropped the history of changes
// that was asked for. The caller has to list the keys again.
var ErrCompacted = errors.New("the store has dropped the history after this version; list the keys again")

// ErrLeaseExpired is returned when a lease has expired.
var ErrLeaseExpired = errors.New("the lease has ended; ask for a new one")

// Snapshot holds the current entries whose keys start with a prefix.
type Snapshot struct {
	Entries []Entry
	// At is the version after which changes have to be read. Entries may already
	// hold some of these changes.
	At Version
	// Era is the era of all entries and of At.
	Era Era
}

// Changes holds the writes and deletions of keys that start with a prefix, in
// order. A deletion has a nil Value and the version of the deletion.
type Changes struct {
	Entries []Entry
	// At is the version after which the next changes have to be read.
	At Version
	// Era is the era of all entries and of At.
	Era Era
}

// Feed reads a store by polling: changes are asked for one call at a time, so
// that each call has its own deadline.
type Feed interface {
	// Snapshot returns all entries whose keys start with prefix.
	Snapshot(ctx context.Context, purpose Purpose, prefix string) (Snapshot, error)
	// Changes returns the changes after a version and waits up to wait if there
	// are none yet. It returns ErrCompacted if the service no longer has the
	// history after that version.
	Changes(ctx context.Context, purpose Purpose, prefix string, after Version, wait time.Duration) (Changes, error)
}
