package configurer

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/figtrack/figtrack/identifier"
)

// applyToPool applies the operations on pools.
func (d Document) applyToPool(o Operation) (Document, *Conflict) {
	switch o := o.(type) {
	case AddPool:
		return d.addPool(o)
	case RemovePool:
		return d.removePool(o)
	case AddRepeatable:
		return d.updatePoolList(o.Pool, o.Call, func(p *Pool) { p.Repeatable = insertSorted(p.Repeatable, o.Call) })
	case RemoveRepeatable:
		return d.updatePoolList(o.Pool, o.Call, func(p *Pool) { p.Repeatable = removeSorted(p.Repeatable, o.Call) })
	case SetPrefix:
		return setPoolField(d, o.Pool, "Prefix", o.Was, o.Value, func(p *Pool) *string { return &p.Prefix })
	case SetDefaultClass:
		return setPoolField(d, o.Pool, "DefaultClass", o.Was, o.Value, func(p *Pool) *identifier.Class { return &p.DefaultClass })
	case AddModel:
		return d.updatePoolList(o.Pool, string(o.Model), func(p *Pool) { p.Models = insertSorted(p.Models, o.Model) })
	case RemoveModel:
		return d.updatePoolList(o.Pool, string(o.Model), func(p *Pool) { p.Models = removeSorted(p.Models, o.Model) })
	case AddAdapter:
		return d.updatePoolList(o.Pool, o.Adapter, func(p *Pool) { p.Adapters = insertSorted(p.Adapters, o.Adapter) })
	case RemoveAdapter:
		return d.updatePoolList(o.Pool, o.Adapter, func(p *Pool) { p.Adapters = removeSorted(p.Adapters, o.Adapter) })
	case SetVersion:
		return setPoolField(d, o.Pool, "Version", o.Was, o.Value, func(p *Pool) *string { return &p.Version })
	default:
		panic("configurer: operation of unknown type")
	}
}

// updatePoolList changes one of the lists of a pool, to which value is added or
// from which it is removed. It creates the pool if it does not exist.
func (d Document) updatePoolList(name identifier.Pool, value string, change func(*Pool)) (Document, *Conflict) {
	if name == "" || value == "" {
		return d, newInvalid("Pools/"+string(name), value, "give the pool and the value a name")
	}
	p, ok := d.Pool(name)
	if !ok {
		p = Pool{Name: name}
	}
	change(&p)
	d.Pools = put(d.Pools, p, Pool.key)
	return d, nil
}

// setPoolField changes the field of a pool that at points to.
func setPoolField[T comparable](d Document, name identifier.Pool, field string, was, value T, at func(*Pool) *T) (Document, *Conflict) {
	path := "Pools/" + string(name) + "/" + field
	p, ok := d.Pool(name)
	if !ok {
		return d, newUnknown(path)
	}
	v := at(&p)
	if *v != value && *v != was {
		return d, newRaced(path, was, value, *v)
	}
	*v = value
	d.Pools = put(d.Pools, p, Pool.key)
	return d, nil
}

func (d Document) addPool(o AddPool) (Document, *Conflict) {
	field := "Pools/" + string(o.Pool.Name)
	if o.Pool.Name == "" {
		return d, newInvalid(field, o.Pool.Name, "give the pool a name")
	}
	p := o.Pool.sorted()
	if old, ok := d.Pool(p.Name); ok && !reflect.DeepEqual(old, p) {
		return d, newExists(field, p, old)
	}
	d.Pools = put(d.Pools, p, Pool.key)
	return d, nil
}

func (d Document) removePool(o RemovePool) (Document, *Conflict) {
	field := "Pools/" + string(o.Was.Name)
	old, ok := d.Pool(o.Was.Name)
	if !ok {
		return d, nil
	}
	if !reflect.DeepEqual(old, o.Was.sorted()) {
		return d, newRaced(field, o.Was, "its removal", old)
	}
	if slices.ContainsFunc(d.Upstreams, func(u Upstream) bool { return u.Pool == old.Name }) {
		return d, newInvalid(field, "its removal", "remove its upstreams first")
	}
	d.Pools = remove(d.Pools, old.Name, Pool.key)
	return d, nil
}

// sorted returns the pool with sorted copies of its slices, without duplicates.
// An empty slice becomes nil, as after decoding.
func (p Pool) sorted() Pool {
	p.Models = sortedCopy(p.Models)
	p.Adapters = sortedCopy(p.Adapters)
	p.Repeatable = sortedCopy(p.Repeatable)
	return p
}

func sortedCopy[T cmp.Ordered](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return slices.Compact(all)
}

// insertSorted returns all, which is sorted, with v added. It does not modify
// all.
func insertSorted[T cmp.Ordered](all []T, v T) []T {
	i, ok := slices.BinarySearch(all, v)
	if ok {
		return all
	}
	return slices.Insert(slices.Clone(all), i, v)
}

// removeSorted returns all, which is sorted, with v removed. It does not modify
// all.
func removeSorted[T cmp.Ordered](all []T, v T) []T {
	i, ok := slices.BinarySearch(all, v)
	if !ok {
		return all
	}
	return sortedCopy(slices.Delete(slices.Clone(all), i, i+1))
}
