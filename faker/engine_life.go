package faker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxQueuedCalls bounds the calls that are queued for the engine's goroutine.
	// Further callers block.
	maxQueuedCalls = 256
	// maxCacheEvents bounds the cache events that are kept for queries.
	maxCacheEvents = 4096
	// finishedStreamTTL is how long a finished stream can still be read.
	finishedStreamTTL = 10 * time.Second
)

// engineProcess simulates one process of an engine, from its start until it is
// killed. Only the goroutine of run uses its fields, except for calls, ctx and
// cancel.
type engineProcess struct {
	*EngineServer
	core        *Engine
	incarnation identifier.Incarnation
	// calls are the functions for run to call.
	calls chan func()
	// ctx ends when the process is killed, by cancel.
	ctx    context.Context
	cancel context.CancelFunc
	// timer fires at the last AdvanceAt.
	timer *time.Timer
	jobs  map[identifier.Hold]*engineJob
	// events is at most maxCacheEvents long.
	events []driver.CacheEvent
	// serving is what the engine serves after the last order.
	serving driver.OrderResult
}

// engineJob is the state of one attempt on the engine.
type engineJob struct {
	prompt string
	// generated is the part of the answer that earlier attempts generated.
	generated string
	// from is the address of the prefill engine.
	from string
	// maxOutput is the maximum length of the whole answer.
	maxOutput identifier.Tokens
	pieces    identifier.Pieces
	since     time.Time
	// lastRead is when a client last read tokens; zero before the first read.
	lastRead time.Time
	// done is true once the prefill or the import has ended.
	done bool
	// cached is how many tokens the prefill found in the prefix cache.
	cached identifier.Tokens
	// took is the duration of the prefill or the import.
	took time.Duration
	// answerLength is the length of the whole answer in tokens; zero before the
	// stream starts.
	answerLength identifier.Tokens
	// firstIndex is the index of the first token of this stream, nextIndex that
	// of the next token to generate.
	firstIndex, nextIndex identifier.Tokens
	// refusal is nil unless the job has failed.
	refusal *driver.Refusal
	// changed is closed and replaced when another field has changed.
	changed chan struct{}
}

// isDone reports whether the prefill or the import has ended.
func (j *engineJob) isDone() bool { return j.done }

// isEnded reports whether the whole answer was generated.
func (j *engineJob) isEnded() bool { return j.answerLength > 0 && j.nextIndex == j.answerLength }

// notifyChanged wakes the callers of await that wait for the job.
func (j *engineJob) notifyChanged() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func newEngineProcess(s *EngineServer, core *Engine) *engineProcess {
	l := &engineProcess{
		EngineServer: s,
		core:         core,
		incarnation:  s.incarnation,
		calls:        make(chan func(), maxQueuedCalls),
		timer:        time.NewTimer(time.Hour),
		jobs:         make(map[identifier.Hold]*engineJob),
		serving:      driver.OrderResult{Role: s.cfg.Role, Models: s.cfg.Models},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	go l.run()
	return l
}

// run executes calls and advances the engine until the process is killed.
func (l *engineProcess) run() {
	defer l.timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case call := <-l.calls:
			call()
		case <-l.timer.C:
			l.step(Advance{})
		}
	}
}

