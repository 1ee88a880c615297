package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Explanation holds what the VMs remember of a request.
type Explanation struct {
	Lines []json.RawMessage
	// Unanswered are the VMs whose lines are missing.
	Unanswered []Unanswered
}

// Unanswered is a VM that did not answer an inquiry, and why.
type Unanswered struct {
	VM     identifier.VM
	Reason string
}

// unansweredLine has the form of a log line, so that clients show it among the
// others.
type unansweredLine struct {
	Time    time.Time
	Message string `json:"message"`
	Unanswered
}

// all returns the lines, and one more for each VM that did not answer.
func (e Explanation) all() []json.RawMessage {
	all := e.Lines
	for _, u := range e.Unanswered {
		text, err := json.Marshal(unansweredLine{time.Now(), "InquiryUnanswered", u})
		if err != nil {
			panic(err) // A struct of texts can always be encoded.
		}
		all = append(all, text)
	}
	return all
}

// problem says why there are no lines.
func (e Explanation) problem() string {
	if len(e.Unanswered) == 0 {
		return "no VM remembers a decision for this request; the log of the VMs may"
	}
	var missing []string
	for _, u := range e.Unanswered {
		missing = append(missing, fmt.Sprintf("%s did not answer (%s)", u.VM, u.Reason))
	}
	return "no VM that answered remembers a decision for this request; " + strings.Join(missing, ", ") + "; ask again or read the logs of these VMs"
}
