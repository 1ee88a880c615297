package driver

import "github.com/figtrack/figtrack/identifier"

// The paths of the HTTP form. Bodies are JSON with the field names of this
// package; durations are in nanoseconds. A failure has the status 409 or 503
// and a Refusal as its body.
const (
	PathLoad        = "/Load"
	PathCacheEvents = "/CacheEvents"
	PathPrefill     = "/Prefill"
	PathImport      = "/Import"
	PathDecode      = "/Decode"
	PathResume      = "/Resume"
	PathRelease     = "/Release"
	PathHolds       = "/Holds"
	PathOrder       = "/Order"
)

// CacheQuery is the body of CacheEvents.
type CacheQuery struct{ After identifier.Sequence }

// HoldQuery is the body of Release and Resume.
type HoldQuery struct {
	Hold identifier.Hold
	// From is the first token that Resume wants.
	From identifier.Tokens
}

// PrefillReply answers Prefill and names the attempt that it is for.
type PrefillReply struct {
	Hold identifier.Hold
	PrefillResult
}

// ImportReply answers Import and names the attempt that it is for.
type ImportReply struct {
	Hold identifier.Hold
	ImportResult
}

// Refusal is the engine's own statement that it did not act as asked.
type Refusal struct {
	Kind   Kind
	Reason string
}

// Error describes the refusal.
func (r *Refusal) Error() string { return r.Reason }

// known says whether the kind is one that an engine may state.
func (r *Refusal) known() bool {
	switch r.Kind {
	case KindNotRun, KindFull, KindGone, KindLeaving:
		return true
	case KindUnknown:
	}
	return false
}

// StreamLine is one line of a stream: newline-delimited JSON. The first line
// names the attempt, each later one holds a token or the end by a refusal.
type StreamLine struct {
	Hold    *identifier.Hold `json:",omitempty"`
	Token   *Token           `json:",omitempty"`
	Refusal *Refusal         `json:",omitempty"`
}
