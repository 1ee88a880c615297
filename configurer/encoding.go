package configurer

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// envelope is the JSON form of an operation: one field, named as the type.
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

func wrap(o Operation) envelope {
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
		panic("operation of an unknown type")
	}
}

// unwrap returns the operations that are set.
func (e envelope) unwrap() []Operation {
	var all []Operation
	all = set(all, e.AddClass)
	all = set(all, e.SetTarget)
	all = set(all, e.RemoveClass)
	all = set(all, e.AddUpstream)
	all = set(all, e.SetUpstream)
	all = set(all, e.AddPool)
	all = set(all, e.RemovePool)
	all = set(all, e.SetPrefix)
	all = set(all, e.SetDefaultClass)
	all = set(all, e.AddRepeatable)
	all = set(all, e.RemoveRepeatable)
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
