package configurer

import (
	"cmp"
	"slices"

	"github.com/figtrack/figtrack/identifier"
)

// applyToPool applies the operations on what pools serve.
func (d Document) applyToPool(o Operation) (Document, *Conflict) {
	switch o := o.(type) {
	case AddModel:
		return d.changePool(o.Pool, string(o.Model), func(p *Pool) { p.Models = with(p.Models, o.Model) })
	case RemoveModel:
		return d.changePool(o.Pool, string(o.Model), func(p *Pool) { p.Models = without(p.Models, o.Model) })
	case AddAdapter:
		return d.changePool(o.Pool, o.Adapter, func(p *Pool) { p.Adapters = with(p.Adapters, o.Adapter) })
	case RemoveAdapter:
		return d.changePool(o.Pool, o.Adapter, func(p *Pool) { p.Adapters = without(p.Adapters, o.Adapter) })
	case SetVersion:
		return d.setVersion(o)
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

func (d Document) setVersion(o SetVersion) (Document, *Conflict) {
	field := "Pools/" + string(o.Pool) + "/Version"
	p, ok := d.Pool(o.Pool)
	if !ok {
		return d, unknown(field)
	}
	if p.Version != o.Value && p.Version != o.Was {
		return d, raced(field, o.Was, o.Value, p.Version)
	}
	p.Version = o.Value
	d.Pools = put(d.Pools, p, Pool.key)
	return d, nil
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
	return slices.Delete(slices.Clone(all), i, i+1)
}
