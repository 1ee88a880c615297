package accounter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Grouping is a property by which requests are summed up.
type Grouping string

// The groupings, as named on the command line.
const (
	ByRoute      Grouping = "route"
	ByDataCentre Grouping = "centre"
	BySecond     Grouping = "second"
	ByPromptSize Grouping = "size"
	ByWorkspace  Grouping = "workspace"
)

// Sum counts the requests of a group by cause.
type Sum struct {
	Group  string
	Total  int
	Counts map[Cause]int
	// Memory, Prefill and Run are mean times over the requests of the group.
	Memory, Prefill, Run time.Duration
}

// Sums returns the sums of all groups, sorted by group.
func Sums(requests []Request, by Grouping) []Sum {
	name := groupNamer(requests, by)
	groups := map[string][]Request{}
	for _, r := range requests {
		groups[name(r)] = append(groups[name(r)], r)
	}
	var out []Sum
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, newSum(group, groups[group]))
	}
	return out
}

func newSum(group string, requests []Request) Sum {
	s := Sum{Group: group, Total: len(requests), Counts: map[Cause]int{}}
	for _, r := range requests {
		s.Counts[r.Cause]++
		s.Memory += r.Memory
		s.Prefill += r.Prefill
		s.Run += r.Run
	}
	n := time.Duration(max(len(requests), 1))
	s.Memory, s.Prefill, s.Run = s.Memory/n, s.Prefill/n, s.Run/n
	return s
}

// groupNamer returns the function that names the group of a request.
func groupNamer(requests []Request, by Grouping) func(Request) string {
	switch by {
	case ByDataCentre:
		return func(r Request) string { return string(r.DataCentre) }
	case BySecond:
		return func(r Request) string { return fmt.Sprintf("%4d", r.second(requests[0].ArrivedAt)) }
	case ByWorkspace:
		return func(r Request) string { return cmp.Or(string(r.Workspace), "no workspace") }
	case ByPromptSize:
		return sizeNamer(requests)
	default:
		return func(r Request) string { return r.Route }
	}
}

// second returns the whole seconds from the first arrival to that of a request.
func (r Request) second(first time.Time) int { return int(r.ArrivedAt.Sub(first) / time.Second) }

// sizeNamer names prompts by their size: the largest tenth, the fifth below it and
// the others, by route, as the platform does.
func sizeNamer(requests []Request) func(Request) string {
	sizes := map[string][]identifier.Tokens{}
	for _, r := range requests {
		sizes[r.Route] = append(sizes[r.Route], r.Input)
	}
	for _, s := range sizes {
		slices.Sort(s)
	}
	return func(r Request) string {
		s := sizes[r.Route]
		below, _ := slices.BinarySearchFunc(s, r.Input, cmp.Compare[identifier.Tokens])
		switch share := float64(below) / float64(len(s)); {
		case r.Input == 0:
			return "no prompt"
		case share >= 0.9:
			return "largest tenth"
		case share >= 0.7:
			return "next fifth"
		default:
			return "others"
		}
	}
}
