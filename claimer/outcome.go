package claimer

import (
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Outcome is a decision of the core. Only this package implements it.
type Outcome interface{ outcome() }

// Verdict is the result of an ask.
type Verdict string

// The verdicts.
const (
	// VerdictGranted lets the holder send the request once.
	VerdictGranted Verdict = "Granted"
	// VerdictTaken means that the same request was claimed before.
	VerdictTaken Verdict = "Taken"
	// VerdictTakenOtherBody means that the key was claimed for another body.
	VerdictTakenOtherBody Verdict = "TakenOtherBody"
	// VerdictUnavailable means that nothing was sent, but the key may have
	// been claimed.
	VerdictUnavailable Verdict = "Unavailable"
	// VerdictExpired means that the key's time is older than Retention or in
	// the future.
	VerdictExpired Verdict = "Expired"
)

// Reason is the reason for an Unavailable verdict.
type Reason string

// The reasons.
const (
	// ReasonStoreDown means that the last store call failed.
	ReasonStoreDown Reason = "StoreDown"
	// ReasonBusy means that too many asks wait.
	ReasonBusy Reason = "Busy"
	// ReasonTimeout means that there was no verdict in time.
	ReasonTimeout Reason = "Timeout"
	// ReasonFull means that the record has no room for more claims.
	ReasonFull Reason = "Full"
	// ReasonDamaged means that the record can't be decoded or has a gap.
	ReasonDamaged Reason = "Damaged"
	// ReasonNoLeader means that no leader of the shard answered.
	ReasonNoLeader Reason = "NoLeader"
)

// Answer is the verdict on one ask. The request may be sent only if it is
// Granted.
type Answer struct {
	Holder  Holder
	Verdict Verdict
	// Reason is empty unless the verdict is Unavailable.
	Reason Reason
}

// List asks the shell for the store's values below a prefix. It is answered by
// Listed.
type List struct {
	Call   uint64
	Prefix string
}

// Swap asks the shell for a compare-and-swap of a value in the store. It is
// answered by Swapped.
type Swap struct {
	Call     uint64
	Key      string
	Expected keeper.Version
	Value    []byte
}

// WakeAt asks for a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (Answer) outcome() {}
func (List) outcome()   {}
func (Swap) outcome()   {}
func (WakeAt) outcome() {}
