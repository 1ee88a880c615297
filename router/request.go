// Package router sends requests of callers to the upstreams of their routes
// and passes the answers back, byte for byte.
//
// The packages attempter, tracker and budgeter make the decisions; this
// package performs the calls that they ask for and reports the results to
// them.
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

// Prompt holds what a caller declares about its prompt. The zero value
// declares nothing.
type Prompt struct {
	Model identifier.Model
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Input is the length of the prompt, Output the maximum length of the
	// answer.
	Input, Output identifier.Tokens
	// Expected is the caller's estimate of the answer's length; zero if it
	// gives none.
	Expected identifier.Tokens
}

func (p Prompt) partIDs() []string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// Part is a part of a prompt, such as a common prefix, that other requests may
// share.
type Part struct {
	ID     string
	Tokens identifier.Tokens
}

// Request is one request of a caller whose body was read completely.
type Request struct {
	ID     identifier.Request
	Method string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	// Header holds the fields that are passed on; it lacks the hop-by-hop
	// fields.
	Header http.Header
	Body   []byte
	// HasBody is true if the request has a body, even an empty one.
	HasBody bool
	// Patience is how long the caller waits; zero if it doesn't say.
	Patience time.Duration
	// Arrived is when the header of the request was read.
	Arrived time.Time
	Prompt  Prompt
	// LastEvent is the id of the last event that the caller has from an
	// earlier answer.
	LastEvent string
	// Resumes is the id of the request that brought the caller the first event of that
	// stream; empty if it doesn't say.
	Resumes identifier.Request
	Credentials
}

// stream returns the id of the stream that the request begins or takes up: that of the
// request in which the first event came.
func (q *Request) stream() identifier.Request {
	if q.LastEvent != "" {
		return q.Resumes
	}
	return q.ID
}

// Caller sends the answer to the caller.
type Caller interface {
	// Begin sends the status and header of an answer.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the answer's body without buffering.
	Write(p []byte) error
	// Reply sends a final answer that figtrack itself makes.
	Reply(r Reply)
}

// Reply is a final answer that figtrack itself makes. The set is sealed.
type Reply interface{ reply() }

// NotRun states that the request has not run and will not run.
type NotRun struct {
	Reason attempter.Reason
	// After is the time after which the caller may try again; zero without
	// advice.
	After time.Duration
}

// Unknown states that the request may have run. Late is true if its deadline
// has passed.
type Unknown struct {
	Reason attempter.Reason
	Late   bool
}

// NoRoute states that the configuration has no route for the request.
type NoRoute struct{}

// Broken closes the connection because the answer that was partly sent can't
// be completed.
type Broken struct{ Reason attempter.Reason }

func (NotRun) reply()  {}
func (Unknown) reply() {}
func (NoRoute) reply() {}
func (Broken) reply()  {}

// Framing is how an answer marks the end of its body. Its values are logged.
type Framing string

const (
	// FramingLength means that the answer announces its length.
	FramingLength Framing = "Length"
	// FramingChunks means that the body is sent in chunks and ends with an empty
	// one.
	FramingChunks Framing = "Chunks"
	// FramingClose means that the body ends with the connection.
	FramingClose Framing = "Close"
)

// Answer is a runner's answer whose body is not read yet.
type Answer struct {
	Status int
	// IsUnmarkedRefusal is true if callers would read Status as the statement that the
	// request has not run and won't, which the runner has not made.
	IsUnmarkedRefusal bool
	// Header holds the fields that are passed on to the caller.
	Header http.Header
	// Length is the announced length of the body, which an answer to HEAD announces
	// without having one; -1 if the runner doesn't announce it.
	Length  int64
	Framing Framing
	Body    io.ReadCloser
	// Cancel ends the call, and with it a read of the body. The router sets it.
	Cancel context.CancelFunc
}

func (a *Answer) isSuccess() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// RunOptions holds what a run needs besides the request.
type RunOptions struct {
	attempter.Run
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Runners makes the calls to upstreams. Errors are of type *driver.Error. Each
// method that takes a context returns when it ends.
type Runners interface {
	// Reserve reserves memory and a slot on a decode engine for a request, for ttl.
	Reserve(ctx context.Context, to tracker.Runner, r *Request, tokens identifier.Tokens, ttl time.Duration) (attempter.Hold, error)
	// Release releases a hold.
	Release(ctx context.Context, to tracker.Runner, hold attempter.Hold) error
	// Prefill makes a prefill engine compute the KV cache of the prompt and keep
	// it for a short time.
	Prefill(ctx context.Context, to tracker.Runner, r *Request, left time.Duration) (attempter.Handle, error)
	// Discard frees a KV cache.
	Discard(ctx context.Context, source attempter.Source) error
	// Run sends a request to the runner that answers it. The answer may report
	// an error of the runner itself.
	Run(ctx context.Context, r *Request, options RunOptions) (*Answer, error)
	// Order changes the role of an engine.
	Order(ctx context.Context, to tracker.Runner, role identifier.Role, holder identifier.VM, fence identifier.Fence) error
	// Connect opens a connection to a runner and closes it. syscall.ECONNREFUSED shows
	// that no process listens at the runner's address.
	Connect(ctx context.Context, to tracker.Runner) error
	// Forget closes the idle connections to a runner.
	Forget(r tracker.Runner)
	// SetListener sets what is told of announcements. It is called once, before any
	// other call.
	SetListener(l AnnouncementListener)
}

// AnnouncementListener is told what runners announce in answers of any kind.
type AnnouncementListener interface {
	// HandleLeaving is called when a runner says that it takes no new requests.
	HandleLeaving(r tracker.Runner)
	// HandlePause is called when a runner turns a call away and wants none for a time.
	HandlePause(r tracker.Runner, pause time.Duration)
	// HandleUnusablePause is called if what it says of that time can't be used.
	HandleUnusablePause(r tracker.Runner, text string)
	// HandleRate is called with the rate that a runner takes from all VMs together, by
	// its answer to a call that began at sentAt; zero if it names none.
	HandleRate(r tracker.Runner, rate identifier.Rate, sentAt time.Time)
	// HandleUnusableRate is called if what it says of that rate can't be used.
	HandleUnusableRate(r tracker.Runner, text string)
}
