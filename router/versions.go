package router

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/matcher"
	"github.com/figtrack/figtrack/versioner"
	"github.com/figtrack/figtrack/wire"
)

const (
	// listPollInterval is the interval at which a stream that is taken up looks whether other
	// VMs have listed it.
	listPollInterval = 50 * time.Millisecond
	// holdPollInterval is the interval at which a new stream looks whether its hold has ended.
	holdPollInterval = 10 * time.Millisecond
)

// reasonUnknownSoftware means that the version that began a stream isn't known.
const reasonUnknownSoftware attempter.Reason = "SoftwareUnknown"

// chooseSoftware returns the only version at which a stream may run; empty for any. It
// reports false if the caller has a part of a stream whose version isn't known, or if a new
// stream can't begin at one that others know.
func (r *Router) chooseSoftware(ctx context.Context, q *Request, route matcher.Route, pool identifier.Pool) (identifier.Software, bool) {
	if !route.Resumable {
		return "", true
	}
	if q.LastEvent == "" {
		return r.fleet.beginAt(pool, q.ID)
	}
	origin, presumed := r.fleet.takeUp(pool, q.Resumes)
	isListed := false
	for until := time.Now().Add(r.fleet.listWait); !origin.IsKnown && q.Resumes != "" && time.Now().Before(until); {
		if !looper.Sleep(ctx, listPollInterval) {
			break
		}
		if listed, ok := r.fleet.listedOrigin(q.Resumes); ok {
			origin, isListed = listed, true
		}
	}
	isPresumed := !origin.IsKnown && r.fleet.isInTouch()
	if isPresumed {
		origin = presumed
	}
	r.metrics.takenUp.WithLabelValues(either(origin.IsKnown, "Known", "Unknown")).Inc()
	r.log.Info().
		Str("Request", string(q.ID)).
		Str("Resumes", string(q.Resumes)).
		Str("LastEvent", q.LastEvent).
		Bool("IsKnown", origin.IsKnown).
		Bool("IsPresumed", isPresumed && origin.IsKnown).
		Bool("WasAwaited", isListed).
		Str("Software", string(origin.Software)).
		Msg("TakenUp")
	return origin.Software, origin.IsKnown
}

func (f *Fleet) beginAt(pool identifier.Pool, id identifier.Request) (at identifier.Software, ok bool) {
	mustList := false
	f.step(coreVersions, id, func() {
		now := time.Now()
		at, ok = f.versions.Begin(now, pool, id)
		mustList = ok && at != "" && f.versions.MustList(now, pool, id, at)
	})
	if mustList { // The list is written while the stream waits for its runner.
		f.stepVersions(versioner.Begun{Pool: pool, Stream: id, At: at})
	}
	return at, ok
}

// awaitListed returns once the first event of a new stream may be passed on.
func (p *proxiedRequest) awaitListed(ctx context.Context) error {
	if !p.route.Resumable || p.q.LastEvent != "" || p.headSent {
		return nil
	}
	since := time.Now()
	for p.fleet.isHeld(p.q.ID) {
		if !looper.Sleep(ctx, holdPollInterval) {
			return ctx.Err()
		}
	}
	if took := time.Since(since); took >= holdPollInterval {
		p.log.Info().Str("Request", string(p.q.ID)).Dur("Took", took).Msg("StreamHeld")
	}
	return nil
}

func (f *Fleet) isHeld(id identifier.Request) (is bool) {
	f.step(coreVersions, id, func() { is = f.versions.IsHeld(time.Now(), id) })
	return is
}

func (f *Fleet) isInTouch() (is bool) {
	f.step(coreVersions, "IsInTouch", func() { is = f.versions.IsInTouch(time.Now()) })
	return is
}

func (f *Fleet) takeUp(pool identifier.Pool, id identifier.Request) (o, presumed versioner.Origin) {
	f.step(coreVersions, id, func() {
		now := time.Now()
		o, presumed = f.versions.TakeUp(now, pool, id), f.versions.Presume(now, pool, id)
	})
	return o, presumed
}

