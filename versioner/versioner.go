// Package versioner divides the resumable streams of a pool among the versions of its
// runners' software.
//
// Events of two versions can't be joined to one stream, so a stream goes on only at the
// version that began it. Its caller may come back to any VM, after the one that knew the
// version has died. So the version follows from the stream's id: a hash puts it into one of a few
// buckets, and one record in the store assigns a version to each bucket. Where the record
// doesn't change, any VM tells the version of any stream without a message.
//
// A change of a bucket waits until all VMs of the roster have published that they have read
// it. One that is cut off from the store holds it up, as it goes on by the earlier record.
// Then the change comes into force in two steps, for which only time in touch with the store
// counts: for two Lags all VMs still begin the bucket's streams at the former version, then
// they begin them at the new one, and two Lags later any stream that isn't listed is taken
// as begun there.
//
// From its word that it has read the change until then, each VM lists the streams that it begins and
// passes no event of one on before its list is in the store. One that is cut off begins none. So every
// stream of the bucket is listed but those of processes that ended before they gave their word, which
// began at the former version. An unlisted stream waits for lists that are still to be read, and is
// then taken as one of these.
//
// Changes are therefore few: the shares of the versions follow their capacity in large
// steps, and other streams make up the difference.
package versioner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

const (
	// BucketCount is the number of buckets of a pool.
	BucketCount = 16
	// PublishInterval is the least time between two lists of begun streams.
	PublishInterval = 100 * time.Millisecond
	// RetryInterval is the time from a failed write to the next one.
	RetryInterval = 250 * time.Millisecond
	// RankDelay is how long a VM waits for each one before it in the roster to write the
	// record.
	RankDelay = time.Second
	// MaxRank bounds that wait.
	MaxRank = 8
	// MaxStreams bounds the streams that are remembered, own ones and those of others each.
	MaxStreams = 1 << 16
	// firstEra is that of a store that never came back from a copy.
	firstEra keeper.Era = 1
	// MaxLongest bounds the time for which a stream is remembered.
	MaxLongest = time.Minute
)

// Hash stands for the id of a stream: the request in which its first event came.
type Hash uint64

func hashOf(id identifier.Request) Hash { return Hash(xxhash.Sum64String(string(id))) }

func (h Hash) bucket() int { return int(h % BucketCount) }

// Settings are the times by which VMs learn of each other.
type Settings struct {
	// Lag bounds the time until all VMs in touch with the store know of a change.
	Lag time.Duration
}

// adoptAfter is the time from reading a change of a bucket to beginning streams by it.
func (s Settings) adoptAfter() time.Duration { return 2 * s.Lag }

// certainAfter is the time from reading a change of a bucket until all VMs in touch begin
// streams by it and have read the lists of those begun before: one Lag until the last reads
// the change, one until its last list is read.
func (s Settings) certainAfter() time.Duration { return s.adoptAfter() + 2*s.Lag + 2*PublishInterval }

// presumeFor is the time from the word of the last VM in which unlisted streams can only have begun
// at the former version. A VM may learn of that word one Lag after another that begins unlisted ones
// at the new version once it is certain.
func (s Settings) presumeFor() time.Duration { return s.certainAfter() - s.Lag }

// maxGap is the longest time between two moments in touch that counts as in touch.
func (s Settings) maxGap() time.Duration { return s.Lag / 2 }

