// Package router takes requests of callers to the upstreams of their route and
// answers back, byte for byte.
//
// The decisions are those of attempter, tracker and budgeter; this package
// makes the calls that they ask for and tells them what came of it.
package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracker"
)

// Prompt is what a caller declares of its prompt. Its zero value declares
// nothing.
type Prompt struct {
	Model identifier.Model
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Input and Output are the tokens of the prompt and the most of the answer.
	Input, Output identifier.Tokens
	// Expected is the caller's estimate of the answer; zero without one.
	Expected identifier.Tokens
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens identifier.Tokens
}

// Request is one request of a caller, read to its end.
type Request struct {
	ID     identifier.Request
	Method string
	// Target is the path with its query, as it was sent.
	Target string
	Host   string
	// Header holds what is passed on; no fields of one connection alone.
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Patience is how long the caller waits; zero if it doesn't say.
	Patience time.Duration
	// Arrived is when the header of the request was read.
	Arrived time.Time
	Prompt  Prompt
	// LastEvent is the last event of an earlier answer that the caller has.
	LastEvent string
}

// Caller is the way back to the caller.
type Caller interface {
	// Begin sends the status and header of an answer.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of its body at once.
	Write(p []byte) error
	// Reply sends the whole final answer of a request without a runner's.
	Reply(r Reply)
}

// Reply is a final answer of figtrack's own. The set is sealed.
type Reply interface{ reply() }

// NotRun promises that the request has not run and never will.
type NotRun struct {
	Reason attempter.Reason
	// After is when the caller may come back; zero without advice.
	After time.Duration
}

// Unknown says that the request may have run. Late says that its time is up.
type Unknown struct {
	Reason attempter.Reason
	Late   bool
}

// NoRoute says that the configuration has no route for the request.
type NoRoute struct{}

// Broken closes the connection, as a part of an answer was sent that can't be
// made whole.
type Broken struct{ Reason attempter.Reason }

func (NotRun) reply()  {}
func (Unknown) reply() {}
func (NoRoute) reply() {}
func (Broken) reply()  {}

// Answer is a runner's answer whose body is still to be read.
type Answer struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// Length is the length of the body, -1 if the runner doesn't say.
	Length int64
	Body   io.ReadCloser
}

// RunOptions are what a run carries beside the request.
type RunOptions struct {
	attempter.Run
	// Left is how long the caller still waits.
	Left time.Duration
}

// Runners makes the calls to upstreams. Errors are of type *driver.Error. All
// methods end when ctx ends.
type Runners interface {
	// Reserve keeps memory and a slot of a decode engine.
	Reserve(ctx context.Context, to tracker.Runner, tokens identifier.Tokens, ttl time.Duration) (attempter.Hold, error)
	// Release gives a reservation back.
	Release(ctx context.Context, to tracker.Runner, hold attempter.Hold) error
	// Prefill reads a prompt and keeps its KV cache for a short time.
	Prefill(ctx context.Context, to tracker.Runner, r *Request, left time.Duration) (attempter.Handle, error)
	// Discard frees a KV cache.
	Discard(ctx context.Context, source attempter.Source) error
	// Run sends a request. The answer may be a failure of the runner's own.
	Run(ctx context.Context, r *Request, options RunOptions) (*Answer, error)
	// Order changes the role of an engine.
	Order(ctx context.Context, to tracker.Runner, role identifier.Role, holder identifier.VM, fence identifier.Fence) error
	// Forget closes the idle connections to a runner.
	Forget(r tracker.Runner)
}
