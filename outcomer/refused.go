package outcomer

import (
	"net/http"
	"time"

	"github.com/figtrack/figtrack/admitter"
)

// TargetOutOfReach means that the targets of the request's class can't be met
// now.
type TargetOutOfReach struct{ waiting }

// QueueFull means that the queue of the class is full.
type QueueFull struct{ waiting }

// WorkspaceShare means that the workspace already uses its whole share.
type WorkspaceShare struct{ waiting }

// OverQuota means that the workspace has used up its quota, which holds over all VMs.
type OverQuota struct{ waiting }

// NoUpstream means that no upstream that may serve the request is up.
type NoUpstream struct{ waiting }

// RetriesSpent means that upstreams lost the request and the retry budget of
// its class is used up.
type RetriesSpent struct{ waiting }

// Busy means that a queue or table of the VM is full.
type Busy struct{ waiting }

// UpstreamRefused means that the upstream itself reports that it did not run
// the request.
type UpstreamRefused struct{ waiting }

func describeRefused(o Outcome) (Row, bool) {
	switch o.(type) {
	case TargetOutOfReach:
		return retryRow(http.StatusServiceUnavailable, "TargetOutOfReach",
			"The answer would come later than its class allows.")
	case QueueFull:
		return retryRow(http.StatusServiceUnavailable, "QueueFull",
			"The queue has no room.")
	case WorkspaceShare:
		return retryRow(http.StatusTooManyRequests, "WorkspaceShare",
			"The workspace uses its whole share.")
	case OverQuota:
		return retryRow(http.StatusTooManyRequests, "OverQuota",
			"The workspace has used up its quota over all VMs.")
	case NoUpstream:
		return retryRow(http.StatusServiceUnavailable, "NoUpstream",
			"No upstream for this request is up.")
	case RetriesSpent:
		r, _ := retryRow(http.StatusServiceUnavailable, "RetriesSpent",
			"Upstreams lost a repeatable request before its answer began, and its class has no retries left.")
		r.Ran = RanUnknown
		return r, true
	case Busy:
		return retryRow(http.StatusServiceUnavailable, "Busy",
			"The VM has no room for the request.")
	case UpstreamRefused:
		return retryRow(http.StatusServiceUnavailable, "UpstreamRefused",
			"The upstream says that it did not run the request.")
	default:
		return noRow()
	}
}

// FromAdmission returns the outcome of a request that the admitter refused.
func FromAdmission(reason admitter.Reason, after time.Duration) Outcome {
	w := waiting{After: after}
	switch reason {
	case admitter.ReasonTargetOutOfReach:
		return TargetOutOfReach{w}
	case admitter.ReasonQueueFull:
		return QueueFull{w}
	case admitter.ReasonWorkspaceShare:
		return WorkspaceShare{w}
	case admitter.ReasonNoUpstream:
		return NoUpstream{w}
	case admitter.ReasonRetryBudget:
		return RetriesSpent{w}
	case admitter.ReasonPromptTooLong:
		return TooLarge{}
	case admitter.ReasonUnknownClass:
		return UnknownModel{}
	default:
		return Busy{w}
	}
}

// NewBusy returns a Busy outcome.
func NewBusy(after time.Duration) Outcome { return Busy{waiting{After: after}} }

// NewUpstreamRefused returns an UpstreamRefused outcome.
func NewUpstreamRefused(after time.Duration) Outcome {
	return UpstreamRefused{waiting{After: after}}
}