func (f *Fleet) listedOrigin(id identifier.Request) (o versioner.Origin, ok bool) {
	f.step(coreVersions, id, func() { o, ok = f.versions.Listed(time.Now(), id) })
	return o, ok
}

// updateCapacities tells the division of streams how many requests each version takes.
func (f *Fleet) updateCapacities() {
	c := f.configuration.Load()
	if c == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.Pools)) {
		longest := c.Pools[id].LongestStream
		if longest == 0 {
			continue
		}
		var capacity map[identifier.Software]int
		f.step(coreView, id, func() { capacity = f.view.Capacity(id) })
		f.stepVersions(versioner.PoolChanged{Pool: id, Capacity: capacity, Longest: longest})
	}
}

// stepVersions passes an event to the division of streams among versions and performs its
// outcomes.
func (f *Fleet) stepVersions(e versioner.Event) {
	var outcomes []versioner.Outcome
	var by rebuildCount
	f.step(coreVersions, e, func() {
		outcomes, by = f.versions.Step(time.Now(), e), f.rebuildsOf(coreVersions)
	})
	f.performVersions(by, outcomes)
}

// performVersions performs the outcomes of a core that had been rebuilt by times.
func (f *Fleet) performVersions(by rebuildCount, outcomes []versioner.Outcome) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case versioner.Write:
			f.writeVersions(by, o)
		case versioner.Publish:
			f.writeStreams(by, o)
		case versioner.Moved:
			line := f.log.Info().Str("Pool", string(o.Pool))
			for _, software := range slices.Sorted(maps.Keys(o.Buckets)) {
				line = line.Int("Buckets."+string(software), o.Buckets[software])
			}
			line.Msg("StreamsDivided")
		case versioner.Shared:
			f.log.Info().Str("Pool", string(o.Pool)).Int("Buckets", o.Buckets).Msg("DivisionShared")
		}
	}
}

// handleVersions handles the record of versions that all VMs share.
func (f *Fleet) handleVersions(entry keeper.Entry) {
	read, err := readEntry(f.steps, entry, decodeVersions)
	if err != nil {
		f.logUnreadable(entry, err)
		return
	}
	f.stepVersions(read)
}

// handleStreams handles a list of streams that a VM has begun.
func (f *Fleet) handleStreams(entry keeper.Entry) {
	f.mu.Lock()
	isOwn := entry.Key == streamsKey(f.ownVM())
	if isOwn {
		f.streamsVersion = entry.Version
	}
	f.mu.Unlock()
	read, err := readEntry(f.steps, entry, decodeStreams)
	if err != nil {
		f.logUnreadable(entry, err)
		return
	}
	read.IsOwn = isOwn
	f.stepVersions(read)
}

func decodeStreams(entry keeper.Entry) (versioner.StreamsRead, error) {
	read := versioner.StreamsRead{VM: identifier.VM(strings.TrimPrefix(entry.Key, streamsPrefix)), Streams: versioner.Streams{}}
	var e wire.StreamRecord
	if err := proto.Unmarshal(entry.Value, &e); err != nil {
		return read, err
	}
	read.Seen = keeper.Age{Era: keeper.Era(e.Era), Version: keeper.Version(e.Version)}
	for _, g := range e.Groups {
		for _, h := range g.Hashes {
			read.Streams[identifier.Software(g.Software)] = append(read.Streams[identifier.Software(g.Software)], versioner.Hash(h))
		}
	}
	return read, nil
}

func (f *Fleet) logUnreadable(entry keeper.Entry, err error) {
	f.metrics.unreadableEntries.Inc()
	f.log.Warn().Str("Key", entry.Key).Int64("Version", int64(entry.Version)).AnErr("Error", err).Msg("EntryNotRead")
}

