package explainer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The states in which a VM may believe a runner to be.
const (
	stateReady     = "ready"
	stateLeaving   = "leaving"
	stateMissing   = "missing"
	stateGone      = "gone"
	stateSuspected = "suspected"
	stateUnknown   = "unknown"
)

// belief is what one VM believes of the fleet.
type belief struct {
	// isUp is false before its start and after its stop.
	isUp bool
	// revision is the configuration in force, zero without one.
	revision int64
	// storeLost says that the store doesn't answer.
	storeLost bool
	// runners holds the state of each runner that was ever known.
	runners map[string]runnerBelief
	// vms holds the VMs of the roster.
	vms map[string]bool
	// leftOut says that log lines were dropped, so that this may be old.
	leftOut bool
}

type runnerBelief struct {
	state string
	// until ends a suspicion by itself; zero in other states.
	until time.Time
}

// fleetBelief holds what each VM believes.
type fleetBelief map[string]*belief

// take brings the beliefs up to date with one line.
func (f fleetBelief) take(e Entry) {
	if e.VM == "" {
		return
	}
	b := f[e.VM]
	if b == nil || e.Message == "Started" {
		// A VM that starts again knows nothing of before.
		b = &belief{runners: map[string]runnerBelief{}, vms: map[string]bool{}}
		f[e.VM] = b
	}
	b.isUp = e.Message != "Stopped"
	switch e.Message {
	case "ConfigurationInForce":
		b.revision = e.Revision
	case "StoreLost", "StoreFound":
		b.storeLost = e.Message == "StoreLost"
	case "LinesLeftOut":
		b.leftOut = true
	case "RosterChanged":
		_, vm, _ := strings.Cut(e.Key, "/vms/")
		if b.vms[vm] = true; !e.Lives {
			delete(b.vms, vm)
		}
	case "RunnerJoined", "RunnerTrusted":
		b.runners[e.Upstream] = runnerBelief{state: stateReady}
	case "RunnerLeaving":
		b.runners[e.Upstream] = runnerBelief{state: stateLeaving}
	case "RunnerMissing":
		b.runners[e.Upstream] = runnerBelief{state: stateMissing}
	case "RunnerGone":
		b.runners[e.Upstream] = runnerBelief{state: stateGone}
	case "RunnerSuspected":
		until, err := time.Parse(time.RFC3339Nano, e.Until)
		if err != nil {
			until = e.At // A line without a readable end counts for its moment.
		}
		b.runners[e.Upstream] = runnerBelief{stateSuspected, e.At.Add(until.Sub(e.Time))}
	}
}

// state returns a runner's state in the eyes of a VM.
func (b *belief) state(runner string, now time.Time) string {
	r, ok := b.runners[runner]
	switch {
	case !ok:
		return stateUnknown
	case r.state == stateSuspected && now.After(r.until):
		return stateReady
	default:
		return r.state
	}
}

// vms returns the VMs that run, in order.
func (f fleetBelief) up() []string {
	var up []string
	for _, vm := range slices.Sorted(maps.Keys(f)) {
		if f[vm].isUp {
			up = append(up, vm)
		}
	}
	return up
}