// Core is what one VM knows of versions. Only Step changes it.
type Core struct {
	cfg  Settings
	rank int
	// vms are those of the roster, once isRosterKnown. seen holds the age of the record
	// that each VM has published.
	vms           []identifier.VM
	isRosterKnown bool
	seen          map[identifier.VM]keeper.Age
	pools         map[identifier.Pool]*pool
	// version and era are those of the record as last read or written. isMissing is true
	// if the store has none or an earlier one, as in a copy of it.
	version   keeper.Version
	era       keeper.Era
	isMissing bool
	// inTouchAt is when the view of the store was last certain. Only the time in touch
	// brings a change into force: others may not have read it before an outage.
	inTouchAt time.Time
	// hasRead is true once the record was read for the first time, even if it was missing.
	hasRead bool
	// isOfEarlierEra is true if the record was written in an earlier era.
	isOfEarlierEra bool
	// writtenIn is the era in which the record was written, as far as it says.
	writtenIn keeper.Era
	// doubtfulSince is when this VM first read a record while it may be an earlier one, from
	// a copy of the store; else zero. VMs that know better write theirs again.
	doubtfulSince time.Time
	// isWriting is true while a Write is in progress; wantsSince is when this VM first saw
	// a change that the record lacks, zero while there is none.
	isWriting  bool
	wantsSince time.Time
	retryAt    time.Time
	// begun holds the streams that this VM has begun or taken up, listed those that others
	// have listed.
	begun, listed map[Hash]stream
	// isPublishing is true while a Publish is in progress. published is the number of
	// streams in the last one, isListing true if the list in the store may hold any.
	isPublishing bool
	published    int
	// publishedSeen is the age of the record in the last one: others may have read that
	// this VM knows it.
	publishedSeen keeper.Age
	// hasPublished is true once this process has replaced the list of an earlier one.
	hasPublished bool
	isListing    bool
	publishAt    time.Time
	// isUnpublished is true if the list in the store lacks a stream, isPublishFailing if the
	// last Publish failed. publishing holds the streams of the one in progress.
	isUnpublished, isPublishFailing bool
	publishing                      []Hash
	// isRewriteUnseen is true if the record was written again in a new era, and others may
	// not know that this VM has read it.
	isRewriteUnseen bool
	outcomes        []Outcome
}

// stream is a stream at one version, remembered until a time.
type stream struct {
	pool     identifier.Pool
	software identifier.Software
	until    time.Time
	hold     hold
	// listedAt is when it was known to be listed in the store; zero before.
	listedAt time.Time
	// isOfFormerProcess is true if the list of an earlier process of this VM has it.
	isOfFormerProcess bool
}

// New returns a core that knows no pools.
func New(cfg Settings) *Core {
	return &Core{cfg: cfg, seen: map[identifier.VM]keeper.Age{}, pools: map[identifier.Pool]*pool{}, begun: map[Hash]stream{}, listed: map[Hash]stream{}}
}

// Restarted returns a core that knows no pools in place of one that was lost.
func (c *Core) Restarted() *Core {
	n := New(c.cfg)
	n.rank, n.vms, n.isRosterKnown = c.rank, c.vms, c.isRosterKnown
	return n
}

// Begin returns the version at which a new stream has to begin; empty for any. It is the
// same at all VMs unless no runner of that version has served for long. It reports false
// if the stream must not begin: others may have brought a change into force meanwhile that
// this VM can't know.
func (c *Core) Begin(now time.Time, of identifier.Pool, id identifier.Request) (at identifier.Software, ok bool) {
	if c.isDoubtful() && now.Sub(c.doubtfulSince) < c.cfg.certainAfter() {
		return "", false
	}
	p := c.pools[of]
	if p == nil || len(p.buckets) == 0 {
		return "", true
	}
	b := &p.buckets[hashOf(id).bucket()]
	if b.isUntold {
		return "", false
	}
	software := b.beginsAt(c.inTouchAt, c.cfg, p.capacity)
	if c.holdOf(now, b, software) == holdUntilListed && !c.canList(now) {
		return software, false
	}
	if p.capacity[software] == 0 && now.Sub(p.lastServed(software)) >= c.cfg.Lag {
		return "", true
	}
	return software, true
}

// handleBegun remembers a stream.
func (c *Core) handleBegun(now time.Time, e Begun) {
	p := c.pools[e.Pool]
	if p == nil || len(c.begun) >= MaxStreams {
		return
	}
	h := hashOf(e.Stream)
	s := stream{pool: e.Pool, software: e.At.Stated(), until: now.Add(p.longest)}
	if known, ok := c.begun[h]; ok && known.software == s.software {
		s.hold, s.listedAt = known.hold, known.listedAt
	} else if len(p.buckets) > 0 {
		s.hold = c.holdOf(now, &p.buckets[h.bucket()], s.software)
	}
	c.begun[h] = s
	c.isUnpublished = c.isUnpublished || s.listedAt.IsZero() && c.isAmbiguous(now, h, s)
}

