package granter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Stage is how far an attempt has come. It only rises, but for Parked.
type Stage int

// The stages of an attempt.
const (
	// StagePrefill lasts from the placement to the end of the prefill.
	StagePrefill Stage = iota
	// StageParked means that a prefill result lives without decode memory.
	StageParked
	// StageTransfer lasts until the decode engine holds the KV cache.
	StageTransfer
	// StageDecode lasts until the stream ends.
	StageDecode
)

// Grant is what one attempt holds. It is read-only outside this package.
type Grant struct {
	Key
	VM        identifier.VM
	Class     identifier.Class
	Prefill   identifier.Upstream
	Prompt    identifier.Tokens
	Pieces    identifier.Pieces
	MaxOutput identifier.Tokens
	PerToken  time.Duration
	Stage     Stage
	Promised  bool
	// Cost is the predicted time of the prefill.
	Cost time.Duration
	// Started is the predicted start of the prefill, then its last known.
	Started time.Time
	// PrefillEnded is when the result began to live; zero before.
	PrefillEnded time.Time
	// Moves counts the decode engines tried after the first.
	Moves int
	// Avoid lists decode engines whose transfer failed, at most MaxMoves + 1.
	Avoid []identifier.Upstream

	// decode is nil while parked.
	decode *engine
	// prefill is nil once the prefill has ended.
	prefill *engine
	// queued says that the transfer was booked behind another.
	queued bool
	// transferEnds is the predicted end of the transfer.
	transferEnds time.Time
	// decoding is when the stream began; zero before.
	decoding time.Time
	// areaAt is the decode engine's area when the first token came.
	areaAt float64
	// expires is when a silent grant is dropped.
	expires time.Time
}

// MaxMoves is the most decode engines tried after the first.
const MaxMoves = 3

// Decode returns the decode engine, or an empty id while parked.
func (g *Grant) Decode() identifier.Upstream {
	if g.decode == nil {
		return ""
	}
	return g.decode.id
}
