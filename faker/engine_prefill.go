package faker

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// maxPrefillQueue bounds the prefills that wait in the queue of one engine.
const maxPrefillQueue = 10_000

// prefillJob is one attempt on a prefill engine, until its result is released or
// evicted.
type prefillJob struct {
	StartPrefill
	// number is the job's position in the order of arrival.
	number uint64
	// startedAt is when the prefill started; zero while the job waits.
	startedAt time.Time
	// endsAt is when the running prefill ends, and after that when its result is
	// evicted.
	endsAt time.Time
	// cached is how many tokens were found in the prefix cache.
	cached identifier.Tokens
	done   bool
}

// prefillEngine is a prefill engine. It runs one prefill at a time, ordered by
// priority and then by arrival.
type prefillEngine struct {
	*Engine
	prefixes *prefixCache
	queue    *btree.BTreeG[*prefillJob]
	// runningJob is nil if no prefill runs.
	runningJob *prefillJob
	// results has the finished jobs, ordered by the time of their eviction.
	results []*prefillJob
	// jobs has the waiting, the running and the finished jobs.
	jobs map[identifier.Hold]*prefillJob
	// lastNumber is the number of the job that arrived last.
	lastNumber uint64
}

func newPrefillEngine(e *Engine) *prefillEngine {
	return &prefillEngine{
		Engine:   e,
		prefixes: newPrefixCache(e.cfg.CacheBlocks),
		queue:    btree.NewBTreeGOptions(runsBefore, btree.Options{NoLocks: true}),
		jobs:     make(map[identifier.Hold]*prefillJob),
	}
}

// runsBefore reports whether a runs before b.
func runsBefore(a, b *prefillJob) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.number < b.number
}

func (d *prefillEngine) due() time.Time {
	var at time.Time
	if d.runningJob != nil {
		at = d.runningJob.endsAt
	}
	if len(d.results) > 0 {
		at = earlier(at, d.results[0].endsAt)
	}
	return at
}

func (d *prefillEngine) advance(at time.Time) {
	for len(d.results) > 0 && !d.results[0].endsAt.After(at) {
		d.emit(ResultEvicted{Hold: d.results[0].Hold})
		d.remove(d.results[0])
	}
	if d.runningJob != nil && !d.runningJob.endsAt.After(at) {
		d.finish(at)
		d.startNext(at)
	}
}

func (d *prefillEngine) apply(now time.Time, event EngineEvent) {
	switch event := event.(type) {
	case StartPrefill:
		d.enqueue(now, event)
	case Release:
		d.release(now, event.Hold)
	case StartImport:
		d.emit(ImportRefused{Hold: event.Hold})
	case StartDecode:
		d.emit(DecodeRefused{Hold: event.Hold})
	case StallLink, Advance:
	}
}

func (d *prefillEngine) enqueue(now time.Time, event StartPrefill) {
	if _, ok := d.jobs[event.Hold]; ok {
		return
	}
	if d.queue.Len() >= maxPrefillQueue {
		d.emit(PrefillRefused{Hold: event.Hold})
		return
	}
	d.lastNumber++
	job := &prefillJob{StartPrefill: event, number: d.lastNumber}
	d.jobs[event.Hold] = job
	d.queue.Set(job)
	d.startNext(now)
}

// startNext starts the first prefill of the queue if none is running.
func (d *prefillEngine) startNext(now time.Time) {
	if d.runningJob != nil {
		return
	}
	job, ok := d.queue.PopMin()
	if !ok {
		return
	}
	job.cached = min(d.prefixes.cachedTokens(job.Prefix), max(job.PromptTokens-1, 0))
	job.startedAt = now
	cost := d.cfg.PrefillBase + time.Duration(job.PromptTokens-job.cached)*d.cfg.PrefillPerToken
	job.endsAt = now.Add(d.addJitter(cost))
	d.runningJob = job
}

// finish ends the running prefill and keeps its result.
func (d *prefillEngine) finish(at time.Time) {
	job := d.runningJob
	d.runningJob = nil
	job.done = true
	d.emit(PrefillDone{Hold: job.Hold, Cached: job.cached, Took: at.Sub(job.startedAt)})
	added, removed := d.prefixes.insert(job.Prefix)
	d.cache.schedule(at, added, removed)
	job.endsAt = at.Add(d.cfg.ResultLives)
	d.results = append(d.results, job)
}

func (d *prefillEngine) release(now time.Time, hold identifier.Hold) {
	job, ok := d.jobs[hold]
	if !ok {
		return
	}
	d.remove(job)
	if job == d.runningJob {
		d.runningJob = nil
		d.emit(PrefillStopped{Hold: hold, Spent: now.Sub(job.startedAt)})
		d.startNext(now)
	}
}

// remove removes a job, whether it waits, runs or has finished.
func (d *prefillEngine) remove(job *prefillJob) {
	delete(d.jobs, job.Hold)
	d.queue.Delete(job)
	d.results = slices.DeleteFunc(d.results, func(other *prefillJob) bool { return other == job })
}

func (d *prefillEngine) holds() iter.Seq[identifier.Hold] { return maps.Keys(d.jobs) }

func (d *prefillEngine) holding(hold identifier.Hold) bool {
	_, ok := d.jobs[hold]
	return ok
}

func (d *prefillEngine) load() EngineLoad {
	load := EngineLoad{Queued: d.queue.Len()}
	if d.runningJob != nil {
		load.Running = 1
	}
	return load
}
