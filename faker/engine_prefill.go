package faker

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// maxPrefillQueue bounds the prefills that wait on one engine.
const maxPrefillQueue = 10_000

// prefillJob is one prefill from its start to the end of its result.
type prefillJob struct {
	StartPrefill
	number uint64
	// began is zero while the job waits.
	began time.Time
	// ends is the end of the run, then of the life of the result.
	ends   time.Time
	cached identifier.Tokens
	done   bool
}

// prefillDuty runs one prefill at a time, by priority and then by arrival.
type prefillDuty struct {
	*Engine
	prefixes *prefixCache
	queue    *btree.BTreeG[*prefillJob]
	running  *prefillJob
	// results is ordered by the end of their lives.
	results []*prefillJob
	// jobs holds the waiting, the running and the finished jobs.
	jobs   map[identifier.Hold]*prefillJob
	number uint64
}

func newPrefillDuty(e *Engine) *prefillDuty {
	return &prefillDuty{
		Engine:   e,
		prefixes: newPrefixCache(e.cfg.CacheBlocks),
		queue:    btree.NewBTreeGOptions(jobBefore, btree.Options{NoLocks: true}),
		jobs:     make(map[identifier.Hold]*prefillJob),
	}
}

func jobBefore(a, b *prefillJob) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.number < b.number
}

func (d *prefillDuty) due() time.Time {
	var at time.Time
	if d.running != nil {
		at = d.running.ends
	}
	if len(d.results) > 0 {
		at = earlier(at, d.results[0].ends)
	}
	return at
}

func (d *prefillDuty) advance(at time.Time) {
	for len(d.results) > 0 && !d.results[0].ends.After(at) {
		d.emit(ResultEvicted{Hold: d.results[0].Hold})
		d.forget(d.results[0])
	}
	if d.running != nil && !d.running.ends.After(at) {
		d.finish(at)
		d.startNext(at)
	}
}

func (d *prefillDuty) apply(now time.Time, event EngineEvent) {
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

func (d *prefillDuty) enqueue(now time.Time, event StartPrefill) {
	if _, ok := d.jobs[event.Hold]; ok {
		return
	}
	if d.queue.Len() >= maxPrefillQueue {
		d.emit(PrefillRefused{Hold: event.Hold})
		return
	}
	d.number++
	job := &prefillJob{StartPrefill: event, number: d.number}
	d.jobs[event.Hold] = job
	d.queue.Set(job)
	d.startNext(now)
}

func (d *prefillDuty) startNext(now time.Time) {
	if d.running != nil {
		return
	}
	job, ok := d.queue.PopMin()
	if !ok {
		return
	}
	job.cached = min(d.prefixes.hit(job.Prefix), max(job.Prompt-1, 0))
	job.began = now
	cost := d.cfg.PrefillBase + time.Duration(job.Prompt-job.cached)*d.cfg.PrefillPerToken
	job.ends = now.Add(d.spread(cost))
	d.running = job
}

func (d *prefillDuty) finish(at time.Time) {
	job := d.running
	d.running = nil
	job.done = true
	d.emit(PrefillDone{Hold: job.Hold, Cached: job.cached, Took: at.Sub(job.began)})
	added, removed := d.prefixes.insert(job.Prefix)
	d.cache.add(at, added, removed)
	job.ends = at.Add(d.cfg.ResultLives)
	d.results = append(d.results, job)
}

func (d *prefillDuty) release(now time.Time, hold identifier.Hold) {
	job, ok := d.jobs[hold]
	if !ok {
		return
	}
	d.forget(job)
	if job == d.running {
		d.running = nil
		d.emit(PrefillStopped{Hold: hold, Spent: now.Sub(job.began)})
		d.startNext(now)
	}
}

func (d *prefillDuty) forget(job *prefillJob) {
	delete(d.jobs, job.Hold)
	d.queue.Delete(job)
	d.results = slices.DeleteFunc(d.results, func(other *prefillJob) bool { return other == job })
}

func (d *prefillDuty) holds() iter.Seq[identifier.Hold] { return maps.Keys(d.jobs) }

func (d *prefillDuty) holding(hold identifier.Hold) bool {
	_, ok := d.jobs[hold]
	return ok
}

func (d *prefillDuty) load() EngineLoad {
	load := EngineLoad{Queued: d.queue.Len()}
	if d.running != nil {
		load.Running = 1
	}
	return load
}