// runners returns every runner that a VM that runs knows of.
func (f fleetBelief) runners() []string {
	all := map[string]bool{}
	for _, vm := range f.up() {
		for r := range f[vm].runners {
			all[r] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// words tells what one VM believes.
func (b *belief) words(now time.Time) string {
	count := map[string]int{}
	var marked []string
	for _, r := range slices.Sorted(maps.Keys(b.runners)) {
		state := b.state(r, now)
		count[state]++
		if state != stateReady && state != stateGone {
			marked = append(marked, r+" "+state)
		}
	}
	text := fmt.Sprintf("configuration %d, %d runners ready, %d VMs", b.revision, count[stateReady], len(b.vms))
	if len(marked) > 0 {
		text += "; " + strings.Join(marked, ", ")
	}
	if b.storeLost {
		text += "; the store doesn't answer"
	}
	if b.leftOut {
		text += "; log lines were left out"
	}
	return text + "."
}

// split is a subject on which VMs differ: each opinion with those who hold it.
type split map[string][]string

func (s split) words() string {
	var parts []string
	for _, opinion := range slices.Sorted(maps.Keys(s)) {
		parts = append(parts, opinion+" by "+strings.Join(s[opinion], ", "))
	}
	return strings.Join(parts, "; ")
}

// splits returns the subjects on which the VMs that run differ. A runner that
// is gone for one VM and unknown to another is no difference.
func (f fleetBelief) splits(now time.Time) map[string]split {
	all := map[string]split{}
	up := f.up()
	note := func(subject string, opinion func(vm string) string) {
		s := split{}
		for _, vm := range up {
			s[opinion(vm)] = append(s[opinion(vm)], vm)
		}
		if len(s) > 1 {
			all[subject] = s
		}
	}
	note("configuration", func(vm string) string { return fmt.Sprint("revision ", f[vm].revision) })
	note("store", func(vm string) string {
		if f[vm].storeLost {
			return "silent"
		}
		return "answers"
	})
	for _, r := range f.runners() {
		note("runner "+r, func(vm string) string {
			if state := f[vm].state(r, now); state != stateUnknown {
				return state
			}
			return stateGone
		})
	}
	return all
}

// At tells what each VM believed at a moment and where two of them differed.
// The moment is a time of day of the logs' first day, or RFC 3339.
func At(moment string, logs ...io.Reader) ([]string, error) {
	all, err := ReadLogs(logs)
	if err != nil || len(all) == 0 {
		return nil, err
	}
	at, err := Moment(moment, all[0].At)
	if err != nil {
		return nil, err
	}
	f := fleetBelief{}
	for _, e := range all {
		if e.At.After(at) {
			break
		}
		f.take(e)
	}
	var out []string
	for _, vm := range slices.Sorted(maps.Keys(f)) {
		if !f[vm].isUp {
			out = append(out, vm+": stopped.")
			continue
		}
		out = append(out, vm+": "+f[vm].words(at))
	}
	splits := f.splits(at)
	for _, subject := range slices.Sorted(maps.Keys(splits)) {
		out = append(out, fmt.Sprintf("They differ on %s: %s.", subject, splits[subject].words()))
	}
	return out, nil
}

// Moment reads a time of day on the day of a first line, or RFC 3339.
func Moment(text string, first time.Time) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at, nil
	}
	at, err := time.Parse("15:04:05", text)
	if err != nil {
		return time.Time{}, errors.Errorf("%q is no time; give 15:04:05.000 or an RFC 3339 time", text)
	}
	day := first.UTC().Truncate(24 * time.Hour)
	return day.Add(at.Sub(at.Truncate(24 * time.Hour))), nil
}

// Differences tells each time that VMs differed on a subject for longer than
// least, in the order of their ends.
func Differences(least time.Duration, logs ...io.Reader) ([]string, error) {
	all, err := ReadLogs(logs)
	if err != nil {
		return nil, err
	}
	f := fleetBelief{}
	open := map[string]since{}
	var out []string
	end := func(subject string, at time.Time) {
		s := open[subject]
		delete(open, subject)
		if at.Sub(s.at) >= least {
			out = append(out, fmt.Sprintf("%s for %.3f s  %s: %s.", s.at.UTC().Format("15:04:05.000"), at.Sub(s.at).Seconds(), subject, s.words))
		}
	}
	for _, e := range all {
		f.take(e)
		now := f.splits(e.At)
		for _, subject := range slices.Sorted(maps.Keys(open)) {
			if now[subject] == nil {
				end(subject, e.At)
			}
		}
		for subject, s := range now {
			if _, ok := open[subject]; !ok {
				open[subject] = since{at: e.At}
			}
			open[subject] = since{open[subject].at, s.words()}
		}
	}
	for _, subject := range slices.Sorted(maps.Keys(open)) {
		end(subject, all[len(all)-1].At)
	}
	return out, nil
}

// since is a difference that lasts.
type since struct {
	at time.Time
	// words are those of its last state.
	words string
}
