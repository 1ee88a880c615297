package orderer

import (
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Event is an input of the core. The set is sealed.
type Event interface{ event() }

// Wake makes the core handle the runners that have become due.
type Wake struct{}

// Wanted replaces the runners owned by this VM and the serving state that the
// configuration of the given revision asks of each.
type Wanted struct {
	Revision identifier.Revision
	Runners  []Want
}

// Want is the serving state that the configuration asks of one runner.
type Want struct {
	Upstream identifier.Upstream
	Pool     identifier.Pool
	Serving
	// ChecksFence is true if the engine refuses orders with an old fencing
	// token.
	ChecksFence bool
}

// Serving is what a runner serves. Its slices are sorted. In a Want, empty
// Models or an empty Version leave the runner's own unchanged.
type Serving struct {
	Models   []identifier.Model
	Adapters []string
	Version  string
	Role     identifier.Role
}

// EngineRead answers a ReadEngine. Its result lacks the adapters, which
// engines don't report.
type EngineRead struct {
	Upstream identifier.Upstream
	Result   driver.OrderResult
	Err      error
}

// RecordRead answers a ReadRecord.
type RecordRead struct {
	Upstream identifier.Upstream
	Record   Record
	Version  keeper.Version
	Err      error
}

// RecordSwapped answers a SwapRecord.
type RecordSwapped struct {
	Upstream identifier.Upstream
	// Attempt is the Attempt of the SwapRecord that this answers.
	Attempt uint64
	Written bool
	Err     error
}

// BudgetAnswered answers a TakeBudget.
type BudgetAnswered struct {
	Upstream identifier.Upstream
	Granted  bool
	// Retry is when the next load may be granted, if Granted is false.
	Retry time.Time
	Err   error
}

// Drained reports that a draining runner has no requests left, by both its own
// load report and its owner's ledger.
type Drained struct{ Upstream identifier.Upstream }

// Ordered answers an Issue.
type Ordered struct {
	Upstream identifier.Upstream
	Result   driver.OrderResult
	Err      error
}

func (Wake) event()           {}
func (Wanted) event()         {}
func (EngineRead) event()     {}
func (RecordRead) event()     {}
func (RecordSwapped) event()  {}
func (BudgetAnswered) event() {}
func (Drained) event()        {}
func (Ordered) event()        {}

// Outcome is an action or report that the core asks of the shell. The set is
// sealed.
type Outcome interface{ outcome() }

// ReadEngine requests an order with this fencing token and no fields. Such an
// order changes nothing and returns what the runner serves.
type ReadEngine struct {
	Upstream identifier.Upstream
	Fence    identifier.Fence
}

// ReadRecord requests the record of a runner's last order from the store.
type ReadRecord struct{ Upstream identifier.Upstream }

// SwapRecord requests a write of the record if the store still has it at the
// expected version.
type SwapRecord struct {
	Upstream identifier.Upstream
	// Attempt is unique within this incarnation.
	Attempt  uint64
	Expected keeper.Version
	Record   Record
}

// TakeBudget requests one load from the weight store, out of the fleet's budget.
type TakeBudget struct{ Upstream identifier.Upstream }

// Drain starts or ends the draining of a runner, which gets no new work
// meanwhile.
type Drain struct {
	Upstream identifier.Upstream
	On       bool
}

// Issue requests that an order be sent, at once and without retries.
type Issue struct {
	Upstream identifier.Upstream
	Order    driver.Order
}

// Settled reports that a runner serves what it should.
type Settled struct {
	Upstream identifier.Upstream
	Revision identifier.Revision
	// Ordered is true if this VM had to send an order for it.
	Ordered bool
}

// Deferred reports why a runner doesn't serve what it should yet, and until
// when it is postponed.
type Deferred struct {
	Upstream identifier.Upstream
	Reason   Reason
	Until    time.Time
}

// Reason is the reason why an order is deferred.
type Reason string

// The reasons why an order is deferred.
const (
	ReasonEngineDown    Reason = "EngineDown"
	ReasonStoreDown     Reason = "StoreDown"
	ReasonBudget        Reason = "Budget"
	ReasonDraining      Reason = "Draining"
	ReasonEarlierIssuer Reason = "EarlierIssuer"
	ReasonOlderRevision Reason = "OlderRevision"
	ReasonRefused       Reason = "Refused"
	ReasonNoEffect      Reason = "NoEffect"
	ReasonRaced         Reason = "Raced"
	ReasonPaused        Reason = "Paused"
)

// WakeAt requests a Wake at a given time. It replaces earlier requests.
type WakeAt struct{ At time.Time }

func (ReadEngine) outcome() {}
func (ReadRecord) outcome() {}
func (SwapRecord) outcome() {}
func (TakeBudget) outcome() {}
func (Drain) outcome()      {}
func (Issue) outcome()      {}
func (Settled) outcome()    {}
func (Deferred) outcome()   {}
func (WakeAt) outcome()     {}
