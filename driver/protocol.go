package driver

import "github.com/figtrack/figtrack/identifier"

// The paths of the protocol over HTTP. Bodies are JSON with the field names of
// this package; durations are in nanoseconds. If the engine refuses a request,
// its reply has the status 409 or 503 and a Refusal as its body.
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

// CallHeader is the header of a request that names the call. An engine repeats it in its
// reply, which shows that the reply belongs to this call and not to an earlier one on the
// connection. Replies without it are taken for the reply to the open call.
const CallHeader = "Figtrack-Call"

// CacheEventsQuery is the request body of CacheEvents.
type CacheEventsQuery struct{ After identifier.Sequence }

// HoldQuery is the request body of Release and Resume.
type HoldQuery struct {
	Hold identifier.Hold
	// From is the index of the first token that Resume returns.
	From identifier.Tokens
}

// PrefillReply is the reply to Prefill, with the hold of the request.
type PrefillReply struct {
	Hold identifier.Hold
	PrefillResult
}

// ImportReply is the reply to Import, with the hold of the request.
type ImportReply struct {
	Hold identifier.Hold
	ImportResult
}

// Refusal is the reply of an engine that did not do what was requested.
type Refusal struct {
	Kind   Kind
	Reason string
}

// Error returns the engine's reason.
func (r *Refusal) Error() string { return r.Reason }

// hasKnownKind reports whether the kind is one that an engine may send.
func (r *Refusal) hasKnownKind() bool {
	switch r.Kind {
	case KindNotRun, KindFull, KindGone, KindLeaving:
		return true
	case KindUnknown:
	}
	return false
}

// StreamLine is one line of a stream, which is newline-delimited JSON. The first
// line has the hold of the request. Each later one has a token, or a refusal that
// ends the stream early.
type StreamLine struct {
	Hold    *identifier.Hold `json:",omitempty"`
	Token   *Token           `json:",omitempty"`
	Refusal *Refusal         `json:",omitempty"`
}