// hold tells how long no event of a new stream may be passed on. Its caller may come back to
// another VM after the first.
type hold int

const (
	// noHold is that of a stream whose version follows from its bucket.
	noHold hold = iota
	// holdUntilListed ends when the list in the store has the stream.
	holdUntilListed
	// holdUntilRead ends when all VMs in touch have read that list: they would else continue
	// the stream at another version without a wait for lists. It is for streams that begin
	// elsewhere than their bucket says, as no runner of its version serves. A VM that
	// can't list them begins them nevertheless.
	holdUntilRead
	// holdOfLateVM is the same for streams that a VM begins at the former version when others
	// may be certain of the new one. It lasts while the VM can't list them.
	holdOfLateVM
)

// holdOf returns the hold of a new stream in a bucket.
func (c *Core) holdOf(now time.Time, b *bucket, software identifier.Software) hold {
	isMoving := len(b.versions) > 1
	switch {
	case c.isDoubtful():
		return noHold
	case software == b.versions[0] && (!isMoving || b.isSettled(now, c.cfg)):
		return noHold
	case software == b.versions[0] && b.isShared:
		return holdUntilListed
	case software == b.versions[0], !isMoving, software != b.versions[1]:
		return holdUntilRead
	case !b.isShared && c.publishedSeen.Compare(b.changedIn) < 0:
		return noHold // The change waits for this VM.
	case b.isBehind, b.isShared && now.Sub(b.sharedAt) > c.cfg.adoptAfter():
		return holdOfLateVM
	default:
		return holdUntilListed
	}
}

// canList reports whether the next list will reach the store, as far as this VM knows.
func (c *Core) canList(now time.Time) bool {
	return !c.isPublishFailing && c.IsInTouch(now)
}

// MustList reports whether a new stream of a version is held until it is listed, so that it is
// worth listing early.
func (c *Core) MustList(now time.Time, of identifier.Pool, id identifier.Request, at identifier.Software) bool {
	p := c.pools[of]
	return p != nil && len(p.buckets) > 0 && c.holdOf(now, &p.buckets[hashOf(id).bucket()], at.Stated()) != noHold
}

// IsMoving reports whether the versions of some streams follow from what VMs tell each other now,
// so that it matters whether this one is in touch.
func (c *Core) IsMoving(now time.Time) bool {
	for _, p := range c.pools {
		if slices.ContainsFunc(p.buckets, func(b bucket) bool { return !b.isSettled(now, c.cfg) }) {
			return true
		}
	}
	return false
}

// IsInTouch reports whether this VM can have read the lists of the last Lag.
func (c *Core) IsInTouch(now time.Time) bool { return now.Sub(c.inTouchAt) <= c.cfg.maxGap() }

// IsHeld reports whether no event of a new stream may be passed on yet.
func (c *Core) IsHeld(now time.Time, id identifier.Request) bool {
	s, ok := c.begun[hashOf(id)]
	if !ok || s.hold == noHold {
		return false
	}
	if s.listedAt.IsZero() {
		return s.hold != holdUntilRead || c.canList(now)
	}
	return s.hold != holdUntilListed && now.Sub(s.listedAt) < c.cfg.Lag
}

// isAmbiguous reports whether other VMs can't tell the version of a stream from its
// bucket, or couldn't when it began.
func (c *Core) isAmbiguous(now time.Time, h Hash, s stream) bool {
	if c.isDoubtful() || s.isOfFormerProcess {
		return true
	}
	p := c.pools[s.pool]
	if p == nil || len(p.buckets) == 0 {
		return false
	}
	b := &p.buckets[h.bucket()]
	return b.versions[0] != s.software || !b.isCertain(c.inTouchAt, c.cfg) || !b.isSettled(now, c.cfg)
}

// Origin is what a VM knows of the version at which a stream began.
type Origin struct {
	// Software is empty if any version will do.
	Software identifier.Software
	IsKnown  bool
}

