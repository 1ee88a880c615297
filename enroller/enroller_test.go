package enroller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/enroller"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestScript(t *testing.T) {
	var w strings.Builder
	core := enroller.New(0.5)
	for _, e := range []enroller.Event{
		enroller.Wake{},
		enroller.Failed{},
		enroller.Wake{},
		enroller.Granted{Lease: 5},
		enroller.Conflicted{Version: 3},
		enroller.Written{Version: 9},
		enroller.Wake{},
		enroller.Renewed{},
		enroller.Wake{},
		enroller.Failed{},
		enroller.Wake{},
		enroller.Lapsed{},
		enroller.Granted{Lease: 6},
		enroller.Failed{},
		enroller.Wake{},
		enroller.Written{Version: 12},
		enroller.Removed{},
		enroller.Written{Version: 20},
		enroller.Wake{},
	} {
		fmt.Fprintf(&w, "%-24s -> %s\n", name(e), name(core.Step(start, e)))
	}
	goldie.New(t).Assert(t, "script", []byte(w.String()))
}

// TestEraScript checks that a VM makes its lease and entry again, after its own
// part of the delay, when the store came back from a copy.
func TestEraScript(t *testing.T) {
	steps := []struct {
		at time.Duration
		e  enroller.Event
	}{
		{0, enroller.Wake{}},
		{0, enroller.Granted{Lease: 5, Era: 3}},
		{0, enroller.Written{Version: 9, Era: 3}},
		{4 * time.Second, enroller.Wake{}},
		{4 * time.Second, enroller.Renewed{Era: 4}},   // The lease may be another VM's by now.
		{4500 * time.Millisecond, enroller.Removed{}}, // Ends no delay.
		{4600 * time.Millisecond, enroller.EraChanged{Era: 4}},
		{5 * time.Second, enroller.Wake{}},
		{5 * time.Second, enroller.Granted{Lease: 6, Era: 3}}, // An answer from before.
		{5 * time.Second, enroller.Granted{Lease: 2, Era: 4}},
		{5 * time.Second, enroller.Conflicted{Version: 7, Era: 4}},
		{5 * time.Second, enroller.Written{Version: 12, Era: 5}}, // Written under a lease of the era before.
		{6 * time.Second, enroller.Wake{}},
		{6 * time.Second, enroller.Granted{Lease: 2, Era: 5}},
		{6 * time.Second, enroller.Failed{}},
		{6500 * time.Millisecond, enroller.Wake{}},
		{6500 * time.Millisecond, enroller.Written{Version: 13, Era: 5}},
		{8 * time.Second, enroller.EraChanged{Era: 6}},
		{9 * time.Second, enroller.Wake{}},
		{9 * time.Second, enroller.Failed{Era: 6}},
	}
	var w strings.Builder
	core := enroller.New(0.5)
	for _, s := range steps {
		fmt.Fprintf(&w, "%5s %-30s -> %s\n", s.at, name(s.e), name(core.Step(start.Add(s.at), s.e)))
	}
	goldie.New(t).Assert(t, "era", []byte(w.String()))
}

func name(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T%+v", v, v), "enroller.") }
