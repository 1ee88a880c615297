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

// The states of a runner in a VM's view.
const (
	stateReady     = "ready"
	stateLeaving   = "leaving"
	stateMissing   = "missing"
	stateGone      = "gone"
	stateSuspected = "suspected"
	stateUnknown   = "unknown"
)

// vmView is the state of the fleet as one VM saw it, rebuilt from its log.
type vmView struct {
	// isUp is true from the VM's start to its stop.
	isUp bool
	// revision is that of the configuration in force, zero if there is none.
	revision int64
	// isStoreLost is true while the store doesn't answer.
	isStoreLost bool
	// runners holds each runner that the VM has ever known.
	runners map[string]runnerView
	// vms is the set of VMs in the roster.
	vms map[string]bool
	// hasLeftOutLines is true once log lines were dropped, so that the view may
	// be outdated.
	hasLeftOutLines bool
}

type runnerView struct {
	state string
	// stateBeforeSuspicion is restored when a suspicion ends, suspectedUntil the
	// time at which it expires.
	stateBeforeSuspicion string
	suspectedUntil       time.Time
}

// fleetView holds the view of each VM by its name.
type fleetView map[string]*vmView

// The subjects on which the views of VMs may differ. subjectRunner is a prefix
// of a runner's name.
const (
	subjectConfiguration = "configuration"
	subjectStore         = "store"
	subjectRunner        = "runner "
)

