// Package relayer runs the attempts of a completion request: it calls prefill,
// transfer and decode on the upstreams that the shard's owner names, and streams
// the tokens to the caller.
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

// maxAttempts bounds the failed attempts of one request. The retry budget of
// its class may end it sooner.
const maxAttempts = 3

const (
	// maxFullAttempts bounds the attempts of one request that found an engine
	// full.
	maxFullAttempts = 12
	// fullRetryDelay bounds the random wait after the first such attempt. The
	// bound grows by the same amount with each further one.
	fullRetryDelay = 200 * time.Millisecond
)

// retryAfter is the Retry-After of responses after failures of upstreams, or if
// this VM is busy.
const retryAfter = time.Second

// Job is one completion request.
type Job struct {
	// Request identifies this run and is never reused.
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

// Sink receives the tokens of one request in order. An error means that the
// caller has gone.
type Sink interface {
	WriteToken(t driver.Token) error
}

// Flusher is implemented by a Sink that may buffer tokens until Flush.
type Flusher interface{ Flush() error }

// Flush sends the tokens that a sink has buffered, if it is a Flusher.
func Flush(sink Sink) error {
	if f, ok := sink.(Flusher); ok {
		return f.Flush()
	}
	return nil
}

// Releaser keeps track of the holds that this VM's attempts have on engines.
type Releaser interface {
	// Vouch marks a hold as in use, Disown as no longer in use.
	Vouch(hold identifier.Hold)
	Disown(hold identifier.Hold)
	// Release releases a hold on an engine and repeats the call until the engine
	// acknowledges it.
	Release(u identifier.Upstream, hold identifier.Hold)
}

// Quarantine refuses requests whose content has crashed upstreams, and keeps two
// suspects from running on the same upstream.
type Quarantine interface {
	// Check returns whether the content may run.
	Check(ctx context.Context, request identifier.Request, f quarantiner.Fingerprint) quarantiner.Verdict
	// Start reports a run on an upstream. It returns false if the content must
	// run alone and the upstream's guard does not allow it yet.
	Start(ctx context.Context, r quarantiner.Run, f quarantiner.Fingerprint, alone bool) bool
	// End reports that a run has ended; complete is true if it led to a complete
	// answer.
	End(r quarantiner.Run, complete, alone bool)
	// ConnectionLost reports that a connection to an upstream broke with a
	// request in flight.
	ConnectionLost(u identifier.Upstream)
}

// Dispatcher is the part of dispatcher.Dispatcher that the relayer uses.
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

// Health is notified of the result of each call to an upstream.
type Health interface {
	Succeeded(u identifier.Upstream)
	Failed(u identifier.Upstream, kind driver.Kind)
}

// New returns a relayer. The incarnation is that of this start of the VM.
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

// Run runs a request to its end and returns the outcome. It writes each token to
// sink once, whatever the number of attempts.
func (r *Relayer) Run(ctx context.Context, job Job, sink Sink) outcomer.Outcome {
	run := &run{
		Relayer:     r,
		job:         job,
		sink:        sink,
		fingerprint: quarantiner.NewFingerprint(job.Model, []byte(job.Prompt)),
		ran:         outcomer.RanNo,
	}
	r.recorder.RecordStart(job)
	out := run.finalOutcome(run.runAttempts(ctx))
	r.recorder.RecordResult(run.newRecord(out))
	return out
}

// runAttempts makes attempts until one ends the request. An attempt that found
// an engine full doesn't count as a failure: another one follows after a wait,
// until the owner refuses the request or maxFullAttempts is reached.
func (r *run) runAttempts(ctx context.Context) outcomer.Outcome {
	for failures, refusals := 0, 0; failures < maxAttempts && refusals < maxFullAttempts; {
		if out := r.checkQuarantine(ctx); out != nil {
			return out
		}
		r.attempts++
		r.lastFailure = ""
		if out := r.makeAttempt(ctx, r.attempts); out != nil {
			return out
		}
		if ctx.Err() != nil {
			return outcomer.CallerGone{}
		}
		if r.lastFailure != driver.KindFull {
			failures++
			continue
		}
		refusals++
		if !looper.Sleep(ctx, rand.N(fullRetryDelay)*time.Duration(refusals)) {
			return outcomer.CallerGone{}
		}
	}
	return outcomer.FromUpstream(r.lastFailure, false, retryAfter)
}

// run is one request in progress. It belongs to one goroutine.
type run struct {
	*Relayer
	job  Job
	sink Sink
	// fingerprint identifies the content, independent of the idempotency key.
	fingerprint quarantiner.Fingerprint
	// isSuspect is set if the content may have crashed an upstream. It must not
	// run on an upstream together with another suspect.
	isSuspect bool
	// excluded holds the upstreams that failed this request.
	excluded []identifier.Upstream
	// sentTokens is the number of tokens sent to the caller.
	sentTokens identifier.Tokens
	// sentText is the text sent to the caller.
	sentText []byte
	// ran is whether the attempts so far have run on an engine.
	ran outcomer.Ran
	// lastFailure is the kind of the last attempt's failure; empty without one.
	lastFailure driver.Kind
	attempts    identifier.Attempt
	// prefillTime is the engine time of all prefills, lastPrefillTime that of
	// the last one.
	prefillTime, lastPrefillTime time.Duration
	// firstTokenAt and lastTokenAt are when the first and the last token were
	// sent.
	firstTokenAt, lastTokenAt time.Time
}

// finalOutcome returns the outcome that the caller receives. A failure after
// the first token is always BrokenOff. Any other one carries whether earlier
// attempts may have run.
func (r *run) finalOutcome(out outcomer.Outcome) outcomer.Outcome {
	switch out.(type) {
	case outcomer.Answered, outcomer.CallerGone:
		return out
	}
	if r.sentTokens > 0 {
		return outcomer.BrokenOff{}
	}
	return outcomer.WithEarlier(r.ran, out)
}

// newHold returns the identifier of an attempt's hold on engines.
func (r *run) newHold(n identifier.Attempt) identifier.Hold {
	return identifier.Hold{VM: r.vm, Incarnation: r.incarnation, Request: r.job.Request, Attempt: n}
}

// recordFailure records a failed call: it excludes the upstream, informs health
// and the quarantine, and updates ran.
func (r *run) recordFailure(u identifier.Upstream, kind driver.Kind) {
	r.excluded = append(r.excluded, u)
	r.health.Failed(u, kind)
	r.lastFailure = kind
	if kind == driver.KindUnknown || kind == driver.KindNotRun {
		r.quarantine.ConnectionLost(u)
	}
	if kind == driver.KindUnknown && r.ran == outcomer.RanNo {
		r.ran = outcomer.RanUnknown
	}
}
