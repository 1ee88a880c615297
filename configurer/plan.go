package configurer

import "slices"

// Plan returns the operations that turn the present document into the wanted
// one, or none if nothing needs to change. An upstream that is no longer wanted
// is retired rather than removed, because it may still have active streams. The
// role of an existing runner is kept, because the system changes it by load.
func Plan(present, wanted Document) []Operation {
	var ops []Operation
	for _, p := range wanted.Pools {
		ops = planPool(ops, present, p)
	}
	for _, c := range wanted.Classes {
		ops = planClass(ops, present, c)
	}
	for _, u := range wanted.Upstreams {
		ops = planUpstream(ops, present, u)
	}
	for _, u := range present.Upstreams {
		if _, ok := find(wanted.Upstreams, u.ID, Upstream.key); !ok && !u.Retired {
			ops = append(ops, RetireUpstream{ID: u.ID})
		}
	}
	for _, c := range present.Classes {
		if _, ok := find(wanted.Classes, c.Name, Class.key); !ok {
			ops = append(ops, RemoveClass{Was: c})
		}
	}
	return planRemovedPools(ops, present, wanted)
}

// Normalise returns the document with sorted slices, as the other functions
// require. A document written by hand may have any order.
func Normalise(d Document) Document {
	n := Document{Revision: d.Revision, Recent: d.Recent}
	for _, c := range d.Classes {
		n.Classes = put(n.Classes, c, Class.key)
	}
	for _, u := range d.Upstreams {
		n.Upstreams = put(n.Upstreams, u, Upstream.key)
	}
	for _, p := range d.Pools {
		n.Pools = put(n.Pools, p.sorted(), Pool.key)
	}
	return n
}

func planClass(ops []Operation, present Document, c Class) []Operation {
	old, ok := present.Class(c.Name)
	if !ok {
		return append(ops, AddClass{Class: c})
	}
	for _, t := range []Target{TargetFirstToken, TargetPerToken, TargetPatience} {
		was, value := *old.targetField(t), *c.targetField(t)
		if was != value {
			ops = append(ops, SetTarget{Class: c.Name, Target: t, Was: was, Value: value})
		}
	}
	return ops
}

func planUpstream(ops []Operation, present Document, u Upstream) []Operation {
	old, ok := present.Upstream(u.ID)
	if !ok {
		return append(ops, AddUpstream{Upstream: u})
	}
	if old != u.withRoleAndRetiredOf(old) {
		ops = append(ops, SetUpstream{Was: old, Value: u})
	}
	switch {
	case u.Retired && !old.Retired:
		return append(ops, RetireUpstream{ID: u.ID})
	case !u.Retired && old.Retired:
		return append(ops, RestoreUpstream{ID: u.ID})
	default:
		return ops
	}
}

func planPool(ops []Operation, present Document, p Pool) []Operation {
	p = p.sorted()
	old, ok := present.Pool(p.Name)
	if !ok {
		return append(ops, AddPool{Pool: p})
	}
	if old.Version != p.Version {
		ops = append(ops, SetVersion{Pool: p.Name, Was: old.Version, Value: p.Version})
	}
	if old.Prefix != p.Prefix {
		ops = append(ops, SetPrefix{Pool: p.Name, Was: old.Prefix, Value: p.Prefix})
	}
	if old.DefaultClass != p.DefaultClass {
		ops = append(ops, SetDefaultClass{Pool: p.Name, Was: old.DefaultClass, Value: p.DefaultClass})
	}
	for _, m := range difference(p.Models, old.Models) {
		ops = append(ops, AddModel{Pool: p.Name, Model: m})
	}
	for _, m := range difference(old.Models, p.Models) {
		ops = append(ops, RemoveModel{Pool: p.Name, Model: m})
	}
	for _, a := range difference(p.Adapters, old.Adapters) {
		ops = append(ops, AddAdapter{Pool: p.Name, Adapter: a})
	}
	for _, a := range difference(old.Adapters, p.Adapters) {
		ops = append(ops, RemoveAdapter{Pool: p.Name, Adapter: a})
	}
	for _, c := range difference(p.Repeatable, old.Repeatable) {
		ops = append(ops, AddRepeatable{Pool: p.Name, Call: c})
	}
	for _, c := range difference(old.Repeatable, p.Repeatable) {
		ops = append(ops, RemoveRepeatable{Pool: p.Name, Call: c})
	}
	return ops
}

// planRemovedPools removes unwanted pools that have no upstreams. A pool that still
// has upstreams is removed by a later plan, once these are gone.
func planRemovedPools(ops []Operation, present, wanted Document) []Operation {
	for _, p := range present.Pools {
		_, stays := find(wanted.Pools, p.Name, Pool.key)
		used := slices.ContainsFunc(present.Upstreams, func(u Upstream) bool { return u.Pool == p.Name })
		if !stays && !used {
			ops = append(ops, RemovePool{Was: p})
		}
	}
	return ops
}

// difference returns the elements of all that are not in other.
func difference[T comparable](all, other []T) []T {
	var some []T
	for _, v := range all {
		if !slices.Contains(other, v) {
			some = append(some, v)
		}
	}
	return some
}
