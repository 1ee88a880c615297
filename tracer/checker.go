package tracer

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxTokens bounds Prompt and MaxOutput of one request.
	maxTokens identifier.Tokens = 1 << 20
	// maxReturns bounds how often a refused caller sends its request again.
	maxReturns = 10
)

func checkHeader(h Header) error {
	switch {
	case h.Time.IsZero():
		return errors.New("At is missing")
	case len(h.VMs) == 0:
		return errors.New("VMs is empty: name at least one entry VM")
	case len(h.Classes) == 0:
		return errors.New("Classes is empty: name at least one class with its targets")
	case h.DelaySpread < 0 || h.DelaySpread > 100 || h.Loss < 0 || h.Loss > 1:
		return errors.Errorf("DelaySpread is %g, expected 0 to 100, and Loss is %g, expected 0 to 1", h.DelaySpread, h.Loss)
	case h.LoadEvery < time.Millisecond:
		return errors.Errorf("LoadEvery must be at least 1 ms, in nanoseconds, but is %s", h.LoadEvery)
	case h.Returns < 0 || h.Returns > maxReturns:
		return errors.Errorf("Returns %d is out of range, expected 0 to %d", h.Returns, maxReturns)
	case h.DelayInside < 0 || h.DelayBetween < 0:
		return errors.Errorf("DelayInside is %s and DelayBetween %s, expected at least 0", h.DelayInside, h.DelayBetween)
	}
	if err := checkUpstreams(h.Upstreams); err != nil {
		return err
	}
	for _, class := range h.Classes {
		if class.Name == "" || class.FirstToken <= 0 || class.PerToken <= 0 {
			return errors.Errorf("class %q has FirstToken %s and PerToken %s, expected a Name and targets above 0", class.Name, class.FirstToken, class.PerToken)
		}
	}
	return nil
}

func checkUpstreams(upstreams []Upstream) error {
	roles := map[identifier.Role]int{}
	seen := map[identifier.Upstream]bool{}
	for _, u := range upstreams {
		if seen[u.ID] {
			return errors.Errorf("upstream %q is listed twice", u.ID)
		}
		seen[u.ID] = true
		roles[u.Role]++
		if u.Role != identifier.RolePrefill && u.Role != identifier.RoleDecode {
			return errors.Errorf("upstream %q has Role %q, expected Prefill or Decode", u.ID, u.Role)
		}
		if err := checkCosts(u); err != nil {
			return err
		}
		if u.Role == identifier.RoleDecode && (u.Streams < 1 || u.Pieces < 1 || u.LinkTokensPerSecond <= 0) {
			return errors.Errorf("upstream %q has Streams %d, Pieces %d and LinkTokensPerSecond %g, expected all above 0", u.ID, u.Streams, u.Pieces, u.LinkTokensPerSecond)
		}
	}
	if roles[identifier.RolePrefill] == 0 || roles[identifier.RoleDecode] == 0 {
		return errors.New("Upstreams needs at least one Prefill and one Decode engine")
	}
	return nil
}

func checkCosts(u Upstream) error {
	for name, d := range map[string]time.Duration{
		"PrefillBase": u.PrefillBase, "PrefillPerToken": u.PrefillPerToken, "ResultLives": u.ResultLives,
		"StepBase": u.StepBase, "StepPerStream": u.StepPerStream, "LoadLag": u.LoadLag, "CacheLag": u.CacheLag,
	} {
		if d < 0 || d > time.Hour {
			return errors.Errorf("upstream %q has %s %s, allowed is 0 to 1h, in nanoseconds", u.ID, name, d)
		}
	}
	if u.Jitter < 0 || u.Jitter > 1 || u.CacheLoss < 0 || u.CacheLoss > 1 {
		return errors.Errorf("upstream %q has Jitter %g and CacheLoss %g, expected 0 to 1", u.ID, u.Jitter, u.CacheLoss)
	}
	return nil
}

func checkArrival(h Header, a Arrival) error {
	switch {
	case h.Kind == "":
		return errors.New("no Header line before it")
	case a.Request == "":
		return errors.New("Request is missing")
	case a.Prompt < 1 || a.Output < 1:
		return errors.Errorf("Prompt %d and Output %d must be at least 1", a.Prompt, a.Output)
	case a.Prompt > maxTokens || a.MaxOutput > maxTokens:
		return errors.Errorf("Prompt %d and MaxOutput %d must be at most %d", a.Prompt, a.MaxOutput, maxTokens)
	case a.MaxOutput < a.Output:
		return errors.Errorf("MaxOutput %d is below Output %d", a.MaxOutput, a.Output)
	case !slices.ContainsFunc(h.VMs, func(vm VM) bool { return vm.ID == a.VM }):
		return errors.Errorf("VM %q is not in the Header", a.VM)
	case !slices.ContainsFunc(h.Classes, func(c admitter.Class) bool { return c.Name == a.Class }):
		return errors.Errorf("Class %q is not in the Header", a.Class)
	}
	return nil
}

func checkFault(h Header, f Fault) error {
	if !slices.ContainsFunc(h.Upstreams, func(u Upstream) bool { return u.ID == f.Upstream }) {
		return errors.Errorf("Upstream %q is not in the Header", f.Upstream)
	}
	switch f.Fault {
	case FaultUpstreamDies, FaultUpstreamRestarts:
		return nil
	case FaultTransfersStall:
		if !f.Until.After(f.Time) {
			return errors.Errorf("Until %s must be after At %s", f.Until, f.Time)
		}
		return nil
	default:
		return errors.Errorf("Fault %q is unknown, expected UpstreamDies, UpstreamRestarts or TransfersStall", f.Fault)
	}
}
