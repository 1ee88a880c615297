package faker

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// decodeJob is one attempt on a decode engine, from the start of its import to
// its last token.
type decodeJob struct {
	StartImport
	// requestedAt is when the import was requested.
	requestedAt time.Time
	isImported  bool
	// output is how many tokens to generate; zero until StartDecode.
	output identifier.Tokens
	// generated is how many tokens were generated so far.
	generated identifier.Tokens
	// isRemoved is true once the job has ended. It may still be in the batch.
	isRemoved bool
}

// decodeEngine is a decode engine. It imports one KV cache at a time, in order of
// arrival, and generates one token for each running stream in a step.
type decodeEngine struct {
	*Engine
	// usedPieces is the sum of the pieces of jobs, at most cfg.Pieces.
	usedPieces identifier.Pieces
	// jobs has at most cfg.Streams entries.
	jobs map[identifier.Hold]*decodeJob
	// importQueue is the queue of imports. The first one is being transferred.
	importQueue []*decodeJob
	// transferEndsAt is when the first import ends; zero if there is none.
	transferEndsAt time.Time
	// stalledUntil is the end of the last stall.
	stalledUntil time.Time
	// batch has the streams of the current step.
	batch []*decodeJob
	// joining has the streams that join the batch in the next step.
	joining []*decodeJob
	// stepEndsAt is when the current step ends; zero if there is none.
	stepEndsAt time.Time
}

func newDecodeEngine(e *Engine) *decodeEngine {
	return &decodeEngine{Engine: e, jobs: make(map[identifier.Hold]*decodeJob)}
}

func (d *decodeEngine) due() time.Time { return earlier(d.transferEndsAt, d.stepEndsAt) }

func (d *decodeEngine) advance(at time.Time) {
	if !d.transferEndsAt.IsZero() && !d.transferEndsAt.After(at) {
		d.finishImport(at)
	}
	if !d.stepEndsAt.IsZero() && !d.stepEndsAt.After(at) {
		d.finishStep(at)
	}
}

func (d *decodeEngine) apply(now time.Time, event EngineEvent) {
	switch event := event.(type) {
	case StartImport:
		d.startImport(now, event)
	case StartDecode:
		d.startDecode(now, event)
	case Release:
		d.release(now, event.Hold)
	case StallLink:
		d.stallLink(now, event.Until)
	case StartPrefill:
		d.emit(PrefillRefused{Hold: event.Hold})
	case Advance:
	}
}

func (d *decodeEngine) startImport(now time.Time, event StartImport) {
	if _, ok := d.jobs[event.Hold]; ok {
		return
	}
	event.Pieces = max(event.Pieces, identifier.PiecesFor(event.Tokens))
	if d.usedPieces+event.Pieces > d.cfg.Pieces || len(d.jobs) >= d.cfg.Streams {
		d.emit(ImportRefused{Hold: event.Hold})
		return
	}
	job := &decodeJob{StartImport: event, requestedAt: now}
	d.jobs[event.Hold] = job
	d.usedPieces += event.Pieces
	d.importQueue = append(d.importQueue, job)
	if len(d.importQueue) == 1 {
		d.startTransfer(now)
	}
}

// startTransfer starts the transfer of the first import in the queue.
func (d *decodeEngine) startTransfer(now time.Time) {
	d.transferEndsAt = time.Time{}
	if len(d.importQueue) == 0 {
		return
	}
	if d.stalledUntil.After(now) {
		now = d.stalledUntil
	}
	seconds := float64(d.importQueue[0].Tokens) / d.cfg.LinkTokensPerSecond
	took := time.Duration(seconds*float64(time.Second)) + d.importQueue[0].Delay
	d.transferEndsAt = now.Add(took)
}

