package replayer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// shard is the name of the only shard of a replayed site.
const shard identifier.Shard = "shard-1"

// Sizes in bytes of the JSON reports of engines: a load report, a cache event
// without its blocks, and each block of a cache event.
const (
	loadReportBytes  int64 = 160
	cacheReportBytes int64 = 80
	cacheBlockBytes  int64 = 21
)

// sizeOfEvent returns the size in bytes of a message to the owner of a shard.
func sizeOfEvent(now time.Time, event admitter.Event) int64 {
	return sizeOfPlacement(admitter.EventToWire(now, shard, event))
}

// sizeOfOutcome returns the size in bytes of a message to an entry VM. The
// scores of a placement are not part of the message.
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

// sizeOfReport returns the size in bytes of an engine's report.
func sizeOfReport(event admitter.Event) int64 {
	if cache, ok := event.(admitter.CacheReport); ok {
		return cacheReportBytes + int64(len(cache.Added)+len(cache.Removed))*cacheBlockBytes
	}
	return loadReportBytes
}
