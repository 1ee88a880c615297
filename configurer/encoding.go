package configurer

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// envelope is the JSON form of an operation. Exactly one field is set; its name
// is the operation's type.
type envelope struct {
	AddClass         *AddClass         `json:",omitempty"`
	SetTarget        *SetTarget        `json:",omitempty"`
	RemoveClass      *RemoveClass      `json:",omitempty"`
	AddUpstream      *AddUpstream      `json:",omitempty"`
	SetUpstream      *SetUpstream      `json:",omitempty"`
	AddPool          *AddPool          `json:",omitempty"`
	RemovePool       *RemovePool       `json:",omitempty"`
	SetPrefix        *SetPrefix        `json:",omitempty"`
	SetDefaultClass  *SetDefaultClass  `json:",omitempty"`
	AddRepeatable    *AddRepeatable    `json:",omitempty"`
	RemoveRepeatable *RemoveRepeatable `json:",omitempty"`
	RetireUpstream   *RetireUpstream   `json:",omitempty"`
	RestoreUpstream  *RestoreUpstream  `json:",omitempty"`
	RemoveUpstream   *RemoveUpstream   `json:",omitempty"`
	SetRole          *SetRole          `json:",omitempty"`
	AddModel         *AddModel         `json:",omitempty"`
	RemoveModel      *RemoveModel      `json:",omitempty"`
	AddAdapter       *AddAdapter       `json:",omitempty"`
	RemoveAdapter    *RemoveAdapter    `json:",omitempty"`
	SetVersion       *SetVersion       `json:",omitempty"`
}

func newEnvelope(o Operation) envelope {
	switch o := o.(type) {
	case AddClass:
		return envelope{AddClass: &o}
	case SetTarget:
		return envelope{SetTarget: &o}
	case RemoveClass:
		return envelope{RemoveClass: &o}
	case AddUpstream:
		return envelope{AddUpstream: &o}
	case SetUpstream:
		return envelope{SetUpstream: &o}
	case AddPool:
		return envelope{AddPool: &o}
	case RemovePool:
		return envelope{RemovePool: &o}
	case SetPrefix:
		return envelope{SetPrefix: &o}
	case SetDefaultClass:
		return envelope{SetDefaultClass: &o}
	case AddRepeatable:
		return envelope{AddRepeatable: &o}
	case RemoveRepeatable:
		return envelope{RemoveRepeatable: &o}
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
		panic("configurer: operation of unknown type")
	}
}

// operations returns the operations of all fields that are set.
func (e envelope) operations() []Operation {
	var all []Operation
	all = appendOperation(all, e.AddClass)
	all = appendOperation(all, e.SetTarget)
	all = appendOperation(all, e.RemoveClass)
	all = appendOperation(all, e.AddUpstream)
	all = appendOperation(all, e.SetUpstream)
	all = appendOperation(all, e.AddPool)
	all = appendOperation(all, e.RemovePool)
	all = appendOperation(all, e.SetPrefix)
	all = appendOperation(all, e.SetDefaultClass)
	all = appendOperation(all, e.AddRepeatable)
	all = appendOperation(all, e.RemoveRepeatable)
	all = appendOperation(all, e.RetireUpstream)
	all = appendOperation(all, e.RestoreUpstream)
	all = appendOperation(all, e.RemoveUpstream)
	all = appendOperation(all, e.SetRole)
	all = appendOperation(all, e.AddModel)
	all = appendOperation(all, e.RemoveModel)
	all = appendOperation(all, e.AddAdapter)
	all = appendOperation(all, e.RemoveAdapter)
	return appendOperation(all, e.SetVersion)
}

func appendOperation[T Operation](all []Operation, o *T) []Operation {
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

// MarshalJSON implements json.Marshaler. Each operation is encoded as an object
// with its type as the only key.
func (c Change) MarshalJSON() ([]byte, error) {
	out := change{ID: c.ID, By: c.By, Operations: make([]envelope, 0, len(c.Operations))}
	for _, o := range c.Operations {
		out.Operations = append(out.Operations, newEnvelope(o))
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler. It refuses a change with more than
// MaxOperations operations, or with an operation of unknown type.
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
		some := e.operations()
		if len(some) != 1 {
			return errors.Errorf("operation %d of the change has %d known types, not 1", i, len(some))
		}
		c.Operations = append(c.Operations, some[0])
	}
	return nil
}
