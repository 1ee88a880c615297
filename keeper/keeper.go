// Package keeper is the client of the platform's key-value service.
//
// Every call has a deadline and is counted under its purpose, so that the
// sum of all calls stays inside the service's rates.
package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Purpose names who makes a call, for the budget.
type Purpose string

// The purposes of calls.
const (
	PurposeConfiguration Purpose = "Configuration"
	PurposeClaim         Purpose = "Claim"
	PurposeFence         Purpose = "Fence"
	PurposeMembership    Purpose = "Membership"
)

// Version is the service's version of a value. It rises with each write;
// zero means that there is no value.
type Version int64

// Entry is one value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// Lease is the id of a lease.
type Lease int64

// Store is the platform's service. An error of type *Error says whether a
// write may have taken effect. All methods are safe for several goroutines.
type Store interface {
	// Get returns a value; Version is zero if there is none.
	Get(ctx context.Context, purpose Purpose, key string) (Entry, error)
	// List returns the values whose keys start with prefix, in key order.
	List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error)
	// Swap writes value if the present version is expected (zero: no value).
	// It returns the entry that stands afterwards and whether it was written
	// by this call. A lost reply is settled by reading back, where the value
	// is unique to the writer.
	Swap(ctx context.Context, purpose Purpose, key string, expected Version, value []byte) (Entry, bool, error)
	// Grant makes a lease.
	Grant(ctx context.Context, purpose Purpose, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease; an error of KindNotDone means it has lapsed.
	KeepAlive(ctx context.Context, purpose Purpose, lease Lease) error
	// SwapLeased is Swap with a value that goes when the lease lapses.
	SwapLeased(ctx context.Context, purpose Purpose, key string, expected Version, value []byte, lease Lease) (Entry, bool, error)
	// Watch sends the changes below prefix after a version until ctx ends, the
	// watch breaks or has lived for its longest time; then the channel is
	// closed. A deletion comes with a nil Value and its own version.
	Watch(ctx context.Context, purpose Purpose, prefix string, after Version) (<-chan Entry, error)
}

// Kind says what is known after a failed call.
type Kind string

// The kinds of errors.
const (
	// KindNotDone means that the call had no effect.
	KindNotDone Kind = "NotDone"
	// KindUnknown means that a write may have taken effect.
	KindUnknown Kind = "Unknown"
)

// Error is the outcome of a failed call.
type Error struct {
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return "store: " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a failed call; KindUnknown for an error that says
// none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
