// Package relayer runs the attempts of one request: prefill, transfer and
// decode on the upstreams that the shard's owner names, and the tokens back
// to the caller.
package relayer

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/dispatcher"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
)

// maxAttempts bounds the attempts of one request. The class's retry budget
// may end it sooner.
const maxAttempts = 3

// Job is one completion request.
type Job struct {
	Request identifier.Request
	// Keyed says that the caller gave the key itself.
	Keyed     bool
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

// Releaser drops what an engine holds, repeating until it is acknowledged.
type Releaser interface {
	Release(u identifier.Upstream, hold identifier.Hold)
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
	health      Health
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
	d Dispatcher, r *registrar.Registrar, releaser Releaser, health Health, log zerolog.Logger,
) *Relayer {
	return &Relayer{
		vm:          vm,
		dataCentre:  dc,
		incarnation: incarnation,
		dispatcher:  d,
		registrar:   r,
		releaser:    releaser,
		health:      health,
		log:         log,
	}
}

// Run runs a request to its end and returns what became of it. The tokens go
// to sink; each is written once, whatever the number of attempts.
func (r *Relayer) Run(ctx context.Context, job Job, sink Sink) Result {
	run := &run{Relayer: r, job: job, sink: sink}
	for n := identifier.Attempt(1); n <= maxAttempts; n++ {
		result := run.attempt(ctx, n)
		if _, again := result.(Failed); !again {
			return result
		}
		if ctx.Err() != nil {
			return Cancelled{}
		}
	}
	return run.exhausted()
}

// run is one request in progress. It belongs to one goroutine.
type run struct {
	*Relayer
	job  Job
	sink Sink
	// excluded are the upstreams that failed this request.
	excluded []identifier.Upstream
	// written is the number of tokens that the caller has been sent.
	written identifier.Tokens
	// text is what the caller has been sent.
	text []byte
	// touched says that an upstream may have run a part of this request.
	touched bool
}

func (r *run) exhausted() Result {
	if r.touched {
		return Broken{Reason: "UpstreamsFailed"}
	}
	return Refused{Reason: "UpstreamsFailed", RetryAfter: time.Second}
}

func (r *run) hold(n identifier.Attempt) identifier.Hold {
	return identifier.Hold{VM: r.vm, Incarnation: r.incarnation, Request: r.job.Request, Attempt: n}
}

func (r *run) fail(u identifier.Upstream, kind driver.Kind) {
	r.excluded = append(r.excluded, u)
	r.health.Failed(u, kind)
	if kind == driver.KindUnknown {
		r.touched = true
	}
}
