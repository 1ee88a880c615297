package orderer

import (
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// Wake lets the core act on what has become due.
type Wake struct{}

// Wanted replaces the runners of which this VM is the owner, and what each
// of them should serve by the configuration of a revision.
type Wanted struct {
	Revision identifier.Revision
	Runners  []Want
}

// Want is what one runner should serve.
type Want struct {
	Upstream identifier.Upstream
	Pool     identifier.Pool
	Serving
	// ChecksFence says that the engine refuses orders with an old number.
	ChecksFence bool
}

// Serving is what a runner serves. Its slices are sorted. In a Want, no
// models or no version leave them as the runner has them.
type Serving struct {
	Models   []identifier.Model
	Adapters []string
	Version  string
	Role     identifier.Role
}

// EngineRead answers a ReadEngine. An engine does not say its adapters.
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
	// Attempt is that of the SwapRecord.
	Attempt uint64
	Written bool
	Err     error
}

// BudgetAnswered answers a TakeBudget.
type BudgetAnswered struct {
	Upstream identifier.Upstream
	Granted  bool
	// Retry is when a slot may be free, if none was granted.
	Retry time.Time
	Err   error
}

// Drained reports that a draining runner holds no request any more, neither
// by its own load report nor by its owner's ledger.
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

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// ReadEngine asks for an order with this number and no fields, which changes
// nothing and returns what the runner serves.
type ReadEngine struct {
	Upstream identifier.Upstream
	Fence    identifier.Fence
}

// ReadRecord asks for the record of a runner's last order.
type ReadRecord struct{ Upstream identifier.Upstream }

// SwapRecord asks to write the record if its version is the expected one.
type SwapRecord struct {
	Upstream identifier.Upstream
	// Attempt is never used again in this incarnation.
	Attempt  uint64
	Expected keeper.Version
	Record   Record
}

// TakeBudget asks for one load from the weight store.
type TakeBudget struct{ Upstream identifier.Upstream }

// Drain starts or ends the time in which a runner gets no new work.
type Drain struct {
	Upstream identifier.Upstream
	On       bool
}

// Issue asks to send an order. It must be sent at once and not be repeated.
type Issue struct {
	Upstream identifier.Upstream
	Order    driver.Order
}

// Settled reports that a runner serves what it should.
type Settled struct {
	Upstream identifier.Upstream
	Revision identifier.Revision
	// Ordered says that an order of this VM was needed for it.
	Ordered bool
}

// Deferred reports why a runner does not serve yet what it should.
type Deferred struct {
	Upstream identifier.Upstream
	Reason   Reason
	Until    time.Time
}

// Reason says in one word why an order waits.
type Reason string

// The reasons to wait.
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

// WakeAt asks for a Wake at a time. A later WakeAt replaces it.
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