// TakeUp returns at which version a stream began, maybe at another VM. It is that of the
// request named by a caller; empty if the caller names none.
func (c *Core) TakeUp(now time.Time, of identifier.Pool, id identifier.Request) Origin {
	if o, ok := c.Listed(now, id); ok {
		return o
	}
	if c.isDoubtful() {
		return Origin{}
	}
	p := c.pools[of]
	if p == nil {
		return Origin{IsKnown: true}
	}
	served := p.served(now)
	if len(p.buckets) > 0 && id != "" {
		return p.buckets[hashOf(id).bucket()].origin(c.inTouchAt, c.cfg)
	}
	switch {
	case len(served) > 1 || p.isSplit():
		return Origin{}
	case len(served) == 0:
		return Origin{IsKnown: true}
	default:
		return Origin{served[0], true}
	}
}

// ListWait returns how long it takes at the most until all VMs in touch have read a list.
func (c *Core) ListWait() time.Duration { return c.cfg.Lag }

// Presume returns at which version a stream began that TakeUp doesn't know, if it isn't listed one
// ListWait later either and this VM IsInTouch then.
func (c *Core) Presume(now time.Time, of identifier.Pool, id identifier.Request) Origin {
	p := c.pools[of]
	if c.isDoubtful() || p == nil || len(p.buckets) == 0 || id == "" {
		return Origin{}
	}
	b := &p.buckets[hashOf(id).bucket()]
	isOut := !c.IsInTouch(now) && c.publishedSeen.Compare(b.changedIn) >= 0
	if isOut || len(b.versions) < 2 || b.isBehind || b.isInherited || b.isUntold || b.isShared && now.Sub(b.sharedAt) >= c.cfg.presumeFor() {
		return Origin{}
	}
	return Origin{b.versions[1], true}
}

// Listed returns the version of a stream that this VM has sent to a runner, or that
// another one has listed.
func (c *Core) Listed(now time.Time, id identifier.Request) (Origin, bool) {
	h := hashOf(id)
	for _, known := range []map[Hash]stream{c.begun, c.listed} {
		if s, ok := known[h]; ok && now.Before(s.until) && id != "" {
			return Origin{s.software, true}, true
		}
	}
	return Origin{}, false
}

// Step handles one event and returns the outcomes, in order.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.outcomes = nil
	switch e := e.(type) {
	case PoolChanged:
		c.handlePool(now, e)
	case Begun:
		c.handleBegun(now, e)
	case RosterChanged:
		c.rank, c.vms, c.isRosterKnown = min(e.Rank, MaxRank), e.VMs, true
	case RecordRead:
		c.handleRead(now, e)
	case Written:
		c.isWriting, c.wantsSince = false, time.Time{}
		if !c.isNewer(e.Era, e.Version) {
			c.version, c.era, c.isMissing = e.Version, e.Era, false
		}
	case Conflicted:
		c.isWriting = false
		if e.IsMissing && e.Era == c.era {
			c.version = 0 // The record was removed at an unknown version.
		}
		c.handleRead(now, e.RecordRead)
	case WriteFailed:
		c.isWriting, c.retryAt = false, now.Add(RetryInterval)
	case StreamsRead:
		c.handleStreams(now, e)
	case Published:
		c.handlePublished(now, e)
	case Wake:
		if e.IsCertain {
			c.handleInTouch(now)
		}
		c.forget(now)
		if c.isDoubtful() && now.Sub(c.doubtfulSince) >= c.cfg.certainAfter()+c.longest() {
			c.doubtfulSince = time.Time{}
		}
		c.plan(now, e.IsCertain)
	default:
		panic(fmt.Sprintf("versioner: unknown event %T", e))
	}
	c.share(now)
	c.publish(now)
	return c.outcomes
}

func (c *Core) handlePublished(now time.Time, e Published) {
	c.isPublishing, c.isPublishFailing = false, e.Failed
	c.isUnpublished = c.isUnpublished || e.Failed
	c.isListing = e.Failed || c.published > 0
	for _, h := range c.publishing {
		s, ok := c.begun[h]
		if !ok || e.Failed || !s.listedAt.IsZero() {
			continue
		}
		s.listedAt = now
		if p := c.pools[s.pool]; s.hold == holdUntilListed && p != nil {
			// A list that is late may find others certain.
			s.hold = max(s.hold, c.holdOf(now, &p.buckets[h.bucket()], s.software))
		}
		c.begun[h] = s
	}
	c.publishing = nil
}