// finishImport ends the current transfer and starts the next one.
func (d *decodeEngine) finishImport(at time.Time) {
	job := d.importQueue[0]
	job.isImported = true
	d.emit(ImportDone{Hold: job.Hold, Took: at.Sub(job.requestedAt)})
	d.importQueue = d.importQueue[1:]
	d.startTransfer(at)
}

// stallLink delays the current transfer and the later ones until a time.
func (d *decodeEngine) stallLink(now, until time.Time) {
	rest := d.transferEndsAt.Sub(now)
	if !d.transferEndsAt.IsZero() && until.After(now) {
		d.transferEndsAt = until.Add(rest)
	}
	d.stalledUntil = until
}

func (d *decodeEngine) startDecode(now time.Time, event StartDecode) {
	job, ok := d.jobs[event.Hold]
	if !ok || !job.isImported {
		d.emit(DecodeRefused{Hold: event.Hold})
		return
	}
	if job.output > 0 {
		return
	}
	job.output = max(event.OutputTokens, 1)
	d.joining = append(d.joining, job)
	if d.stepEndsAt.IsZero() {
		d.startStep(now)
	}
}

// startStep moves the joining streams into the batch and starts a step.
func (d *decodeEngine) startStep(now time.Time) {
	d.batch = append(d.batch, d.joining...)
	d.joining = d.joining[:0]
	d.stepEndsAt = time.Time{}
	if len(d.batch) == 0 {
		return
	}
	cost := d.cfg.StepBase + time.Duration(len(d.batch))*d.cfg.StepPerStream
	d.stepEndsAt = now.Add(d.addJitter(cost))
}

// finishStep generates one token for each stream of the batch and starts the next
// step.
func (d *decodeEngine) finishStep(at time.Time) {
	running := d.batch[:0]
	for _, job := range d.batch {
		if job.isRemoved || !d.tryGrow(job) {
			continue
		}
		last := job.generated+1 == job.output
		if !d.cfg.EdgeTokens || last || job.generated == 0 {
			d.emit(TokenGenerated{Hold: job.Hold, Index: job.generated, Last: last})
		}
		job.generated++
		if last {
			d.remove(job)
			continue
		}
		running = append(running, job)
	}
	clear(d.batch[len(running):])
	d.batch = running
	d.startStep(at)
}

// tryGrow reserves one more piece for a stream if its next token needs it. If none
// is free, it drops the stream and returns false.
func (d *decodeEngine) tryGrow(job *decodeJob) bool {
	if identifier.PiecesFor(job.Tokens+job.generated+1) <= job.Pieces {
		return true
	}
	if d.usedPieces == d.cfg.Pieces {
		d.remove(job)
		d.emit(StreamDropped{Hold: job.Hold})
		return false
	}
	d.usedPieces++
	job.Pieces++
	return true
}

func (d *decodeEngine) release(now time.Time, hold identifier.Hold) {
	job, ok := d.jobs[hold]
	if !ok {
		return
	}
	d.remove(job)
	same := func(other *decodeJob) bool { return other == job }
	d.joining = slices.DeleteFunc(d.joining, same)
	if len(d.importQueue) > 0 && d.importQueue[0] == job {
		d.importQueue = d.importQueue[1:]
		d.startTransfer(now)
		return
	}
	d.importQueue = slices.DeleteFunc(d.importQueue, same)
}

// remove removes a job and frees its memory.
func (d *decodeEngine) remove(job *decodeJob) {
	job.isRemoved = true
	delete(d.jobs, job.Hold)
	d.usedPieces -= job.Pieces
}

func (d *decodeEngine) holds() iter.Seq[identifier.Hold] { return maps.Keys(d.jobs) }

func (d *decodeEngine) holding(hold identifier.Hold) bool {
	_, ok := d.jobs[hold]
	return ok
}

func (d *decodeEngine) load() EngineLoad {
	return EngineLoad{
		Running:    len(d.batch) + len(d.joining),
		Queued:     len(d.importQueue),
		FreePieces: d.cfg.Pieces - d.usedPieces,
	}
}