// writeVersions never blocks: no other write follows before the result of this one.
func (f *Fleet) writeVersions(by rebuildCount, o versioner.Write) {
	value, err := encodeVersions(o)
	if err != nil {
		f.log.Error().Str("Key", versionsKey).AnErr("Error", err).Msg("RecordNotWritten")
		f.stepVersions(versioner.WriteFailed{})
		return
	}
	f.requestWrite(f.versionWrites, coreVersions, by, recordWrite{
		value: value, expected: o.Expected,
		written: func(entry keeper.Entry) {
			f.stepVersions(versioner.Written{Version: entry.Version, Era: entry.Era})
			f.handleVersions(keeper.Entry{Key: versionsKey, Value: value, Version: entry.Version, Era: entry.Era})
		},
		conflicted: func(entry keeper.Entry) bool {
			read, err := readEntry(f.steps, entry, decodeVersions)
			if err == nil {
				f.stepVersions(versioner.Conflicted{RecordRead: read})
			}
			return err == nil
		},
		failed: func() { f.stepVersions(versioner.WriteFailed{}) },
	})
}

// writeStreams never blocks, for the same reason. Only this VM writes its list.
func (f *Fleet) writeStreams(by rebuildCount, o versioner.Publish) {
	e := &wire.StreamRecord{Era: int64(o.Seen.Era), Version: int64(o.Seen.Version)}
	for _, software := range slices.Sorted(maps.Keys(o.Streams)) {
		g := &wire.SoftwareStreams{Software: string(software)}
		for _, h := range o.Streams[software] {
			g.Hashes = append(g.Hashes, uint64(h))
		}
		e.Groups = append(e.Groups, g)
	}
	f.mu.Lock()
	key, expected := streamsKey(f.ownVM()), f.streamsVersion
	f.mu.Unlock()
	value, err := proto.Marshal(e)
	if err != nil {
		f.log.Error().Str("Key", key).AnErr("Error", err).Msg("RecordNotWritten")
		f.stepVersions(versioner.Published{Failed: true})
		return
	}
	f.requestWrite(f.streamWrites, coreVersions, by, recordWrite{
		value: value, expected: expected,
		written: func(entry keeper.Entry) {
			f.mu.Lock()
			f.streamsVersion = entry.Version
			f.mu.Unlock()
			f.stepVersions(versioner.Published{})
		},
		conflicted: func(keeper.Entry) bool { return false },
		failed:     func() { f.stepVersions(versioner.Published{Failed: true}) },
	})
}

// streamsKey returns the key of the list of streams of a VM.
func streamsKey(vm identifier.VM) string { return streamsPrefix + string(vm) }

// rankOf returns how many VMs of the roster come before this one.
func rankOf(self identifier.VM, vms []identifier.VM) int {
	i, _ := slices.BinarySearch(vms, self)
	return i
}

func decodeVersions(entry keeper.Entry) (versioner.RecordRead, error) {
	read := versioner.RecordRead{Version: entry.Version, Era: entry.Era, IsMissing: entry.Value == nil, Record: versioner.Record{}}
	var e wire.SoftwareRecord
	if err := proto.Unmarshal(entry.Value, &e); err != nil {
		return read, err
	}
	read.WrittenIn = keeper.Era(e.Era)
	for _, pool := range e.Pools {
		var a versioner.Assignment
		for _, one := range pool.Buckets {
			var b versioner.Bucket
			for _, software := range one.Versions {
				b = append(b, identifier.Software(software))
			}
			a = append(a, b)
		}
		read.Record[identifier.Pool(pool.Pool)] = a
	}
	return read, nil
}

func encodeVersions(o versioner.Write) ([]byte, error) {
	e := &wire.SoftwareRecord{Era: int64(o.Era)}
	for _, id := range slices.Sorted(maps.Keys(o.Record)) {
		pool := &wire.PoolSoftware{Pool: string(id)}
		for _, b := range o.Record[id] {
			one := &wire.SoftwareBucket{}
			for _, software := range b {
				one.Versions = append(one.Versions, string(software))
			}
			pool.Buckets = append(pool.Buckets, one)
		}
		e.Pools = append(e.Pools, pool)
	}
	return proto.Marshal(e)
}

// handleVersionsEntry handles the keys of the division of streams and reports whether
// entry has one of them.
func (f *Fleet) handleVersionsEntry(entry keeper.Entry) bool {
	switch {
	case entry.Key == versionsKey:
		f.handleVersions(entry)
	case strings.HasPrefix(entry.Key, streamsPrefix):
		f.handleStreams(entry)
	default:
		return false
	}
	return true
}