func (c *Core) emit(o Outcome) { c.outcomes = append(c.outcomes, o) }

// handleInTouch begins the steps of changes anew that an outage has interrupted.
func (c *Core) handleInTouch(now time.Time) {
	last := c.inTouchAt
	c.inTouchAt = now
	if now.Sub(last) <= c.cfg.maxGap() {
		return
	}
	for _, p := range c.pools {
		for i := range p.buckets {
			b := &p.buckets[i]
			b.isBehind = b.isBehind || b.isShared || c.publishedSeen.Compare(b.changedIn) >= 0
			b.restart(now, last, c.cfg)
		}
	}
}

func (c *Core) handlePool(now time.Time, e PoolChanged) {
	p := c.pools[e.Pool]
	if p == nil {
		p = newPool(now)
		c.pools[e.Pool] = p
	}
	for software, n := range p.capacity {
		if n > 0 {
			p.servedAt[software] = now
		}
	}
	p.capacity, p.longest = map[identifier.Software]int{}, min(e.Longest, MaxLongest)
	for software, n := range e.Capacity {
		p.capacity[software.Stated()] += n
	}
}

// isNewer reports whether the record that is known is newer than another.
func (c *Core) isNewer(era keeper.Era, version keeper.Version) bool {
	return c.era > era || c.era == era && c.version > version
}

// handleRead takes over the shared record, unless it is an earlier one from a copy of the
// store: that is replaced by what is known.
func (c *Core) handleRead(now time.Time, e RecordRead) {
	if c.isNewer(e.Era, e.Version) {
		return
	}
	wasDoubtful, isNewEra := c.isDoubtful(), e.Era > c.era
	isOfEarlierEra := e.WrittenIn > 0 && e.WrittenIn < e.Era
	isEarlier := isNewEra && e.Version < c.version && (isOfEarlierEra || !wasDoubtful)
	// A copy may lack the last list too.
	c.isUnpublished = c.isUnpublished || c.hasRead && isNewEra
	c.version, c.era, c.isMissing = e.Version, e.Era, e.IsMissing || isEarlier
	isFirst := !c.hasRead
	c.hasRead, c.isOfEarlierEra = true, isOfEarlierEra
	c.isRewriteUnseen = c.isRewriteUnseen || c.writtenIn > 0 && e.WrittenIn > c.writtenIn
	c.writtenIn = max(c.writtenIn, e.WrittenIn)
	switch {
	case isFirst && isOfEarlierEra, wasDoubtful && isNewEra && (isOfEarlierEra || e.IsMissing):
		c.doubtfulSince = now
	case !isOfEarlierEra && !e.IsMissing:
		c.doubtfulSince = time.Time{}
	}
	for of, a := range e.Record {
		p := c.pools[of]
		if p == nil {
			p = newPool(now)
			c.pools[of] = p
		}
		if isEarlier && len(p.buckets) > 0 {
			continue
		}
		isMoved := p.apply(c.age(), a, isFirst)
		if wasDoubtful && !c.isDoubtful() {
			p.doubt(c.age())
		}
		if isMoved {
			p.handleMoved(now)
			c.emit(Moved{of, p.counts()})
			c.isUnpublished = true
		}
	}
}

// isDoubtful reports whether the record may be an earlier one. No unlisted stream is taken
// up then. New ones begin by it only once VMs that know better had the time to write theirs
// again, and all are listed.
func (c *Core) isDoubtful() bool { return !c.doubtfulSince.IsZero() }

// longest returns the longest time of a stream of any pool.
func (c *Core) longest() time.Duration {
	var d time.Duration
	for _, p := range c.pools {
		d = max(d, p.longest)
	}
	return d
}

func (c *Core) age() keeper.Age { return keeper.Age{Era: c.era, Version: c.version} }

