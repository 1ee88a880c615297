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
	// before is the state to which a suspicion leads back, until when it ends by
	// itself.
	before string
	until  time.Time
}

// fleetBelief holds what each VM believes.
type fleetBelief map[string]*belief

// The subjects on which VMs may differ, beside each runner.
const (
	subjectConfiguration = "configuration"
	subjectStore         = "store"
	subjectRunner        = "runner "
)

// take brings the beliefs up to date with one line. It returns the subjects
// that the line may have changed.
func (f fleetBelief) take(e Entry) []string {
	if e.VM == "" {
		return nil
	}
	b := f[e.VM]
	isNew := b == nil || e.Message == "Started"
	if isNew {
		// A VM that starts again knows nothing of before.
		b = &belief{runners: map[string]runnerBelief{}, vms: map[string]bool{}}
		f[e.VM] = b
	}
	b.isUp = e.Message != "Stopped"
	b.learn(e)
	switch {
	case isNew || !b.isUp:
		return f.subjects()
	case e.Message == "ConfigurationInForce":
		return []string{subjectConfiguration}
	case e.Message == "StoreLost" || e.Message == "StoreFound":
		return []string{subjectStore}
	case strings.HasPrefix(e.Message, "Runner"):
		return []string{subjectRunner + e.Upstream}
	default:
		return nil
	}
}

// learn takes in what a line says of the fleet.
func (b *belief) learn(e Entry) {
	switch e.Message {
	case "ConfigurationInForce":
		b.revision = e.Revision
	case "StoreLost", "StoreFound":
		b.storeLost = e.Message == "StoreLost"
	case "LinesLeftOut":
		b.leftOut = true
	case "RosterChanged":
		if e.Lives {
			b.vms[e.rosterVM()] = true
		} else {
			delete(b.vms, e.rosterVM())
		}
	case "RunnerJoined":
		b.runners[e.Upstream] = runnerBelief{state: stateReady}
	case "RunnerTrusted":
		if r := b.runners[e.Upstream]; r.state == stateSuspected {
			b.runners[e.Upstream] = runnerBelief{state: r.before}
		}
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
		r := b.runners[e.Upstream]
		switch r.state {
		case "":
			r.before = stateReady // The log begins after the runner joined.
		case stateSuspected:
		default:
			r.before = r.state
		}
		r.state, r.until = stateSuspected, e.At.Add(until.Sub(e.Time))
		b.runners[e.Upstream] = r
	}
}

// state returns a runner's state in the eyes of a VM.
func (b *belief) state(runner string, now time.Time) string {
	r, ok := b.runners[runner]
	switch {
	case !ok:
		return stateUnknown
	case r.state == stateSuspected && now.After(r.until):
		return r.before
	default:
		return r.state
	}
}

// up returns the VMs that run, in order.
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

// maxNamed is how many VMs of one opinion are named; more of them are no news.
const maxNamed = 5

func (s split) words() string {
	var parts []string
	for _, opinion := range slices.Sorted(maps.Keys(s)) {
		who := strings.Join(s[opinion], ", ")
		if n := len(s[opinion]); n > maxNamed {
			who = fmt.Sprintf("%d VMs", n)
		}
		parts = append(parts, opinion+" by "+who)
	}
	return strings.Join(parts, "; ")
}

// subjects returns all on which the VMs that run may differ.
func (f fleetBelief) subjects() []string {
	all := []string{subjectConfiguration, subjectStore}
	for _, r := range f.runners() {
		all = append(all, subjectRunner+r)
	}
	return all
}

// opinion is what a VM believes of a subject. A runner that is gone for one VM
// and unknown to another is no difference.
func (b *belief) opinion(subject string, now time.Time) string {
	switch subject {
	case subjectConfiguration:
		return fmt.Sprint("revision ", b.revision)
	case subjectStore:
		if b.storeLost {
			return "silent"
		}
		return "answers"
	}
	if state := b.state(strings.TrimPrefix(subject, subjectRunner), now); state != stateUnknown {
		return state
	}
	return stateGone
}

// splitOn returns the opinions on a subject, nil where the VMs agree.
func (f fleetBelief) splitOn(subject string, now time.Time) split {
	s := split{}
	for _, vm := range f.up() {
		o := f[vm].opinion(subject, now)
		s[o] = append(s[o], vm)
	}
	if len(s) < 2 {
		return nil
	}
	return s
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
	for _, subject := range f.subjects() {
		if s := f.splitOn(subject, at); s != nil {
			out = append(out, fmt.Sprintf("They differ on %s: %s.", subject, s.words()))
		}
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
		touched := f.take(e)
		if len(touched) == 0 {
			continue
		}
		// What is open may have ended by time alone, as a suspicion does.
		for _, subject := range append(touched, slices.Sorted(maps.Keys(open))...) {
			s := f.splitOn(subject, e.At)
			from, isOpen := open[subject]
			switch {
			case s == nil && isOpen:
				end(subject, e.At)
			case s != nil && isOpen:
				open[subject] = since{from.at, s.words()}
			case s != nil:
				open[subject] = since{e.At, s.words()}
			}
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
