package claimer

import "time"

// ShardCount is the number of shards. It must be the same on every VM.
const ShardCount = 4

// Times of the record and its leaders.
const (
	// Retention is how long a key is remembered. A key that contains a time is
	// refused from then on.
	Retention = 24 * time.Hour
	// MaxClockSkew is the largest expected difference between the clocks of
	// two VMs.
	MaxClockSkew = time.Minute
	// BatchInterval is the least time between two segments of one leader.
	BatchInterval = 40 * time.Millisecond
	// CallTimeout is the time after which the result of an unanswered store
	// call counts as unknown.
	CallTimeout = 500 * time.Millisecond
	// AskTimeout is the time after which a pending ask is answered
	// Unavailable.
	AskTimeout = 2 * time.Second
	// ProbeInterval is the time between reads while the store is down.
	ProbeInterval = time.Second
	// ProbeWindow is how long after the last ask a store that is down is still
	// probed.
	ProbeWindow = 30 * time.Second
	// IdleTimeout is the time without asks after which a leader drops its
	// replica.
	IdleTimeout = 10 * time.Minute
)

// forgetAfter is the age at which a claim is dropped. It exceeds Retention so
// that a key that contains a time has expired by the clock of every VM before
// its claim is dropped.
const forgetAfter = Retention + 2*MaxClockSkew

// MaxPendingAsks is the most asks that wait in one core.
const MaxPendingAsks = 4096

// Limits bound the record of one shard. They must be the same on every VM.
type Limits struct {
	// Batch is the most claims in one segment.
	Batch int
	// LogSlots is the length of the ring of segments.
	LogSlots int
	// CompactAfter is the number of segments in no base that starts a
	// compaction.
	CompactAfter int
	// BaseSlots is the length of the ring of bases, a multiple of BaseGroup.
	BaseSlots int
	// BaseClaims is the most claims in one base. At 24 bytes each, a base
	// stays under the store's limit of a megabyte.
	BaseClaims int
}

// BaseGroup is the number of bases that are read by one store call.
const BaseGroup = 8

// BaseSpan is the time after which segments go into a new base.
const BaseSpan = time.Hour

// DefaultLimits hold 640,000 claims per shard within Retention. Over all
// shards this is a mean of 29 claims per second through a day; for a short
// time 51,200 per second are possible.
var DefaultLimits = Limits{
	Batch:        512,
	LogSlots:     256,
	CompactAfter: 128,
	BaseSlots:    32,
	BaseClaims:   20_000,
}

// MaxValueBytes is the largest size of a value in the platform's store, in bytes.
const MaxValueBytes = 1 << 20

// BytesPerKey is the most memory that a leader uses for one key in a base, in
// bytes: 24 bytes of hashes and the overhead of the map.
const BytesPerKey = 64

// MaxStoreCallsPerSecond is the most store calls per second of one leader of a
// shard: a write for each batch, a read-back of each, and a compaction for
// every CompactAfter of them. It does not grow with the number of VMs or
// requests.
const MaxStoreCallsPerSecond = 2*int(time.Second/BatchInterval) + 1
