package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLogLineBytes is the maximum size of a line in a log; a longer one is an
// error.
const maxLogLineBytes = 1 << 20

// Entry is a line of a routing VM's log, with the fields that descriptions use.
type Entry struct {
	// VM and UptimeUs order the lines between two starts of a VM, as Time jumps
	// when the wall clock is set.
	VM       string
	UptimeUs int64
	Time     time.Time
	Message  string `json:"message"`
	// At is the wall clock time corrected for jumps, see orderEntries.
	At time.Time `json:"-"`
	// Lives is true if the VM of a RosterChanged line is in the roster.
	Lives bool

	Request, Route, Pool, Call, Upstream, Outcome, Reason, Error string
	Key, Role, Holder, LastEvent, Until, Framing, Trait, Content string
	Upstreams, Parts                                             []string
	Kind, DataCentre, Workspace                                  string
	Revision, Version, Era                                       int64
	Input, Output, Expected, Runs, Status, Cut, InFlight, VMs    int
	Partial, Crashes                                             int
	Memory, Slots                                                int
	Took, Left, ViewAge, ComeBack, First, LongestGap, Away       float64
	Target, Gap, Rate, Share                                     float64
}

// readLog appends the entries of a log to all. It skips any text before the
// JSON of a line.
func readLog(r io.Reader, all []Entry) ([]Entry, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		_, text, found := bytes.Cut(s.Bytes(), []byte("{"))
		if !found {
			continue
		}
		var one Entry
		if json.Unmarshal(append([]byte("{"), text...), &one) != nil || one.Message == "" {
			continue // Lines of other programs may be mixed in.
		}
		all = append(all, one)
	}
	return all, errors.Wrap(s.Err(), "read a log")
}

// ReadLogs reads the logs of VMs and returns their entries ordered by At.
func ReadLogs(logs []io.Reader) ([]Entry, error) {
	var all []Entry
	var err error
	for _, r := range logs {
		if all, err = readLog(r, all); err != nil {
			return nil, err
		}
	}
	return orderEntries(all), nil
}

// Story describes what happened to a request according to the logs of VMs.
func Story(request string, logs ...io.Reader) ([]string, error) {
	return describeLogs(logs, func(e Entry) bool { return e.Request == request }, func(e Entry) string { return e.describeRequest() })
}

// Timeline describes the changes in the VMs' views of the fleet:
// configurations, runners, other VMs, the store and their own starts and stops.
func Timeline(logs ...io.Reader) ([]string, error) {
	return describeLogs(logs, func(e Entry) bool { return e.Request == "" }, func(e Entry) string { return e.describeFleet() })
}

// describeLogs describes the wanted entries of logs in the order of ReadLogs.
// It omits those whose description is empty.
func describeLogs(logs []io.Reader, isWanted func(Entry) bool, describe func(Entry) string) ([]string, error) {
	all, err := ReadLogs(logs)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range all {
		if !isWanted(e) {
			continue
		}
		if text := describe(e); text != "" {
			out = append(out, fmt.Sprintf("%s %10.3f s  %s: %s", e.Time.UTC().Format("15:04:05.000"), time.Duration(e.UptimeUs*1000).Seconds(), e.VM, text))
		}
	}
	return out, nil
}

// orderEntries sets At of all entries and sorts them by it. The first line
// after a VM's start gives the offset of its monotonic clock to the wall clock.
func orderEntries(all []Entry) []Entry {
	start := map[string]time.Time{}
	last := map[string]int64{}
	for i, e := range all {
		if _, ok := start[e.VM]; !ok || e.UptimeUs < last[e.VM] && e.Message == "Started" {
			start[e.VM] = e.Time.Add(-time.Duration(e.UptimeUs) * time.Microsecond)
		}
		last[e.VM] = e.UptimeUs
		all[i].At = start[e.VM].Add(time.Duration(e.UptimeUs) * time.Microsecond)
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return a.At.Compare(b.At) })
	return all
}

// describeRequest describes a line about a request.
func (e Entry) describeRequest() string {
	switch e.Message {
	case "Arrived":
		text := fmt.Sprintf("arrived on route %s%s for pool %s under revision %d, %.0f ms left", e.Route, e.describeWorkspace(), e.Pool, e.Revision, e.Left)
		if e.Input > 0 {
			text += fmt.Sprintf("; prompt %d tokens, answer at most %d, expected %d", e.Input, e.Output, e.Expected)
		}
		if len(e.Parts) > 0 {
			text += "; parts " + strings.Join(e.Parts, ",")
		}
		if e.Content != "" {
			text += "; " + e.Content
		}
		if e.ViewAge > 0 {
			text += fmt.Sprintf("; the store was silent for %.0f ms", e.ViewAge)
		}
		return text + "."
	case "Called":
		text := fmt.Sprintf("%s at %s: %s after %.0f ms", strings.ToLower(e.Call), e.Upstream, e.Outcome, e.Took)
		if e.Error != "" {
			text += " (" + e.Error + ")"
		}
		return text + "."
	case "Answered":
		return fmt.Sprintf("answered %d by %s after %.0f ms, first byte after %.0f ms, longest pause %.0f ms, runs %d%s.", e.Status, e.Upstream, e.Took, e.First, e.LongestGap, e.Runs, e.describeFraming())
	case "AnswerBroken":
		return fmt.Sprintf("the answer of %s broke after %.0f ms and event %q%s: %s.", e.Upstream, e.Took, e.LastEvent, e.describeFraming(), e.Error)
	case "NotRun":
		return fmt.Sprintf("refused as not run after %.0f ms: %s; come back after %.0f ms.", e.Took, e.Reason, e.ComeBack)
	case "Unknown", "Broken":
		return fmt.Sprintf("ended as %s after %.0f ms: %s.", strings.ToLower(e.Message), e.Took, e.Reason)
	case "NoRoute":
		return fmt.Sprintf("no route after %.0f ms.", e.Took)
	case "Unauthorized":
		return fmt.Sprintf("refused after %.0f ms: the API key is missing or unknown.", e.Took)
	case "OverQuota":
		return fmt.Sprintf("refused as over the quota%s after %.0f ms; come back after %.0f ms.", e.describeWorkspace(), e.Took, e.ComeBack)
	case "Refused":
		return fmt.Sprintf("refused with status %d after %.0f ms: %s.", e.Status, e.Took, e.Reason)
	case "Panicked":
		return fmt.Sprintf("the handler panicked after %.0f ms and the connection was closed: %s.", e.Took, e.Error)
	case "Abandoned":
		return fmt.Sprintf("the caller left after %.0f ms and event %q, longest pause %.0f ms.", e.Took, e.LastEvent, e.LongestGap)
	default:
		return fmt.Sprintf("%s %s %s.", e.Message, e.Upstream, e.Reason)
	}
}