// share looks for changes that all VMs have read, and for those in force.
func (c *Core) share(now time.Time) {
	if !c.isRosterKnown {
		return
	}
	shared := map[identifier.Pool]int{}
	for of, p := range c.pools {
		for i := range p.buckets {
			b := &p.buckets[i]
			if len(b.versions) > 1 && !b.isShared {
				b.share(now, c.haveAllSeen(b.changedIn), c.mayBeRewritten())
				if b.isShared {
					shared[of]++
				}
			}
			b.isUntold = b.isUntold && !b.isAdopted(c.inTouchAt, c.cfg)
		}
	}
	for _, of := range slices.Sorted(maps.Keys(shared)) {
		c.emit(Shared{of, shared[of]})
	}
}

func (c *Core) haveAllSeen(age keeper.Age) bool {
	for _, vm := range c.vms {
		if c.seen[vm].Compare(age) < 0 {
			return false
		}
	}
	return true
}

// mayBeRewritten reports whether the record may have been written again after a copy that
// took back what VMs have published.
func (c *Core) mayBeRewritten() bool {
	return c.era > firstEra && slices.ContainsFunc(c.vms, func(vm identifier.VM) bool { return c.seen[vm].Era < c.era })
}

// hasUnseen reports whether a change waits that this VM hasn't published to have read.
func (c *Core) hasUnseen() bool {
	for _, p := range c.pools {
		for _, b := range p.buckets {
			if len(b.versions) > 1 && (c.isRewriteUnseen || !b.isShared && c.publishedSeen.Compare(b.changedIn) < 0) {
				return true
			}
		}
	}
	return false
}

func (c *Core) handleStreams(now time.Time, e StreamsRead) {
	if e.Seen.Compare(c.seen[e.VM]) > 0 {
		c.seen[e.VM] = e.Seen
	}
	if e.IsOwn && !c.hasPublished {
		c.keepFormerList(now, e.Streams)
	}
	for software, hashes := range e.Streams {
		software = software.Stated()
		for _, h := range hashes {
			known, ok := c.listed[h]
			if ok && known.software == software || !ok && len(c.listed) >= MaxStreams {
				continue
			}
			c.listed[h] = stream{software: software, until: now.Add(MaxLongest)}
		}
	}
}

// keepFormerList lists the streams of an earlier process of this VM again, whose list the next
// Publish replaces. Others may not have read it.
func (c *Core) keepFormerList(now time.Time, all Streams) {
	for software, hashes := range all {
		for _, h := range hashes {
			if _, ok := c.begun[h]; !ok && len(c.begun) < MaxStreams {
				c.begun[h] = stream{software: software.Stated(), until: now.Add(MaxLongest), isOfFormerProcess: true}
			}
		}
	}
}

// forget drops the streams that have ended by now, and empties the list after the last.
func (c *Core) forget(now time.Time) {
	for _, known := range []map[Hash]stream{c.begun, c.listed} {
		for h, s := range known {
			if !now.Before(s.until) {
				delete(known, h)
			}
		}
	}
	if c.isListing && !c.isPublishing && !c.hasAmbiguous(now) {
		c.isUnpublished = true
	}
}

func (c *Core) hasAmbiguous(now time.Time) bool {
	for h, s := range c.begun {
		if c.isAmbiguous(now, h, s) {
			return true
		}
	}
	return false
}

// publish lists the streams whose version other VMs can't tell.
func (c *Core) publish(now time.Time) {
	hasUnseen := c.hasUnseen()
	if !c.isUnpublished && !hasUnseen || c.isPublishing || now.Before(c.publishAt) {
		return
	}
	all, n := Streams{}, 0
	c.publishing = nil
	for h, s := range c.begun {
		if c.isAmbiguous(now, h, s) && now.Before(s.until) {
			all[s.software] = append(all[s.software], h)
			c.publishing = append(c.publishing, h)
			n++
		}
	}
	c.isUnpublished = false
	if n == 0 && !c.isListing && !hasUnseen {
		return
	}
	for _, hashes := range all {
		slices.Sort(hashes)
	}
	c.isPublishing, c.isListing, c.published, c.publishAt = true, true, n, now.Add(PublishInterval)
	c.publishedSeen, c.isRewriteUnseen, c.hasPublished = c.age(), false, true
	c.emit(Publish{all, c.publishedSeen})
}