// apply updates the views by one log line. It returns the subjects that the
// line may have changed.
func (f fleetView) apply(e Entry) []string {
	if e.VM == "" {
		return nil
	}
	b := f[e.VM]
	isNew := b == nil || e.Message == "Started"
	if isNew {
		// A restarted VM begins with an empty view.
		b = &vmView{runners: map[string]runnerView{}, vms: map[string]bool{}}
		f[e.VM] = b
	}
	b.isUp = e.Message != "Stopped"
	b.apply(e)
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

// apply updates the view by one line of the VM's log.
func (b *vmView) apply(e Entry) {
	switch e.Message {
	case "ConfigurationInForce":
		b.revision = e.Revision
	case "StoreLost", "StoreFound":
		b.isStoreLost = e.Message == "StoreLost"
	case "LinesLeftOut":
		b.hasLeftOutLines = true
	case "RosterChanged":
		if e.Lives {
			b.vms[e.rosterVM()] = true
		} else {
			delete(b.vms, e.rosterVM())
		}
	case "RunnerJoined":
		b.runners[e.Upstream] = runnerView{state: stateReady}
	case "RunnerTrusted":
		if r := b.runners[e.Upstream]; r.state == stateSuspected {
			b.runners[e.Upstream] = runnerView{state: r.stateBeforeSuspicion}
		}
	case "RunnerLeaving":
		b.runners[e.Upstream] = runnerView{state: stateLeaving}
	case "RunnerMissing":
		b.runners[e.Upstream] = runnerView{state: stateMissing}
	case "RunnerGone":
		b.runners[e.Upstream] = runnerView{state: stateGone}
	case "RunnerSuspected":
		until, err := time.Parse(time.RFC3339Nano, e.Until)
		if err != nil {
			until = e.At // Without a valid end, the suspicion ends at once.
		}
		r := b.runners[e.Upstream]
		switch r.state {
		case "":
			r.stateBeforeSuspicion = stateReady // The runner joined before the log begins.
		case stateSuspected:
		default:
			r.stateBeforeSuspicion = r.state
		}
		r.state, r.suspectedUntil = stateSuspected, e.At.Add(until.Sub(e.Time))
		b.runners[e.Upstream] = r
	}
}

// runnerState returns the state of a runner in the view at a time.
func (b *vmView) runnerState(runner string, now time.Time) string {
	r, ok := b.runners[runner]
	switch {
	case !ok:
		return stateUnknown
	case r.state == stateSuspected && now.After(r.suspectedUntil):
		return r.stateBeforeSuspicion
	default:
		return r.state
	}
}

// runningVMs returns the names of all running VMs, sorted.
func (f fleetView) runningVMs() []string {
	var up []string
	for _, vm := range slices.Sorted(maps.Keys(f)) {
		if f[vm].isUp {
			up = append(up, vm)
		}
	}
	return up
}

// knownRunners returns all runners known to at least one running VM, sorted.
func (f fleetView) knownRunners() []string {
	all := map[string]bool{}
	for _, vm := range f.runningVMs() {
		for r := range f[vm].runners {
			all[r] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// summary describes the view at a time in one sentence.
func (b *vmView) summary(now time.Time) string {
	count := map[string]int{}
	var notReady []string
	for _, r := range slices.Sorted(maps.Keys(b.runners)) {
		state := b.runnerState(r, now)
		count[state]++
		if state != stateReady && state != stateGone {
			notReady = append(notReady, r+" "+state)
		}
	}
	text := fmt.Sprintf("configuration %d, %d runners ready, %d VMs", b.revision, count[stateReady], len(b.vms))
	if len(notReady) > 0 {
		text += "; " + strings.Join(notReady, ", ")
	}
	if b.isStoreLost {
		text += "; the store doesn't answer"
	}
	if b.hasLeftOutLines {
		text += "; log lines were left out"
	}
	return text + "."
}

// disagreement holds the different values of one subject, each with the VMs in
// whose view the subject has it.
type disagreement map[string][]string

// maxNamedVMs is the maximum number of VMs listed by name for one value; for
// more, only their number is given.
const maxNamedVMs = 5

func (s disagreement) summary() string {
	var parts []string
	for _, value := range slices.Sorted(maps.Keys(s)) {
		vms := strings.Join(s[value], ", ")
		if n := len(s[value]); n > maxNamedVMs {
			vms = fmt.Sprintf("%d VMs", n)
		}
		parts = append(parts, value+" by "+vms)
	}
	return strings.Join(parts, "; ")
}

// subjects returns all subjects on which the running VMs may differ.
func (f fleetView) subjects() []string {
	all := []string{subjectConfiguration, subjectStore}
	for _, r := range f.knownRunners() {
		all = append(all, subjectRunner+r)
	}
	return all
}

// valueOf returns the value of a subject in the view at a time. An unknown
// runner counts as gone: VMs that differ only in this agree.
func (b *vmView) valueOf(subject string, now time.Time) string {
	switch subject {
	case subjectConfiguration:
		return fmt.Sprint("revision ", b.revision)
	case subjectStore:
		if b.isStoreLost {
			return "silent"
		}
		return "answers"
	}
	if state := b.runnerState(strings.TrimPrefix(subject, subjectRunner), now); state != stateUnknown {
		return state
	}
	return stateGone
}

// disagreementOn returns the values of a subject, nil if all running VMs agree.
func (f fleetView) disagreementOn(subject string, now time.Time) disagreement {
	s := disagreement{}
	for _, vm := range f.runningVMs() {
		value := f[vm].valueOf(subject, now)
		s[value] = append(s[value], vm)
	}
	if len(s) < 2 {
		return nil
	}
	return s
}

// ViewsAt describes the view of each VM at a moment and the subjects on which VMs
// differed. The moment has the format that ParseMoment parses.
func ViewsAt(moment string, logs ...io.Reader) ([]string, error) {
	all, err := ReadLogs(logs)
	if err != nil || len(all) == 0 {
		return nil, err
	}
	at, err := ParseMoment(moment, all[0].At)
	if err != nil {
		return nil, err
	}
	f := fleetView{}
	for _, e := range all {
		if e.At.After(at) {
			break
		}
		f.apply(e)
	}
	var out []string
	for _, vm := range slices.Sorted(maps.Keys(f)) {
		if !f[vm].isUp {
			out = append(out, vm+": stopped.")
			continue
		}
		out = append(out, vm+": "+f[vm].summary(at))
	}
	for _, subject := range f.subjects() {
		if s := f.disagreementOn(subject, at); s != nil {
			out = append(out, fmt.Sprintf("They differ on %s: %s.", subject, s.summary()))
		}
	}
	return out, nil
}

// ParseMoment parses an RFC 3339 time, or a time of day in UTC on the day of
// first, which is the time of the logs' first line.
func ParseMoment(text string, first time.Time) (time.Time, error) {
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

// Differences describes each period of at least minDuration in which VMs
// differed on a subject, ordered by end.
func Differences(minDuration time.Duration, logs ...io.Reader) ([]string, error) {
	all, err := ReadLogs(logs)
	if err != nil {
		return nil, err
	}
	f := fleetView{}
	open := map[string]openDifference{}
	var out []string
	end := func(subject string, at time.Time) {
		s := open[subject]
		delete(open, subject)
		if at.Sub(s.start) >= minDuration {
			out = append(out, fmt.Sprintf("%s for %.3f s  %s: %s.", s.start.UTC().Format("15:04:05.000"), at.Sub(s.start).Seconds(), subject, s.summary))
		}
	}
	for _, e := range all {
		changed := f.apply(e)
		if len(changed) == 0 {
			continue
		}
		// Open differences are checked, too: a suspicion expires without a line.
		for _, subject := range append(changed, slices.Sorted(maps.Keys(open))...) {
			s := f.disagreementOn(subject, e.At)
			previous, isOpen := open[subject]
			switch {
			case s == nil && isOpen:
				end(subject, e.At)
			case s != nil && isOpen:
				open[subject] = openDifference{previous.start, s.summary()}
			case s != nil:
				open[subject] = openDifference{e.At, s.summary()}
			}
		}
	}
	for _, subject := range slices.Sorted(maps.Keys(open)) {
		end(subject, all[len(all)-1].At)
	}
	return out, nil
}

// openDifference is a disagreement that hasn't ended yet.
type openDifference struct {
	start time.Time
	// summary describes its latest values.
	summary string
}