// runOn runs a function on the engine's goroutine and returns its result, or false
// if ctx ended or the engine was killed before. The function may still run after
// ctx has ended.
func runOn[T any](ctx context.Context, l *engineProcess, call func() T) (T, bool) {
	result := make(chan T, 1)
	var none T
	select {
	case l.calls <- func() { result <- call() }:
	case <-ctx.Done():
		return none, false
	case <-l.ctx.Done():
		return none, false
	}
	select {
	case value := <-result:
		return value, true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return none, false
}

// enqueue queues a function for the engine's goroutine unless the engine is killed.
func (l *engineProcess) enqueue(call func()) {
	select {
	case l.calls <- call:
	case <-l.ctx.Done():
	}
}

// step applies an event to the engine and handles the outcomes.
func (l *engineProcess) step(event EngineEvent) {
	for _, outcome := range l.core.Step(time.Now(), event) {
		l.handleOutcome(outcome)
	}
}

func (l *engineProcess) handleOutcome(outcome EngineOutcome) {
	switch o := outcome.(type) {
	case AdvanceAt:
		l.timer.Reset(time.Until(o.At))
	case CacheChanged:
		l.events = append(l.events, driver.CacheEvent(o))
		l.events = l.events[max(0, len(l.events)-maxCacheEvents):]
	case PrefillDone:
		l.handlePrefillDone(o)
	case ImportDone:
		l.handleImportDone(o)
	case TokenGenerated:
		l.handleTokenMade(o)
	case PrefillRefused:
		l.failJob(o.Hold, driver.KindFull, "the prefill queue is full")
	case ImportRefused:
		l.failJob(o.Hold, driver.KindFull, "no memory is free")
	case ResultEvicted:
		l.failJob(o.Hold, driver.KindGone, "the prefill result was evicted")
	case StreamDropped:
		l.failJob(o.Hold, driver.KindGone, "the stream outgrew its memory")
	case DecodeRefused:
		l.failJob(o.Hold, driver.KindGone, "no KV cache is here")
	case PrefillStopped:
	}
}

func (l *engineProcess) handlePrefillDone(o PrefillDone) {
	if job := l.jobs[o.Hold]; job != nil && !l.tryCrash(job.prompt) {
		job.done, job.cached, job.took = true, o.Cached, o.Took
		job.notifyChanged()
	}
}

// handleImportDone ends an import, or drops the hold if the prefill engine lost the
// result during the transfer.
func (l *engineProcess) handleImportDone(o ImportDone) {
	job := l.jobs[o.Hold]
	if job == nil {
		return
	}
	job.took = o.Took
	go l.fetchResult(o.Hold, job.from, true, func(exportReply) {
		job.done = true
		job.notifyChanged()
	})
}

func (l *engineProcess) handleTokenMade(token TokenGenerated) {
	job := l.jobs[token.Hold]
	if job == nil || l.tryCrash(job.prompt) {
		return
	}
	job.nextIndex = job.firstIndex + token.Index + 1
	job.notifyChanged()
	if token.Last {
		time.AfterFunc(finishedStreamTTL, func() {
			l.enqueue(func() { l.failJob(token.Hold, driver.KindGone, "the stream ended long ago") })
		})
	}
}

// tryCrash kills the engine if the prompt is one that crashes it, and reports
// whether it did.
func (l *engineProcess) tryCrash(prompt string) bool {
	if !l.crashesOn(prompt) {
		return false
	}
	l.killProcess(l)
	return true
}

// failJob ends a job with a refusal.
func (l *engineProcess) failJob(hold identifier.Hold, kind driver.Kind, reason string) {
	job := l.jobs[hold]
	if job == nil {
		return
	}
	delete(l.jobs, hold)
	job.refusal = &driver.Refusal{Kind: kind, Reason: reason}
	job.notifyChanged()
}

// addJob adds a job. It returns false if the attempt has one already, or false and
// a refusal if the engine is leaving.
func (l *engineProcess) addJob(hold identifier.Hold, job engineJob) (bool, *driver.Refusal) {
	if l.jobs[hold] != nil {
		return false, nil
	}
	if l.isLeaving() {
		return false, &driver.Refusal{Kind: driver.KindLeaving, Reason: "no new work is taken"}
	}
	job.since = time.Now()
	job.changed = make(chan struct{})
	l.jobs[hold] = &job
	return true, nil
}

// await waits until a job is ready or has failed and returns a copy of it. If the
// request ends or the engine is killed before, it panics with
// http.ErrAbortHandler to close the connection.
func (l *engineProcess) await(ctx context.Context, hold identifier.Hold, ready func(*engineJob) bool) (engineJob, *driver.Refusal) {
	job, ok := runOn(ctx, l, func() *engineJob { return l.jobs[hold] })
	if ok && job == nil {
		return engineJob{}, goneRefusal("the hold is not known")
	}
	for ok {
		var view engineJob
		view, ok = runOn(ctx, l, func() engineJob { return *job })
		if ok && (view.refusal != nil || ready(&view)) {
			return view, view.refusal
		}
		select {
		case <-view.changed:
		case <-ctx.Done():
		case <-l.ctx.Done():
		}
	}
	panic(http.ErrAbortHandler)
}

// goneRefusal returns a refusal with KindGone.
func goneRefusal(reason string) *driver.Refusal {
	return &driver.Refusal{Kind: driver.KindGone, Reason: reason}
}

// writeResult waits until a prefill or an import has ended and writes the reply,
// which has the same form for both.
func (l *engineProcess) writeResult(w http.ResponseWriter, r *http.Request, query driver.HoldQuery) {
	job, refusal := l.await(r.Context(), query.Hold, (*engineJob).isDone)
	if refusal != nil {
		writeJSON(w, http.StatusConflict, refusal)
		return
	}
	result := driver.PrefillResult{Cached: job.cached, Took: job.took}
	writeJSON(w, http.StatusOK, driver.PrefillReply{Hold: query.Hold, PrefillResult: result})
}

// writeTokens writes the tokens of a job from query.From on as they are generated.
func (l *engineProcess) writeTokens(w http.ResponseWriter, r *http.Request, query driver.HoldQuery) {
	lines := json.NewEncoder(w)
	err := lines.Encode(driver.StreamLine{Hold: &query.Hold})
	from := query.From
	for err == nil && http.NewResponseController(w).Flush() == nil {
		job, refusal := l.await(r.Context(), query.Hold, func(j *engineJob) bool { return j.nextIndex > from || j.isEnded() })
		if refusal != nil {
			// The write fails only if the client has disconnected.
			_ = lines.Encode(driver.StreamLine{Refusal: refusal})
			return
		}
		for ; from < job.nextIndex && err == nil; from++ {
			err = lines.Encode(driver.StreamLine{Token: job.token(from)})
		}
		l.enqueue(func() { l.recordRead(query.Hold) })
		if job.isEnded() {
			return
		}
	}
}

// recordRead records that a client has read tokens of a job.
func (l *engineProcess) recordRead(hold identifier.Hold) {
	if job := l.jobs[hold]; job != nil {
		job.lastRead = time.Now()
	}
}

// token returns the token of the answer with an index.
func (j *engineJob) token(i identifier.Tokens) *driver.Token {
	token := driver.Token{Index: i, Text: tokenText(j.prompt, i)}
	switch {
	case i+1 < j.answerLength:
	case j.answerLength == j.maxOutput:
		token.Finish = "length"
	default:
		token.Finish = "stop"
	}
	return &token
}
