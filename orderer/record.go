package orderer

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Record is the last order of one runner, as kept in the store. It is written
// before the order is sent, so the fencing tokens of a runner's orders increase
// in the order in which their issuers wrote the record.
type Record struct {
	Issuer      identifier.VM
	Incarnation identifier.Incarnation
	// Fence is the fencing token of the order. It only increases.
	Fence identifier.Fence
	// Revision is the revision of the configuration that led to the order.
	// It never decreases.
	Revision identifier.Revision
	// Adapters are the adapters of the order. They are kept here because
	// engines don't report theirs.
	Adapters []string `json:",omitempty"`
}

// DecodeRecord decodes a record. An empty value is the zero record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode order record")
}

// Encode returns the record as kept in the store.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// Budget counts the weight loads that the fleet has started in one time
// window.
type Budget struct {
	// Window is the number of the window: the whole multiples of
	// BudgetWindow since the Unix epoch (1970).
	Window int64
	// Begun is the number of loads started in the window.
	Begun int
}

// BudgetWindow is the length of one budget window.
const BudgetWindow = time.Minute

// TryCharge counts one more load and returns true, unless the window has
// reached the limit. A VM whose clock is behind counts in the window of the
// record.
func (b Budget) TryCharge(now time.Time, limit int) (Budget, bool) {
	window := now.Unix() / int64(BudgetWindow/time.Second)
	if window > b.Window {
		b = Budget{Window: window}
	}
	if b.Begun >= limit {
		return b, false
	}
	b.Begun++
	return b, true
}

// NextWindowStart returns the start of the window after that of the record.
func (b Budget) NextWindowStart() time.Time {
	return time.Unix((b.Window+1)*int64(BudgetWindow/time.Second), 0)
}

// DecodeBudget decodes a budget. An empty value is the zero budget.
func DecodeBudget(value []byte) (Budget, error) {
	var b Budget
	if len(value) == 0 {
		return b, nil
	}
	err := json.Unmarshal(value, &b)
	return b, errors.Wrap(err, "decode load budget")
}

// Encode returns the budget as kept in the store.
func (b Budget) Encode() []byte {
	value, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return value
}
