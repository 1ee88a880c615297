package replayer

import "github.com/figtrack/figtrack/admitter"

// The sizes of messages in bytes: what every message carries, a prefix block
// and a name.
const (
	sizeEnvelope int64 = 96
	sizeBlock    int64 = 8
	sizeName     int64 = 16
)

func sizeOfEvent(event admitter.Event) int64 {
	switch event := event.(type) {
	case admitter.Ask:
		names := int64(5 + len(event.Excluded))
		return sizeEnvelope + names*sizeName + int64(len(event.Prefix))*sizeBlock
	case admitter.CacheReport:
		return sizeEnvelope + int64(len(event.Added)+len(event.Removed))*sizeBlock
	default:
		return sizeEnvelope
	}
}

func sizeOfOutcome(outcome admitter.Outcome) int64 {
	if place, ok := outcome.(admitter.Place); ok {
		return sizeEnvelope + 2*sizeName + int64(len(place.Scores))*(sizeName+8)
	}
	return sizeEnvelope
}
