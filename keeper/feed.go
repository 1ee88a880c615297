package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted is returned when the service has dropped the history of changes
// that was asked for. The caller has to list the keys again.
var ErrCompacted = errors.New("the store has dropped the history after this version; list the keys again")

// ErrHistoryTooLong is returned when the changes after a version take longer to
// arrive than MaxHistoryTransfer. The current entries may be far less.
var ErrHistoryTooLong = errors.New("the changes after this version take too long to arrive; read the entries instead")

// MaxHistoryTransfer bounds the time from the first to the last byte of the changes
// after a version.
const MaxHistoryTransfer = 800 * time.Millisecond

// MaxListTransfer bounds the time from the first to the last byte of one answer to a read, so
// that one of which a byte comes now and then ends. The narrowest link, of 10 Mbit/s, carries the
// longest answer in half of it.
const MaxListTransfer = time.Minute

// ErrRateLimited is returned when the service refuses a call because there are too many.
var ErrRateLimited = errors.New("the store refuses this call as there are too many; call it less often")

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
	// Bytes is the number of bytes that were read for it.
	Bytes int
}

// Changes holds the writes and deletions of keys that start with a prefix, in
// order. A deletion has a nil Value and the version of the deletion.
type Changes struct {
	Entries []Entry
	// At is the version after which the next changes have to be read.
	At Version
	// Era is the era of all entries and of At.
	Era Era
	// Bytes is the number of bytes that were read for it.
	Bytes int
	// Transfer is the time from its first byte to its last.
	Transfer time.Duration
}

// Feed reads a store by polling: changes are asked for one call at a time, so
// that each call has its own deadline.
type Feed interface {
	// Snapshot returns the entries whose keys start with prefix and come after the key
	// after. If it fails, it returns those that have arrived, in the order of keys.
	Snapshot(ctx context.Context, purpose Purpose, prefix, after string) (Snapshot, error)
	// Changes returns the changes after a version and waits up to wait if there
	// are none yet. It returns ErrCompacted if the service no longer has the
	// history after that version, and ErrHistoryTooLong if that history takes longer
	// than MaxHistoryTransfer to arrive.
	Changes(ctx context.Context, purpose Purpose, prefix string, after Version, wait time.Duration) (Changes, error)
}
