package granter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Stage is the progress of an attempt. It only rises, except that an attempt in
// StageTransfer may return to StageParked.
type Stage int

// The stages of an attempt.
const (
	// StagePrefill lasts from the reservation to the end of the prefill.
	StagePrefill Stage = iota
	// StageParked means that a prefill result waits for decode memory.
	StageParked
	// StageTransfer lasts until the decode engine has received the KV cache.
	StageTransfer
	// StageDecode lasts until the stream ends.
	StageDecode
)

// Grant is the engine capacity that is booked for one attempt. It is read-only
// outside this package.
type Grant struct {
	Key
	VM        identifier.VM
	Class     identifier.Class
	Prefill   identifier.Upstream
	Prompt    identifier.Tokens
	Pieces    identifier.Pieces
	MaxOutput identifier.Tokens
	// PerToken is the class's target for the time per output token; zero if it
	// has none.
	PerToken time.Duration
	Stage    Stage
	// Promised is true if the decode memory was not free when it was booked. It
	// is cleared when the stream begins or moves to another engine.
	Promised bool
	// Cost is the predicted duration of the prefill.
	Cost time.Duration
	// Started is the predicted start of the prefill, corrected when the
	// prefills before it end.
	Started time.Time
	// PrefillEnded is when the prefill's result became available; zero before.
	PrefillEnded time.Time
	// Moves counts the decode engines tried after the first.
	Moves int
	// Avoid lists decode engines whose transfer stalled, at most MaxMoves + 1.
	Avoid []identifier.Upstream

	// decode is nil while parked.
	decode *engine
	// prefill is nil once the prefill has ended.
	prefill *engine
	// transferQueued is true if the transfer was booked behind another. Its
	// duration then includes a wait and isn't learned from.
	transferQueued bool
	// transferEnds is the predicted end of the transfer.
	transferEnds time.Time
	// decodeStart is when the first token came, or else when the transfer ended;
	// zero before.
	decodeStart time.Time
	// startStreamSeconds is the decode engine's streamSeconds at decodeStart.
	startStreamSeconds float64
	// expires is when the grant is dropped if no report on it comes.
	expires time.Time
}

// MaxMoves is the maximum number of decode engines tried after the first.
const MaxMoves = 3

// Decode returns the decode engine, or an empty id while parked.
func (g *Grant) Decode() identifier.Upstream {
	if g.decode == nil {
		return ""
	}
	return g.decode.id
}
