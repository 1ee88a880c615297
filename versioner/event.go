package versioner

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Bucket holds the versions of the streams in one bucket. The first is the one for new
// streams; streams that began before the last change may run at the others.
type Bucket []identifier.Software

// Assignment holds the buckets of one pool, always BucketCount.
type Assignment []Bucket

// Record holds the assignments of all pools, which all VMs share.
type Record map[identifier.Pool]Assignment

// Streams holds the hashes of streams by the version that they run at.
type Streams map[identifier.Software][]Hash

// Event is an input of Core.Step. Only this package implements it.
type Event interface{ event() }

// PoolChanged reports how many requests the runners of each version in a pool take at
// once, other than those that take no new ones.
type PoolChanged struct {
	Pool     identifier.Pool
	Capacity map[identifier.Software]int
	// Longest is the longest time that a stream of the pool takes, with all its
	// resumptions.
	Longest time.Duration
}

// Begun reports that a stream is sent to a runner of a version. Stream is the request in
// which it began, maybe at another VM.
type Begun struct {
	Pool   identifier.Pool
	Stream identifier.Request
	At     identifier.Software
}

// RosterChanged carries the VMs that may serve requests, and the rank of this one among
// them. The first has rank 0.
type RosterChanged struct {
	Rank int
	VMs  []identifier.VM
}

// RecordRead carries the shared record as it is in the store.
type RecordRead struct {
	Record Record
	// Version is that of the record or, without one, that at which it was missing.
	Version keeper.Version
	Era     keeper.Era
	// WrittenIn is the era in which the record was written; zero if it doesn't say. If it is
	// earlier than Era, the store came back from a copy since, which may lack a later record.
	WrittenIn keeper.Era
	// IsMissing is true if the store has no record.
	IsMissing bool
}

// Written reports that the record of the last Write is in the store.
type Written struct {
	Version keeper.Version
	Era     keeper.Era
}

// Conflicted reports that the last Write had no effect, as the store has another
// version of the record.
type Conflicted struct{ RecordRead }

// WriteFailed reports that the last Write may have had no effect.
type WriteFailed struct{}

// StreamsRead carries what a VM has published.
type StreamsRead struct {
	VM      identifier.VM
	Streams Streams
	// Seen is the age of the shared record that the VM had read.
	Seen keeper.Age
	// IsOwn is true for the list of this VM, maybe of an earlier process.
	IsOwn bool
}

// Published reports the end of the last Publish. It is tried again if it failed.
type Published struct{ Failed bool }

// Wake reports that time has passed. IsCertain is true if the view of the runners is as
// the store has it.
type Wake struct{ IsCertain bool }

func (PoolChanged) event()   {}
func (Begun) event()         {}
func (RosterChanged) event() {}
func (RecordRead) event()    {}
func (Written) event()       {}
func (Conflicted) event()    {}
func (WriteFailed) event()   {}
func (StreamsRead) event()   {}
func (Published) event()     {}
func (Wake) event()          {}

// Outcome is what a Step has led to. Only this package implements it.
type Outcome interface{ outcome() }

// Write asks for a write of the shared record if its version is Expected, which is
// zero for a record that is missing. No other Write follows before Written,
// Conflicted or WriteFailed.
type Write struct {
	Record   Record
	Expected keeper.Version
	// Era is to be written with the record.
	Era keeper.Era
}

// Publish asks for a write of the streams that this VM has begun and that others can't
// tell the version of, and of the age of the record that it has read. No other Publish
// follows before Published.
type Publish struct {
	Streams Streams
	Seen    keeper.Age
}

// Moved reports that new streams of some buckets will begin at another version.
type Moved struct {
	Pool identifier.Pool
	// Buckets is the number of buckets that each version has for new streams.
	Buckets map[identifier.Software]int
}

// Shared reports that all VMs of the roster have read the last change of some buckets.
type Shared struct {
	Pool identifier.Pool
	// Buckets is their number.
	Buckets int
}

func (Write) outcome()   {}
func (Publish) outcome() {}
func (Moved) outcome()   {}
func (Shared) outcome()  {}
