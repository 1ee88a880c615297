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
	// engineCalls is the calls that wait for the engine's goroutine.
	engineCalls = 256
	// maxCacheEvents is the cache events that can still be asked for.
	maxCacheEvents = 4096
	// streamLives is how long a finished stream can be read again.
	streamLives = 10 * time.Second
)

// engineLife is an engine from its start to its death. One goroutine owns
// all fields but calls and ctx.
type engineLife struct {
	*EngineServer
	core        *Engine
	incarnation identifier.Incarnation
	calls       chan func()
	ctx         context.Context
	end         context.CancelFunc
	timer       *time.Timer
	jobs        map[identifier.Hold]*engineJob
	// events is at most maxCacheEvents long.
	events []driver.CacheEvent
	serves driver.OrderResult
}

// engineJob is one attempt on the engine.
type engineJob struct {
	prompt string
	// generated is what earlier attempts made of the answer.
	generated string
	// from is the address of the prefill engine.
	from   string
	most   identifier.Tokens
	pieces identifier.Pieces
	since  time.Time
	// read is when a reader last took a token; zero before the first one.
	read time.Time
	// done says that the prefill or the import has ended.
	done   bool
	cached identifier.Tokens
	took   time.Duration
	// length is the length of the whole answer; zero before the stream starts.
	length identifier.Tokens
	// first is the first token of this stream, made the one after the last.
	first, made identifier.Tokens
	refusal     *driver.Refusal
	// changed is closed and replaced when something above has changed.
	changed chan struct{}
}

func (j *engineJob) isDone() bool  { return j.done }
func (j *engineJob) isEnded() bool { return j.length > 0 && j.made == j.length }

func (j *engineJob) signal() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func newEngineLife(s *EngineServer, core *Engine) *engineLife {
	l := &engineLife{
		EngineServer: s,
		core:         core,
		incarnation:  s.incarnation,
		calls:        make(chan func(), engineCalls),
		timer:        time.NewTimer(time.Hour),
		jobs:         make(map[identifier.Hold]*engineJob),
		serves:       driver.OrderResult{Role: s.cfg.Role, Models: s.cfg.Models},
	}
	l.ctx, l.end = context.WithCancel(context.Background())
	go l.run()
	return l
}

