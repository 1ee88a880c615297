package configurer

import (
	"fmt"
	"reflect"
)

// Diff describes each difference between two documents in one line. Classes come
// first, then upstreams, then pools, each in the order of the documents.
func Diff(from, to Document) []string {
	var lines []string
	lines = diffAll(lines, "class", from.Classes, to.Classes, Class.key)
	lines = diffAll(lines, "upstream", from.Upstreams, to.Upstreams, Upstream.key)
	return diffAll(lines, "pool", from.Pools, to.Pools, Pool.key)
}

func diffAll[T any, K ~string](lines []string, noun string, from, to []T, key func(T) K) []string {
	for _, old := range from {
		if _, ok := find(to, key(old), key); !ok {
			lines = append(lines, fmt.Sprintf("%s %s: removed", noun, key(old)))
		}
	}
	for _, t := range to {
		old, ok := find(from, key(t), key)
		if !ok {
			lines = append(lines, fmt.Sprintf("%s %s: added", noun, key(t)))
			continue
		}
		lines = diffFields(lines, fmt.Sprintf("%s %s", noun, key(t)), old, t)
	}
	return lines
}

// diffFields appends a line for each field that differs between two structs of
// the same type.
func diffFields(lines []string, name string, old, t any) []string {
	a, b := reflect.ValueOf(old), reflect.ValueOf(t)
	for i := range a.NumField() {
		was, is := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(was, is) {
			lines = append(lines, fmt.Sprintf("%s: %s from %v to %v", name, a.Type().Field(i).Name, was, is))
		}
	}
	return lines
}
