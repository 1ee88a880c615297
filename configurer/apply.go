package configurer

import (
	"slices"

	"github.com/figtrack/figtrack/identifier"
)

// ApplyChange applies all operations of a change, or none if one of them
// conflicts. It raises the revision by 1. A change that d.Recent lists as already
// accepted has no effect.
func ApplyChange(d Document, c Change) (Document, *Conflict) {
	if d.HasAccepted(c.ID) {
		return d, nil
	}
	next := d
	for _, o := range c.Operations {
		after, conflict := Apply(next, o)
		if conflict != nil {
			conflict.Revision = uint64(d.Revision)
			return d, conflict
		}
		next = after
	}
	next.Revision = d.Revision + 1
	next.Recent = append(slices.Clone(d.Recent), c.ID)
	next.Recent = next.Recent[max(0, len(next.Recent)-MaxRecent):]
	return next, nil
}

// Apply applies one operation and keeps the revision. An operation whose effect
// is already present succeeds.
func Apply(d Document, o Operation) (Document, *Conflict) {
	switch o := o.(type) {
	case AddClass:
		return d.addClass(o)
	case SetTarget:
		return d.setTarget(o)
	case RemoveClass:
		return d.removeClass(o)
	case AddUpstream:
		return d.addUpstream(o)
	case SetUpstream:
		return d.setUpstream(o)
	case RetireUpstream:
		return d.setRetired(o.ID, true)
	case RestoreUpstream:
		return d.setRetired(o.ID, false)
	case RemoveUpstream:
		return d.removeUpstream(o)
	case SetRole:
		return d.setRole(o)
	default:
		return d.applyToPool(o)
	}
}

func (d Document) addClass(o AddClass) (Document, *Conflict) {
	field := "Classes/" + string(o.Class.Name)
	if o.Class.Name == "" {
		return d, newInvalid(field, o.Class.Name, "give the class a name")
	}
	if o.Class.FirstToken <= 0 || o.Class.PerToken < 0 || o.Class.Patience < 0 {
		return d, newInvalid(field, o.Class.FirstToken, "give FirstToken above zero and no negative target")
	}
	if old, ok := d.Class(o.Class.Name); ok && old != o.Class {
		return d, newExists(field, o.Class, old)
	}
	d.Classes = put(d.Classes, o.Class, Class.key)
	return d, nil
}

func (d Document) setTarget(o SetTarget) (Document, *Conflict) {
	field := "Classes/" + string(o.Class) + "/" + string(o.Target)
	c, ok := d.Class(o.Class)
	if !ok {
		return d, newUnknown(field)
	}
	at := c.targetField(o.Target)
	if at == nil {
		return d, newInvalid(field, o.Target, "the targets are FirstToken, PerToken and Patience")
	}
	if o.Value < 0 || (o.Value == 0 && o.Target == TargetFirstToken) {
		return d, newInvalid(field, o.Value, "give a longer time")
	}
	if *at != o.Value && *at != o.Was {
		return d, newRaced(field, o.Was, o.Value, *at)
	}
	*at = o.Value
	d.Classes = put(d.Classes, c, Class.key)
	return d, nil
}

// targetField returns a pointer to the field of a target, or nil if there is no
// such target.
func (c *Class) targetField(t Target) *Duration {
	switch t {
	case TargetFirstToken:
		return &c.FirstToken
	case TargetPerToken:
		return &c.PerToken
	case TargetPatience:
		return &c.Patience
	default:
		return nil
	}
}

func (d Document) removeClass(o RemoveClass) (Document, *Conflict) {
	old, ok := d.Class(o.Was.Name)
	if !ok {
		return d, nil
	}
	if old != o.Was {
		c := newRaced("Classes/"+string(old.Name), o.Was, "its removal", old)
		return d, c
	}
	d.Classes = remove(d.Classes, old.Name, Class.key)
	return d, nil
}

func (d Document) addUpstream(o AddUpstream) (Document, *Conflict) {
	field := "Upstreams/" + string(o.Upstream.ID)
	if o.Upstream.ID == "" || o.Upstream.Address == "" || o.Upstream.Pool == "" {
		return d, newInvalid(field, o.Upstream.ID, "give ID, Address and Pool")
	}
	if !isKnownRole(o.Upstream.Role) {
		return d, newInvalid(field, o.Upstream.Role, "the roles are Prefill, Decode and Plain")
	}
	if old, ok := d.Upstream(o.Upstream.ID); ok && old != o.Upstream {
		return d, newExists(field, o.Upstream, old)
	}
	d.Upstreams = put(d.Upstreams, o.Upstream, Upstream.key)
	return d, nil
}

func (d Document) setUpstream(o SetUpstream) (Document, *Conflict) {
	field := "Upstreams/" + string(o.Value.ID)
	u, ok := d.Upstream(o.Value.ID)
	if !ok || o.Was.ID != o.Value.ID {
		return d, newUnknown(field)
	}
	if o.Value.Address == "" || o.Value.Pool == "" {
		return d, newInvalid(field, o.Value.ID, "give Address and Pool")
	}
	was, value := o.Was.withRoleAndRetiredOf(u), o.Value.withRoleAndRetiredOf(u)
	if u != value && u != was {
		return d, newRaced(field, was, value, u)
	}
	d.Upstreams = put(d.Upstreams, value, Upstream.key)
	return d, nil
}

// withRoleAndRetiredOf returns u with the Role and Retired of other. SetUpstream
// doesn't change these fields.
func (u Upstream) withRoleAndRetiredOf(other Upstream) Upstream {
	u.Role = other.Role
	u.Retired = other.Retired
	return u
}

func isKnownRole(r identifier.Role) bool {
	return r == identifier.RolePrefill || r == identifier.RoleDecode || r == identifier.RolePlain
}

func (d Document) setRetired(id identifier.Upstream, retired bool) (Document, *Conflict) {
	u, ok := d.Upstream(id)
	if !ok {
		return d, newUnknown("Upstreams/" + string(id))
	}
	u.Retired = retired
	d.Upstreams = put(d.Upstreams, u, Upstream.key)
	return d, nil
}

func (d Document) removeUpstream(o RemoveUpstream) (Document, *Conflict) {
	u, ok := d.Upstream(o.ID)
	if ok && !u.Retired {
		return d, newInvalid("Upstreams/"+string(o.ID), "its removal", "retire it first, and remove it when it is empty")
	}
	d.Upstreams = remove(d.Upstreams, o.ID, Upstream.key)
	return d, nil
}

func (d Document) setRole(o SetRole) (Document, *Conflict) {
	field := "Upstreams/" + string(o.ID) + "/Role"
	u, ok := d.Upstream(o.ID)
	if !ok {
		return d, newUnknown(field)
	}
	if !isKnownRole(o.Value) || (u.Role == identifier.RolePlain) != (o.Value == identifier.RolePlain) {
		return d, newInvalid(field, o.Value, "a runner is Prefill or Decode, a plain service stays Plain")
	}
	if u.Role != o.Value && u.Role != o.Was {
		return d, newRaced(field, o.Was, o.Value, u.Role)
	}
	u.Role = o.Value
	d.Upstreams = put(d.Upstreams, u, Upstream.key)
	return d, nil
}
