// Package keeper is the client of the platform's key-value service.
//
// Every call has a deadline and counts against the rate of its purpose, so that
// the sum of all calls stays within the limits of the service.
package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Purpose names what a call is made for. Each purpose has its own rate and its
// own label value in the metrics.
type Purpose string

// The purposes of calls.
const (
	PurposeConfiguration Purpose = "Configuration"
	PurposeClaim         Purpose = "Claim"
	PurposeFence         Purpose = "Fence"
	PurposeMembership    Purpose = "Membership"
)

// Version is the service's revision at which a value was written. It rises with
// each write; zero means that there is no value.
type Version int64

// Entry holds a key with its value and the version of the value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Era is the era of the answer that held the entry. The value may have been
	// written in an earlier one.
	Era Era
}

// Age returns the age of the entry.
func (e Entry) Age() Age { return Age{e.Era, e.Version} }

// String implements fmt.Stringer. It leaves out the value, which may hold API keys: events
// with entries are logged when a core panics.
func (e Entry) String() string {
	return fmt.Sprintf("{Key:%s Version:%d Era:%d Bytes:%d}", e.Key, e.Version, e.Era, len(e.Value))
}

// Lease is the ID of a lease. Values that were written with a lease are deleted
// when it expires; zero stands for no lease.
type Lease int64

// Store is the platform's key-value service. An error of type *Error tells
// whether a write may have taken effect. All methods are safe for concurrent
// use.
type Store interface {
	// Get returns the entry of a key; its Version is zero if there is no value.
	Get(ctx context.Context, purpose Purpose, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error)
	// Swap writes value if the current version is expected, where zero stands
	// for no value. It returns the current entry and whether this call wrote it.
	// If the reply is lost, it reads the key back to find out; this requires
	// that no other writer writes the same value.
	Swap(ctx context.Context, purpose Purpose, key string, expected Version, value []byte) (Entry, bool, error)
	// Grant creates a lease.
	Grant(ctx context.Context, purpose Purpose, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease; an error of KindNotDone means that the lease has
	// expired.
	KeepAlive(ctx context.Context, purpose Purpose, lease Lease) error
	// SwapLeased is Swap with a value that is deleted when the lease expires.
	SwapLeased(ctx context.Context, purpose Purpose, key string, expected Version, value []byte, lease Lease) (Entry, bool, error)
	// Watch sends the changes after a version of keys that start with prefix. The
	// channel is closed when ctx ends, the connection breaks or the watch
	// reaches its maximum duration. A deletion has a nil Value and the version
	// of the deletion.
	Watch(ctx context.Context, purpose Purpose, prefix string, after Version) (<-chan Entry, error)
}

// Kind tells what is known of the effect of a failed call. It is the value of a
// metric label.
type Kind string

// The kinds of errors.
const (
	// KindNotDone means that the call had no effect.
	KindNotDone Kind = "NotDone"
	// KindUnknown means that a write may have taken effect.
	KindUnknown Kind = "Unknown"
)

// Error is the error of a failed call.
type Error struct {
	Kind Kind
	// Era is the era that the answer stated; zero without an answer.
	Era Era
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "store: " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a failed call, or KindUnknown if err wraps no
// *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