func (l *engineLife) run() {
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

// do runs a function on the engine's goroutine and returns its result, or
// false if the caller or the engine was gone before. The function runs even
// if its caller is gone by then.
func do[T any](ctx context.Context, l *engineLife, call func() T) (T, bool) {
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

// tell runs a function on the engine's goroutine as long as that lives.
func (l *engineLife) tell(call func()) {
	select {
	case l.calls <- call:
	case <-l.ctx.Done():
	}
}

func (l *engineLife) step(event EngineEvent) {
	for _, outcome := range l.core.Step(time.Now(), event) {
		l.note(outcome)
	}
}

func (l *engineLife) note(outcome EngineOutcome) {
	switch o := outcome.(type) {
	case AdvanceAt:
		l.timer.Reset(time.Until(o.At))
	case CacheChanged:
		l.events = append(l.events, driver.CacheEvent(o))
		l.events = l.events[max(0, len(l.events)-maxCacheEvents):]
	case PrefillDone:
		l.prefilled(o)
	case ImportDone:
		l.arrived(o)
	case TokenMade:
		l.made(o)
	case PrefillRefused:
		l.fail(o.Hold, driver.KindFull, "the prefill queue is full")
	case ImportRefused:
		l.fail(o.Hold, driver.KindFull, "no memory is free")
	case ResultEvicted:
		l.fail(o.Hold, driver.KindGone, "the prefill result was evicted")
	case StreamDropped:
		l.fail(o.Hold, driver.KindGone, "the stream outgrew its memory")
	case DecodeRefused:
		l.fail(o.Hold, driver.KindGone, "no KV cache is here")
	case PrefillStopped:
	}
}

func (l *engineLife) prefilled(o PrefillDone) {
	if job := l.jobs[o.Hold]; job != nil && !l.crash(job.prompt) {
		job.done, job.cached, job.took = true, o.Cached, o.Took
		job.signal()
	}
}

// arrived ends an import unless the prefill result was lost meanwhile.
func (l *engineLife) arrived(o ImportDone) {
	job := l.jobs[o.Hold]
	if job == nil {
		return
	}
	job.took = o.Took
	go l.pull(o.Hold, job.from, true, func(exportReply) {
		job.done = true
		job.signal()
	})
}

func (l *engineLife) made(token TokenMade) {
	job := l.jobs[token.Hold]
	if job == nil || l.crash(job.prompt) {
		return
	}
	job.made = job.first + token.Index + 1
	job.signal()
	if token.Last {
		time.AfterFunc(streamLives, func() {
			l.tell(func() { l.fail(token.Hold, driver.KindGone, "the stream ended long ago") })
		})
	}
}

// crash kills the engine if the prompt is one that does so.
func (l *engineLife) crash(prompt string) bool {
	if !l.crashesOn(prompt) {
		return false
	}
	l.kill(l)
	return true
}

// fail ends a job.
func (l *engineLife) fail(hold identifier.Hold, kind driver.Kind, reason string) {
	job := l.jobs[hold]
	if job == nil {
		return
	}
	delete(l.jobs, hold)
	job.refusal = &driver.Refusal{Kind: kind, Reason: reason}
	job.signal()
}

// start adds a job. It returns false if the attempt has one or if the engine
// takes no new work.
func (l *engineLife) start(hold identifier.Hold, job engineJob) (bool, *driver.Refusal) {
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

// await waits until a job is ready and returns a copy of it. It breaks the
// connection if the caller or the engine is gone before.
func (l *engineLife) await(ctx context.Context, hold identifier.Hold, ready func(*engineJob) bool) (engineJob, *driver.Refusal) {
	job, ok := do(ctx, l, func() *engineJob { return l.jobs[hold] })
	if ok && job == nil {
		return engineJob{}, gone("the hold is not known")
	}
	for ok {
		var view engineJob
		view, ok = do(ctx, l, func() engineJob { return *job })
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

func gone(reason string) *driver.Refusal {
	return &driver.Refusal{Kind: driver.KindGone, Reason: reason}
}

// finish answers when a prefill or an import has ended.
func (l *engineLife) finish(w http.ResponseWriter, r *http.Request, query driver.HoldQuery) {
	job, refusal := l.await(r.Context(), query.Hold, (*engineJob).isDone)
	if refusal != nil {
		answer(w, http.StatusConflict, refusal)
		return
	}
	result := driver.PrefillResult{Cached: job.cached, Took: job.took}
	answer(w, http.StatusOK, driver.PrefillReply{Hold: query.Hold, PrefillResult: result})
}

// stream writes the tokens of a job from one on, as they are made.
func (l *engineLife) stream(w http.ResponseWriter, r *http.Request, query driver.HoldQuery) {
	lines := json.NewEncoder(w)
	err := lines.Encode(driver.StreamLine{Hold: &query.Hold})
	from := query.From
	for err == nil && http.NewResponseController(w).Flush() == nil {
		job, refusal := l.await(r.Context(), query.Hold, func(j *engineJob) bool { return j.made > from || j.isEnded() })
		if refusal != nil {
			// An error means that the caller is gone.
			_ = lines.Encode(driver.StreamLine{Refusal: refusal})
			return
		}
		for ; from < job.made && err == nil; from++ {
			err = lines.Encode(driver.StreamLine{Token: job.token(from)})
		}
		l.tell(func() { l.wasRead(query.Hold) })
		if job.isEnded() {
			return
		}
	}
}

func (l *engineLife) wasRead(hold identifier.Hold) {
	if job := l.jobs[hold]; job != nil {
		job.read = time.Now()
	}
}

func (j *engineJob) token(i identifier.Tokens) *driver.Token {
	token := driver.Token{Index: i, Text: tokenText(j.prompt, i)}
	switch {
	case i+1 < j.length:
	case j.length == j.most:
		token.Finish = "length"
	default:
		token.Finish = "stop"
	}
	return &token
}
