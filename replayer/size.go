package replayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// shard is the name of the one shard of a replayed site.
const shard identifier.Shard = "shard-1"

// The sizes in bytes of what engines report in JSON: a load report, and a
// cache event without its blocks and for each block.
const (
	sizeLoad  int64 = 160
	sizeCache int64 = 80
	sizeBlock int64 = 21
)

// sizeOfEvent returns the bytes of a message to the owner of a shard.
func sizeOfEvent(now time.Time, event admitter.Event) int64 {
	return sizeOfPlacement(admitter.EventToWire(now, shard, event))
}

// sizeOfOutcome returns the bytes of a message to an entry VM.
func sizeOfOutcome(outcome admitter.Outcome) int64 {
	if place, ok := outcome.(admitter.Place); ok {
		place.Scores = nil
		outcome = place
	}
	_, placement := admitter.OutcomeToWire(shard, outcome)
	return sizeOfPlacement(placement)
}

func sizeOfPlacement(placement *wire.Placement) int64 {
	envelope := &wire.Envelope{
		Sequence: 1 << 20,
		Body:     &wire.Envelope_Placement{Placement: placement},
	}
	return int64(proto.Size(envelope))
}

// sizeOfReport returns the bytes of an engine's report.
func sizeOfReport(event admitter.Event) int64 {
	if cache, ok := event.(admitter.CacheReport); ok {
		return sizeCache + int64(len(cache.Added)+len(cache.Removed))*sizeBlock
	}
	return sizeLoad
}
