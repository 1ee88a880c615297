package orderer

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Record is the last order of one runner, as the store holds it. It is
// written before the order is sent, so that the numbers of a runner's orders
// rise in the order in which their issuers took the record.
type Record struct {
	Issuer      identifier.VM
	Incarnation identifier.Incarnation
	// Fence is the number of the order. It only rises.
	Fence identifier.Fence
	// Revision is that of the configuration behind the order. It never
	// falls.
	Revision identifier.Revision
	// Adapters are those of the order, as engines do not say theirs.
	Adapters []string `json:",omitempty"`
}

// DecodeRecord reads a record; no value is the zero record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode order record")
}

// Encode writes the record.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// Budget counts the loads from the weight store that the fleet has begun in
// one window of time.
type Budget struct {
	// Window numbers the windows of BudgetWindow since 1970.
	Window int64
	Begun  int
}

// BudgetWindow is the length of one window of the budget.
const BudgetWindow = time.Minute

// Take counts one more load if the window has room for it. A VM whose clock
// is behind counts in the window that the record has.
func (b Budget) Take(now time.Time, limit int) (Budget, bool) {
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

// Next is the start of the window after the one of the record.
func (b Budget) Next() time.Time {
	return time.Unix((b.Window+1)*int64(BudgetWindow/time.Second), 0)
}

// DecodeBudget reads a budget; no value is the zero budget.
func DecodeBudget(value []byte) (Budget, error) {
	var b Budget
	if len(value) == 0 {
		return b, nil
	}
	err := json.Unmarshal(value, &b)
	return b, errors.Wrap(err, "decode load budget")
}

// Encode writes the budget.
func (b Budget) Encode() []byte {
	value, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return value
}