// describeWorkspace names the workspace of a request; lines of requests without one don't.
func (e Entry) describeWorkspace() string {
	if e.Workspace == "" {
		return ""
	}
	return " of workspace " + e.Workspace
}

// describeFraming describes how an answer marked its end; lines of older versions
// don't say it.
func (e Entry) describeFraming() string {
	if e.Framing == "" {
		return ""
	}
	return fmt.Sprintf(", framed by %s with %d bytes after the last event", strings.ToLower(e.Framing), e.Partial)
}

// rosterVM returns the VM that the key of a roster entry names.
func (e Entry) rosterVM() string {
	_, vm, _ := strings.Cut(e.Key, "/vms/")
	return vm
}

// describeFleet describes a line about the fleet. It returns an empty string
// for lines that aren't part of a timeline.
func (e Entry) describeFleet() string {
	switch e.Message {
	case "Started", "RefusingNew":
		return e.Message + "."
	case "Stopping":
		return fmt.Sprintf("stopping, %d requests in flight.", e.InFlight)
	case "Stopped":
		return fmt.Sprintf("stopped, %d answers cut off.", e.Cut)
	case "ConfigurationInForce":
		return fmt.Sprintf("configuration %d in force.", e.Revision)
	case "RunnerJoined", "RunnerLeaving", "RunnerMissing", "RunnerGone", "RunnerSuspected", "RunnerTrusted", "RunnerPaused", "RunnerResumed":
		text := fmt.Sprintf("runner %s of %s %s (version %d)", e.Upstream, e.Pool, strings.ToLower(strings.TrimPrefix(e.Message, "Runner")), e.Version)
		if e.Until != "" {
			text += " until " + e.Until
		}
		if e.Reason != "" {
			text += ": " + e.Reason
		}
		return text + "."
	case "RunnerLimited":
		return fmt.Sprintf("runner %s takes %.3g requests a second from all VMs, %.3g of them from this one.", e.Upstream, e.Rate, e.Share)
	case "RunnerUnlimited":
		return fmt.Sprintf("runner %s takes any number of requests.", e.Upstream)
	case "ProcessChecked":
		if e.Error != "" {
			return fmt.Sprintf("the process of %s was checked: %s.", e.Upstream, e.Error)
		}
		return fmt.Sprintf("the process of %s was checked: it runs.", e.Upstream)
	case "TraitSuspected":
		return fmt.Sprintf("trait %s suspected by a crash of %s, %d in all.", e.Trait, e.Upstream, e.Crashes)
	case "TraitBlocked":
		return fmt.Sprintf("requests with trait %s are refused, %d runners crashed on it.", e.Trait, e.Crashes)
	case "TraitUnblocked":
		return fmt.Sprintf("requests with trait %s are served again.", e.Trait)
	case "RosterChanged":
		if !e.Lives {
			return fmt.Sprintf("VM %s left the roster, %d VMs.", e.rosterVM(), e.VMs)
		}
		return fmt.Sprintf("VM %s is in the roster, %d VMs.", e.rosterVM(), e.VMs)
	case "StoreRestored":
		return fmt.Sprintf("the store came back from a copy of its data (era %d).", e.Era)
	case "StoreLost":
		return "the store doesn't answer: " + e.Error + "."
	case "StoreFound":
		return fmt.Sprintf("the store answers again after %.0f ms.", e.Away)
	case "OrderClaimed", "OrderSeen":
		return fmt.Sprintf("%s: %s to %s.", e.Message, strings.Join(e.Upstreams, ", "), e.Role)
	case "Ordered":
		return fmt.Sprintf("%s: %s to %s %s.", e.Message, e.Upstream, e.Role, e.Error)
	case "LeaseLost", "EnrolmentRemoved", "StoodStill", "SettingsInForce", "SettingsNotRead", "EntryNotRead", "LinesLeftOut":
		return fmt.Sprintf("%s %s %s.", e.Message, e.Key, e.Error)
	default:
		return ""
	}
}
