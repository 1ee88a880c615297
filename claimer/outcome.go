package claimer

import (
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Outcome is what the core decides. The set is sealed.
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
	// VerdictUnavailable means that nothing was sent; the key may be spent.
	VerdictUnavailable Verdict = "Unavailable"
	// VerdictExpired means that the key's time is older than Retention or in
	// the future.
	VerdictExpired Verdict = "Expired"
)

// Reason says why a verdict is Unavailable.
type Reason string

// The reasons.
const (
	ReasonStoreDown Reason = "StoreDown"
	ReasonBusy      Reason = "Busy"
	ReasonTimeout   Reason = "Timeout"
	ReasonFull      Reason = "Full"
	ReasonDamaged   Reason = "Damaged"
	ReasonNoLeader  Reason = "NoLeader"
)

// Answer is the verdict for one ask. Only Granted may be followed by a send.
type Answer struct {
	Holder  Holder
	Verdict Verdict
	// Reason is empty unless the verdict is Unavailable.
	Reason Reason
}

// List asks for the store's values below a prefix, answered by Listed.
type List struct {
	Call   uint64
	Prefix string
}

// Swap asks for a compare-and-swap, answered by Swapped.
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
