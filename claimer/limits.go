package claimer

import "time"

// Shards is the number of logs. Every VM must have the same number.
const Shards = 4

// Times of the record.
const (
	// Retention is how long a key is remembered. A key with a time inside is
	// refused for ever after it.
	Retention = 24 * time.Hour
	// MaxClockSkew is the largest difference between the clocks of two VMs.
	MaxClockSkew = time.Minute
	// BatchEvery is the least time between two writes of one leader.
	BatchEvery = 40 * time.Millisecond
	// CallTimeout is when an unanswered store call counts as unknown.
	CallTimeout = 500 * time.Millisecond
	// AskTimeout is when a waiting ask is answered Unavailable.
	AskTimeout = 2 * time.Second
	// ProbeEvery is the time between reads while the store is down.
	ProbeEvery = time.Second
	// ProbeFor is how long after the last ask a store that is down is read.
	ProbeFor = 30 * time.Second
	// IdleAfter is when a leader that is not asked drops its memory.
	IdleAfter = 10 * time.Minute
)

// forgetAfter is when a claim is forgotten. It exceeds Retention so that a
// key with a time inside is expired by every VM's clock before.
const forgetAfter = Retention + 2*MaxClockSkew

// MaxPending is the most asks that wait in one core.
const MaxPending = 4096

// Limits bound the record of one shard. Every VM must have the same.
type Limits struct {
	// Batch is the most claims in one segment.
	Batch int
	// LogSlots is the length of the ring of segments.
	LogSlots int
	// CompactAfter is the number of segments that starts a compaction.
	CompactAfter int
	// BaseSlots is the length of the ring of bases, a multiple of BaseGroup.
	BaseSlots int
	// BaseClaims is the most claims in one base; 24 bytes each stay under
	// the store's limit of a megabyte.
	BaseClaims int
}

// BaseGroup is the number of bases that are read by one store call.
const BaseGroup = 8

// BaseSpan is the time after which a new base is begun.
const BaseSpan = time.Hour

// DefaultLimits carry 640,000 claims a shard in Retention: 29 a second over
// all shards as the mean of a day, 51,200 a second for a short time.
var DefaultLimits = Limits{
	Batch:        512,
	LogSlots:     256,
	CompactAfter: 128,
	BaseSlots:    32,
	BaseClaims:   20_000,
}

// MaxValue is the most bytes of a value in the platform's store.
const MaxValue = 1 << 20

// BytesPerKey is the most memory that a leader spends on one key in a base:
// 24 bytes of hashes and the map's own.
const BytesPerKey = 64

// MaxStoreCalls is the most store calls a second of one leader of a shard:
// a write for each batch, a read back for each, and a compaction for every
// CompactAfter of them. It doesn't grow with VMs or requests.
const MaxStoreCalls = 2*int(time.Second/BatchEvery) + 1
