package configurer

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Operation is one change of one field or element. The set is sealed.
type Operation interface{ operation() }

// Target names a latency target of a class.
type Target string

// The targets of a class.
const (
	TargetFirstToken Target = "FirstToken"
	TargetPerToken   Target = "PerToken"
	TargetPatience   Target = "Patience"
)

// AddClass adds a class.
type AddClass struct{ Class Class }

// SetTarget changes one target of a class.
type SetTarget struct {
	Class  identifier.Class
	Target Target
	// Was is the value that the operator saw.
	Was, Value Duration
}

// SetRepeatable changes whether the requests of a class may be repeated.
type SetRepeatable struct {
	Class identifier.Class
	// Was is the value that the operator saw.
	Was, Value bool
}

// RemoveClass removes a class.
type RemoveClass struct {
	// Was is the class that the operator saw.
	Was Class
}

// AddUpstream adds an upstream.
type AddUpstream struct{ Upstream Upstream }

// RetireUpstream makes an upstream get no new work.
type RetireUpstream struct{ ID identifier.Upstream }

// RestoreUpstream gives a retired upstream new work again.
type RestoreUpstream struct{ ID identifier.Upstream }

// RemoveUpstream removes a retired upstream.
type RemoveUpstream struct{ ID identifier.Upstream }

// SetRole changes the role of a runner.
type SetRole struct {
	ID identifier.Upstream
	// Was is the value that the operator saw.
	Was, Value identifier.Role
}

// AddModel makes the runners of a pool serve a model.
type AddModel struct {
	Pool  identifier.Pool
	Model identifier.Model
}

// RemoveModel ends AddModel.
type RemoveModel struct {
	Pool  identifier.Pool
	Model identifier.Model
}

// AddAdapter makes the runners of a pool serve an adapter.
type AddAdapter struct {
	Pool    identifier.Pool
	Adapter string
}

// RemoveAdapter ends AddAdapter.
type RemoveAdapter struct {
	Pool    identifier.Pool
	Adapter string
}

// SetVersion changes the version that the runners of a pool serve.
type SetVersion struct {
	Pool identifier.Pool
	// Was is the value that the operator saw.
	Was, Value string
}

func (AddClass) operation()        {}
func (SetTarget) operation()       {}
func (SetRepeatable) operation()   {}
func (RemoveClass) operation()     {}
func (AddUpstream) operation()     {}
func (RetireUpstream) operation()  {}
func (RestoreUpstream) operation() {}
func (RemoveUpstream) operation()  {}
func (SetRole) operation()         {}
func (AddModel) operation()        {}
func (RemoveModel) operation()     {}
func (AddAdapter) operation()      {}
func (RemoveAdapter) operation()   {}
func (SetVersion) operation()      {}

// Change is what one operator changes at once: all of it or nothing.
type Change struct {
	ID ChangeID
	// By names the operator in the log.
	By         string
	Operations []Operation
}

// MaxOperations bounds the operations of one change.
const MaxOperations = 1000

// envelope is the JSON form of an operation: one field, named as the type.
type envelope struct {
	AddClass        *AddClass        `json:",omitempty"`
	SetTarget       *SetTarget       `json:",omitempty"`
	SetRepeatable   *SetRepeatable   `json:",omitempty"`
	RemoveClass     *RemoveClass     `json:",omitempty"`
	AddUpstream     *AddUpstream     `json:",omitempty"`
	RetireUpstream  *RetireUpstream  `json:",omitempty"`
	RestoreUpstream *RestoreUpstream `json:",omitempty"`
	RemoveUpstream  *RemoveUpstream  `json:",omitempty"`
	SetRole         *SetRole         `json:",omitempty"`
	AddModel        *AddModel        `json:",omitempty"`
	RemoveModel     *RemoveModel     `json:",omitempty"`
	AddAdapter      *AddAdapter      `json:",omitempty"`
	RemoveAdapter   *RemoveAdapter   `json:",omitempty"`
	SetVersion      *SetVersion      `json:",omitempty"`
}

func wrap(o Operation) envelope {
	switch o := o.(type) {
	case AddClass:
		return envelope{AddClass: &o}
	case SetTarget:
		return envelope{SetTarget: &o}
	case SetRepeatable:
		return envelope{SetRepeatable: &o}
	case RemoveClass:
		return envelope{RemoveClass: &o}
	case AddUpstream:
		return envelope{AddUpstream: &o}
	case RetireUpstream:
		return envelope{RetireUpstream: &o}
	case RestoreUpstream:
		return envelope{RestoreUpstream: &o}
	case RemoveUpstream:
		return envelope{RemoveUpstream: &o}
	case SetRole:
		return envelope{SetRole: &o}
	case AddModel:
		return envelope{AddModel: &o}
	case RemoveModel:
		return envelope{RemoveModel: &o}
	case AddAdapter:
		return envelope{AddAdapter: &o}
	case RemoveAdapter:
		return envelope{RemoveAdapter: &o}
	case SetVersion:
		return envelope{SetVersion: &o}
	default:
		panic("operation of an unknown type")
	}
}

// unwrap returns the operations that are set.
func (e envelope) unwrap() []Operation {
	var all []Operation
	all = set(all, e.AddClass)
	all = set(all, e.SetTarget)
	all = set(all, e.SetRepeatable)
	all = set(all, e.RemoveClass)
	all = set(all, e.AddUpstream)
	all = set(all, e.RetireUpstream)
	all = set(all, e.RestoreUpstream)
	all = set(all, e.RemoveUpstream)
	all = set(all, e.SetRole)
	all = set(all, e.AddModel)
	all = set(all, e.RemoveModel)
	all = set(all, e.AddAdapter)
	all = set(all, e.RemoveAdapter)
	return set(all, e.SetVersion)
}

func set[T Operation](all []Operation, o *T) []Operation {
	if o == nil {
		return all
	}
	return append(all, *o)
}

// change is the JSON form of a Change.
type change struct {
	ID         ChangeID
	By         string
	Operations []envelope
}

// MarshalJSON writes the change, each operation under its type's name.
func (c Change) MarshalJSON() ([]byte, error) {
	out := change{ID: c.ID, By: c.By, Operations: make([]envelope, 0, len(c.Operations))}
	for _, o := range c.Operations {
		out.Operations = append(out.Operations, wrap(o))
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads a change.
func (c *Change) UnmarshalJSON(data []byte) error {
	var in change
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "change")
	}
	if len(in.Operations) > MaxOperations {
		return errors.Errorf("change has %d operations, more than %d", len(in.Operations), MaxOperations)
	}
	*c = Change{ID: in.ID, By: in.By}
	for i, e := range in.Operations {
		some := e.unwrap()
		if len(some) != 1 {
			return errors.Errorf("operation %d of the change has %d known types, not 1", i, len(some))
		}
		c.Operations = append(c.Operations, some[0])
	}
	return nil
}
