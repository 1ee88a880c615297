package explainer

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// logLine is a decoded log line, with the fields that descriptions use.
type logLine struct {
	Time         time.Time
	Message      string `json:"message"`
	VM           string
	Attempt      int
	Attempts     int
	Shard        string
	To           string
	Prefill      string
	Decode       string
	Pieces       int
	Promised     bool
	PredictedMs  float64
	Reason       string
	RetryAfterMs float64
	Upstream     string
	Pool         string
	Result       string
	Outcome      string
	Class        string
	Tokens       int
	FirstTokenMs float64
	PerTokenMs   float64
	InTarget     bool
	Scores       []scoredEngine
}

type scoredEngine struct {
	Upstream     string
	FirstTokenMs float64
}

// DescribeLines describes the log lines of several VMs by one sentence each,
// ordered by time.
func DescribeLines(lines []json.RawMessage) ([]string, error) {
	var read []logLine
	for _, text := range lines {
		var one logLine
		if err := json.Unmarshal(text, &one); err != nil {
			return nil, errors.Wrapf(err, "decode the log line %s", text)
		}
		read = append(read, one)
	}
	sort.SliceStable(read, func(i, j int) bool { return read[i].Time.Before(read[j].Time) })
	var out []string
	for _, one := range read {
		out = append(out, one.Time.UTC().Format("15:04:05.000")+"  "+one.VM+": "+one.describe())
	}
	return out, nil
}

func (l logLine) describe() string {
	switch l.Message {
	case "Place":
		return l.describePlacement()
	case "Move":
		return fmt.Sprintf("as owner of %s moved attempt %d to decode on %s.", l.Shard, l.Attempt, l.Decode)
	case "Refuse":
		return fmt.Sprintf("as owner of %s refused attempt %d: %s; come back after %.0f ms.", l.Shard, l.Attempt, l.Reason, l.RetryAfterMs)
	case "Abandon":
		return fmt.Sprintf("as owner of %s ended attempt %d: %s.", l.Shard, l.Attempt, l.Reason)
	case "Forward":
		return fmt.Sprintf("sent the call to %s of %s: %s.", l.Upstream, l.Pool, l.Result)
	case "Ended":
		return l.describeEnd()
	case "InquiryUnanswered":
		return fmt.Sprintf("did not answer, so that its decisions are missing here: %s.", l.Reason)
	default:
		return fmt.Sprintf("%s %s %s.", l.Message, l.Upstream, l.Reason)
	}
}

func (l logLine) describePlacement() string {
	memory := "held"
	if l.Promised {
		memory = "promised"
	}
	text := fmt.Sprintf("as owner of %s placed attempt %d for %s: prefill on %s, decode on %s with %d pieces %s; first token expected %.0f ms after arrival.",
		l.Shard, l.Attempt, l.To, l.Prefill, l.Decode, l.Pieces, memory, l.PredictedMs)
	if len(l.Scores) == 0 {
		return text
	}
	var weighed []string
	for _, s := range l.Scores {
		weighed = append(weighed, fmt.Sprintf("%s %.0f ms", s.Upstream, s.FirstTokenMs))
	}
	return text + " Weighed: " + strings.Join(weighed, ", ") + "."
}

func (l logLine) describeEnd() string {
	if l.Tokens == 0 {
		return fmt.Sprintf("ended as %s after %d attempts, class %s.", l.Outcome, l.Attempts, l.Class)
	}
	target := "outside"
	if l.InTarget {
		target = "inside"
	}
	return fmt.Sprintf("ended as %s after %d attempts, class %s: %d tokens, the first after %.0f ms, then %.1f ms each, %s the targets.",
		l.Outcome, l.Attempts, l.Class, l.Tokens, l.FirstTokenMs, l.PerTokenMs, target)
}
