// Package relayer runs the attempts of one request: prefill, transfer and
// decode on the upstreams that the shard's owner names, and the tokens back
// to the caller.
package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/dispatcher"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/registrar"
)

// maxAttempts bounds the attempts of one request. The class's retry budget
// may end it sooner.
const maxAttempts = 3

const (
	// maxRefusals bounds the attempts that found the engines full.
	maxRefusals = 12
	// fullWait is the longest wait after the first of them. It grows with
	// each.
	fullWait = 200 * time.Millisecond
)

// retryAfter is the wait that a caller is told after failures of upstreams.
const retryAfter = time.Second

// Job is one completion request.
type Job struct {
	// Request names this run and is never used again.
	Request identifier.Request
	// Key is the caller's idempotency key; empty if it gave none.
	Key       string
	Class     identifier.Class
	Workspace identifier.Workspace
	Model     identifier.Model
	Prompt    string
	// Tokens is the estimated length of the prompt.
	Tokens identifier.Tokens
	// Prefix holds the hashes of the prompt's whole blocks.
	Prefix    []identifier.Block
	MaxOutput identifier.Tokens
	Stop      []string
	// Arrived is when the request reached this VM.
	Arrived time.Time
}

// Sink takes the tokens of one request in order. An error means that the
// caller is gone.
type Sink interface {
	Token(t driver.Token) error
}

// Flusher is a Sink that may keep tokens back until Flush.
type Flusher interface{ Flush() error }

// Flush sends on what a sink keeps back.
func Flush(sink Sink) error {
	if f, ok := sink.(Flusher); ok {
		return f.Flush()
	}
	return nil
}

// Releaser answers for what engines hold for this VM's attempts.
type Releaser interface {
	// Vouch says that a hold is in use, Disown that it is not any more.
	Vouch(hold identifier.Hold)
	Disown(hold identifier.Hold)
	// Release drops a hold, repeating until it is acknowledged.
	Release(u identifier.Upstream, hold identifier.Hold)
}

// Quarantine keeps requests that crash upstreams from running.
type Quarantine interface {
	Check(ctx context.Context, request identifier.Request, f quarantiner.Fingerprint) quarantiner.Verdict
	Start(ctx context.Context, r quarantiner.Run, f quarantiner.Fingerprint, alone bool) bool
	End(r quarantiner.Run, whole, alone bool)
	// Lost says that a connection broke with a request in flight.
	Lost(u identifier.Upstream)
}

// Dispatcher asks for placements.
type Dispatcher interface {
	Open(ask admitter.Ask) *dispatcher.Ticket
}

// Relayer runs requests on one VM.
type Relayer struct {
	vm          identifier.VM
	dataCentre  identifier.DataCentre
	incarnation identifier.Incarnation
	dispatcher  Dispatcher
	registrar   *registrar.Registrar
	releaser    Releaser
	quarantine  Quarantine
	health      Health
	recorder    Recorder
	log         zerolog.Logger
}

// Health hears how calls to upstreams went.
type Health interface {
	Succeeded(u identifier.Upstream)
	Failed(u identifier.Upstream, kind driver.Kind)
}

// New returns a relayer for one start of a VM.
func New(
	vm identifier.VM, dc identifier.DataCentre, incarnation identifier.Incarnation,
	d Dispatcher, r *registrar.Registrar, releaser Releaser, quarantine Quarantine, health Health, recorder Recorder, log zerolog.Logger,
) *Relayer {
	return &Relayer{
		vm:          vm,
		dataCentre:  dc,
		incarnation: incarnation,
		dispatcher:  d,
		registrar:   r,
		releaser:    releaser,
		quarantine:  quarantine,
		health:      health,
		recorder:    recorder,
		log:         log,
	}
}

// Run runs a request to its end and returns what became of it. The tokens go
// to sink; each is written once, whatever the number of attempts.
func (r *Relayer) Run(ctx context.Context, job Job, sink Sink) outcomer.Outcome {
	run := &run{
		Relayer: r,
		job:     job,
		sink:    sink,
		print:   quarantiner.Print(job.Model, []byte(job.Prompt)),
		ran:     outcomer.RanNo,
	}
	r.recorder.Began(job)
	out := run.final(run.all(ctx))
	r.recorder.Ended(run.record(out))
	return out
}

// all makes attempts until one ends the request. An attempt that found the
// engines full is no failure of theirs: it is made again after a wait, until
// the owner gives the request up.
func (r *run) all(ctx context.Context) outcomer.Outcome {
	for failures, refusals := 0, 0; failures < maxAttempts && refusals < maxRefusals; {
		if out := r.admit(ctx); out != nil {
			return out
		}
		r.attempts++
		r.last = ""
		if out := r.attempt(ctx, r.attempts); out != nil {
			return out
		}
		if ctx.Err() != nil {
			return outcomer.CallerGone{}
		}
		if r.last != driver.KindFull {
			failures++
			continue
		}
		refusals++
		if !looper.Sleep(ctx, rand.N(fullWait)*time.Duration(refusals)) {
			return outcomer.CallerGone{}
		}
	}
	return outcomer.FromUpstream(r.last, false, retryAfter)
}

// run is one request in progress. It belongs to one goroutine.
type run struct {
	*Relayer
	job  Job
	sink Sink
	// print names the content, whatever its key.
	print quarantiner.Fingerprint
	// alone says that the content is suspect and runs beside no other.
	alone bool
	// excluded are the upstreams that failed this request.
	excluded []identifier.Upstream
	// written is the number of tokens that the caller has been sent.
	written identifier.Tokens
	// text is what the caller has been sent.
	text []byte
	// ran is what is known of the attempts so far.
	ran outcomer.Ran
	// last is the kind of the last failure.
	last     driver.Kind
	attempts identifier.Attempt
	// prefilled is the engine time of all prefills, lastPrefill of the last.
	prefilled, lastPrefill time.Duration
	// firstAt and lastAt are when the first and last token were written.
	firstAt, lastAt time.Time
}

// final is what the caller is told: an answer that was begun is broken off
// whatever ended it, and no refusal denies the run of an earlier attempt.
func (r *run) final(out outcomer.Outcome) outcomer.Outcome {
	switch out.(type) {
	case outcomer.Answered, outcomer.CallerGone:
		return out
	}
	if r.written > 0 {
		return outcomer.BrokenOff{}
	}
	return outcomer.After(r.ran, out)
}

func (r *run) hold(n identifier.Attempt) identifier.Hold {
	return identifier.Hold{VM: r.vm, Incarnation: r.incarnation, Request: r.job.Request, Attempt: n}
}

// fail keeps what a failed call says of the upstream and of the request.
func (r *run) fail(u identifier.Upstream, kind driver.Kind) {
	r.excluded = append(r.excluded, u)
	r.health.Failed(u, kind)
	r.last = kind
	if kind == driver.KindUnknown || kind == driver.KindNotRun {
		r.quarantine.Lost(u)
	}
	if kind == driver.KindUnknown && r.ran == outcomer.RanNo {
		r.ran = outcomer.RanUnknown
	}
}
