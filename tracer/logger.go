package tracer

import (
	"time"

	"github.com/rs/zerolog"
)

// MarshalZerologObject writes the fields of an Arrival line into a log line,
// so that the decision log of a run can be read as a trace. It leaves out VM,
// which the logger adds to every line.
func (a Arrival) MarshalZerologObject(e *zerolog.Event) {
	e.Str("Kind", string(KindArrival)).
		Str("At", a.Time.Format(time.RFC3339Nano)).
		Str("Request", string(a.Request)).
		Str("Class", string(a.Class)).
		Str("Workspace", string(a.Workspace)).
		Str("Model", string(a.Model)).
		Int("Prompt", int(a.Prompt)).
		Int("Output", int(a.Output)).
		Int("MaxOutput", int(a.MaxOutput)).
		Uint64("Chain", a.Chain).
		Int("Shared", int(a.Shared)).
		Uints64("Prefix", blockHashes(a))
}

func blockHashes(a Arrival) []uint64 {
	numbers := make([]uint64, 0, len(a.Prefix))
	for _, b := range a.Blocks() {
		numbers = append(numbers, uint64(b))
	}
	return numbers
}

// MarshalZerologObject writes the fields of a Cancel line into a log line.
func (c Cancel) MarshalZerologObject(e *zerolog.Event) {
	e.Str("Kind", string(KindCancel)).
		Str("At", c.Time.Format(time.RFC3339Nano)).
		Str("Request", string(c.Request))
}
