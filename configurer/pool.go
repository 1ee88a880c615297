package configurer

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/figtrack/figtrack/identifier"
)

// applyToPool applies the operations on what pools serve.
func (d Document) applyToPool(o Operation) (Document, *Conflict) {
	switch o := o.(type) {
	case AddPool:
		return d.addPool(o)
	case RemovePool:
		return d.removePool(o)
	case AddRepeatable:
		return d.changePool(o.Pool, o.Call, func(p *Pool) { p.Repeatable = with(p.Repeatable, o.Call) })
	case RemoveRepeatable:
		return d.changePool(o.Pool, o.Call, func(p *Pool) { p.Repeatable = without(p.Repeatable, o.Call) })
	case SetPrefix:
		return setPool(d, o.Pool, "Prefix", o.Was, o.Value, func(p *Pool) *string { return &p.Prefix })
	case SetDefaultClass:
		return setPool(d, o.Pool, "DefaultClass", o.Was, o.Value, func(p *Pool) *identifier.Class { return &p.DefaultClass })
	case AddModel:
		return d.changePool(o.Pool, string(o.Model), func(p *Pool) { p.Models = with(p.Models, o.Model) })
	case RemoveModel:
		return d.changePool(o.Pool, string(o.Model), func(p *Pool) { p.Models = without(p.Models, o.Model) })
	case AddAdapter:
		return d.changePool(o.Pool, o.Adapter, func(p *Pool) { p.Adapters = with(p.Adapters, o.Adapter) })
	case RemoveAdapter:
		return d.changePool(o.Pool, o.Adapter, func(p *Pool) { p.Adapters = without(p.Adapters, o.Adapter) })
	case SetVersion:
		return setPool(d, o.Pool, "Version", o.Was, o.Value, func(p *Pool) *string { return &p.Version })
	default:
		panic("operation of an unknown type")
	}
}

// changePool changes a pool, which begins with its first model or adapter.
func (d Document) changePool(name identifier.Pool, value string, change func(*Pool)) (Document, *Conflict) {
	if name == "" || value == "" {
		return d, invalid("Pools/"+string(name), value, "give the pool and the value a name")
	}
	p, ok := d.Pool(name)
	if !ok {
		p = Pool{Name: name}
	}
	change(&p)
	d.Pools = put(d.Pools, p, Pool.key)
	return d, nil
}

// setPool changes one field of a pool.
func setPool[T comparable](d Document, name identifier.Pool, field string, was, value T, at func(*Pool) *T) (Document, *Conflict) {
	path := "Pools/" + string(name) + "/" + field
	p, ok := d.Pool(name)
	if !ok {
		return d, unknown(path)
	}
	v := at(&p)
	if *v != value && *v != was {
		return d, raced(path, was, value, *v)
	}
	*v = value
	d.Pools = put(d.Pools, p, Pool.key)
	return d, nil
}

func (d Document) addPool(o AddPool) (Document, *Conflict) {
	field := "Pools/" + string(o.Pool.Name)
	if o.Pool.Name == "" {
		return d, invalid(field, o.Pool.Name, "give the pool a name")
	}
	p := o.Pool.sorted()
	if old, ok := d.Pool(p.Name); ok && !reflect.DeepEqual(old, p) {
		return d, exists(field, p, old)
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
		return d, raced(field, o.Was, "its removal", old)
	}
	if slices.ContainsFunc(d.Upstreams, func(u Upstream) bool { return u.Pool == old.Name }) {
		return d, invalid(field, "its removal", "remove its upstreams first")
	}
	d.Pools = remove(d.Pools, old.Name, Pool.key)
	return d, nil
}

// sorted returns the pool with sorted copies of its slices; an empty one is
// nil, as after decoding.
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

// with returns a sorted copy of all that holds v.
func with[T cmp.Ordered](all []T, v T) []T {
	i, ok := slices.BinarySearch(all, v)
	if ok {
		return all
	}
	return slices.Insert(slices.Clone(all), i, v)
}

// without returns a copy of all that lacks v.
func without[T cmp.Ordered](all []T, v T) []T {
	i, ok := slices.BinarySearch(all, v)
	if !ok {
		return all
	}
	return sortedCopy(slices.Delete(slices.Clone(all), i, i+1))
}
