package faker

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// decodeJob is one attempt on a decode engine, from the start of its import
// to its last token.
type decodeJob struct {
	StartImport
	asked    time.Time
	imported bool
	// output is zero until StartDecode.
	output identifier.Tokens
	made   identifier.Tokens
	gone   bool
}

// decodeDuty imports one KV cache at a time, in order of arrival, and gives
// each running stream one token a step.
type decodeDuty struct {
	*Engine
	// used is the sum of the pieces of jobs, at most cfg.Pieces.
	used identifier.Pieces
	// jobs has at most cfg.Streams entries.
	jobs map[identifier.Hold]*decodeJob
	// link holds the imports in order. The first one is on the link.
	link        []*decodeJob
	linkEnds    time.Time
	linkStalled time.Time
	// batch is the streams of the current step, joined by joining at its end.
	batch    []*decodeJob
	joining  []*decodeJob
	stepEnds time.Time
}

func newDecodeDuty(e *Engine) *decodeDuty {
	return &decodeDuty{Engine: e, jobs: make(map[identifier.Hold]*decodeJob)}
}

func (d *decodeDuty) due() time.Time { return earlier(d.linkEnds, d.stepEnds) }

func (d *decodeDuty) advance(at time.Time) {
	if !d.linkEnds.IsZero() && !d.linkEnds.After(at) {
		d.endImport(at)
	}
	if !d.stepEnds.IsZero() && !d.stepEnds.After(at) {
		d.endStep(at)
	}
}

func (d *decodeDuty) apply(now time.Time, event EngineEvent) {
	switch event := event.(type) {
	case StartImport:
		d.startImport(now, event)
	case StartDecode:
		d.startDecode(now, event)
	case Release:
		d.release(now, event.Hold)
	case StallLink:
		d.stall(now, event.Until)
	case StartPrefill:
		d.emit(PrefillRefused{Hold: event.Hold})
	case Advance:
	}
}

func (d *decodeDuty) startImport(now time.Time, event StartImport) {
	if _, ok := d.jobs[event.Hold]; ok {
		return
	}
	event.Pieces = max(event.Pieces, identifier.PiecesFor(event.Tokens))
	if d.used+event.Pieces > d.cfg.Pieces || len(d.jobs) >= d.cfg.Streams {
		d.emit(ImportRefused{Hold: event.Hold})
		return
	}
	job := &decodeJob{StartImport: event, asked: now}
	d.jobs[event.Hold] = job
	d.used += event.Pieces
	d.link = append(d.link, job)
	if len(d.link) == 1 {
		d.openLink(now)
	}
}

// openLink starts the first waiting import.
func (d *decodeDuty) openLink(now time.Time) {
	d.linkEnds = time.Time{}
	if len(d.link) == 0 {
		return
	}
	if d.linkStalled.After(now) {
		now = d.linkStalled
	}
	seconds := float64(d.link[0].Tokens) / d.cfg.LinkTokensPerSecond
	took := time.Duration(seconds*float64(time.Second)) + d.link[0].Delay
	d.linkEnds = now.Add(took)
}

func (d *decodeDuty) endImport(at time.Time) {
	job := d.link[0]
	job.imported = true
	d.emit(ImportDone{Hold: job.Hold, Took: at.Sub(job.asked)})
	d.link = d.link[1:]
	d.openLink(at)
}

func (d *decodeDuty) stall(now, until time.Time) {
	rest := d.linkEnds.Sub(now)
	if !d.linkEnds.IsZero() && until.After(now) {
		d.linkEnds = until.Add(rest)
	}
	d.linkStalled = until
}

func (d *decodeDuty) startDecode(now time.Time, event StartDecode) {
	job, ok := d.jobs[event.Hold]
	if !ok || !job.imported {
		d.emit(DecodeRefused{Hold: event.Hold})
		return
	}
	if job.output > 0 {
		return
	}
	job.output = max(event.Output, 1)
	d.joining = append(d.joining, job)
	if d.stepEnds.IsZero() {
		d.startStep(now)
	}
}

// startStep takes the joining streams into the batch and starts a step.
func (d *decodeDuty) startStep(now time.Time) {
	d.batch = append(d.batch, d.joining...)
	d.joining = d.joining[:0]
	d.stepEnds = time.Time{}
	if len(d.batch) == 0 {
		return
	}
	cost := d.cfg.StepBase + time.Duration(len(d.batch))*d.cfg.StepPerStream
	d.stepEnds = now.Add(d.spread(cost))
}

func (d *decodeDuty) endStep(at time.Time) {
	running := d.batch[:0]
	for _, job := range d.batch {
		if job.gone || !d.grow(job) {
			continue
		}
		last := job.made+1 == job.output
		if !d.cfg.EdgeTokens || last || job.made == 0 {
			d.emit(TokenMade{Hold: job.Hold, Index: job.made, Last: last})
		}
		job.made++
		if last {
			d.forget(job)
			continue
		}
		running = append(running, job)
	}
	clear(d.batch[len(running):])
	d.batch = running
	d.startStep(at)
}

// grow takes a further piece for a stream that outgrows its reservation. A
// stream that finds none is dropped.
func (d *decodeDuty) grow(job *decodeJob) bool {
	if identifier.PiecesFor(job.Tokens+job.made+1) <= job.Pieces {
		return true
	}
	if d.used == d.cfg.Pieces {
		d.forget(job)
		d.emit(StreamDropped{Hold: job.Hold})
		return false
	}
	d.used++
	job.Pieces++
	return true
}

func (d *decodeDuty) release(now time.Time, hold identifier.Hold) {
	job, ok := d.jobs[hold]
	if !ok {
		return
	}
	d.forget(job)
	same := func(other *decodeJob) bool { return other == job }
	d.joining = slices.DeleteFunc(d.joining, same)
	if len(d.link) > 0 && d.link[0] == job {
		d.link = d.link[1:]
		d.openLink(now)
		return
	}
	d.link = slices.DeleteFunc(d.link, same)
}

func (d *decodeDuty) forget(job *decodeJob) {
	job.gone = true
	delete(d.jobs, job.Hold)
	d.used -= job.Pieces
}

func (d *decodeDuty) holds() iter.Seq[identifier.Hold] { return maps.Keys(d.jobs) }

func (d *decodeDuty) holding(hold identifier.Hold) bool {
	_, ok := d.jobs[hold]
	return ok
}

func (d *decodeDuty) load() EngineLoad {
	return EngineLoad{
		Running:    len(d.batch) + len(d.joining),
		Queued:     len(d.link),
		FreePieces: d.cfg.Pieces - d.used,
	}
}
