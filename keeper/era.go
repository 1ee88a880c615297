package keeper

import (
	"cmp"

	"github.com/pkg/errors"
)

// Era numbers the histories of a store. It rises by one each time the store
// comes back from a copy that lacks some of the writes and leases that it has
// acknowledged. The versions and leases of that history are then issued again,
// so that those of different eras can't be compared. Zero means that the store
// states no era.
type Era int64

// Age orders writes: by era first, then by the version within the era.
type Age struct {
	Era     Era
	Version Version
}

// Compare returns a negative number if a is older than b, zero if they are the
// same write, and a positive number if a is newer.
func (a Age) Compare(b Age) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Version, b.Version))
}

// EraOf returns the era that the answer behind a failed call stated, or zero if
// there was no answer.
func EraOf(err error) Era {
	var e *Error
	if errors.As(err, &e) {
		return e.Era
	}
	return 0
}
