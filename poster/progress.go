package poster

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cause of a call whose reply stopped arriving.
var ErrStalled = errors.New("no byte of the reply has arrived in time")

// Progress cancels a call whose reply makes no progress. A limit on the whole reply
// would depend on its length and on the link.
type Progress struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// idle expires when no byte has arrived in time.
	idle *time.Timer
	// stall is the longest time between two bytes, whole the longest time from the
	// first byte to the last, which is not limited if it is zero.
	stall, whole time.Duration
	// tooLong is the cause if whole has passed.
	tooLong error

	mu    sync.Mutex
	bytes int
	// begun is when the reply began; zero before.
	begun time.Time
	// end is nil before the first byte, and if whole is zero.
	end *time.Timer
}

// WithProgress returns the context of a call that is cancelled if its first byte
// doesn't arrive within first, a later one within stall after the one before it, or the
// last one within whole after the first. It is cancelled with ErrStalled or, in the last
// case, with tooLong. The caller has to call Stop.
func WithProgress(ctx context.Context, first, stall, whole time.Duration, tooLong error) (context.Context, *Progress) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &Progress{ctx: ctx, cancel: cancel, stall: stall, whole: whole, tooLong: tooLong}
	p.idle = time.AfterFunc(first, func() { cancel(ErrStalled) })
	return ctx, p
}

// Stop releases the timers and ends the call.
func (p *Progress) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle.Stop()
	if p.end != nil {
		p.end.Stop()
	}
	p.cancel(context.Canceled)
}

// Cause returns the reason why the call was cancelled, or err if it wasn't.
func (p *Progress) Cause(err error) error {
	if p.ctx.Err() != nil {
		return context.Cause(p.ctx)
	}
	return err
}

// Bytes returns the number of bytes that have arrived.
func (p *Progress) Bytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Transfer returns the time since the reply began; zero before.
func (p *Progress) Transfer() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun.IsZero() {
		return 0
	}
	return time.Since(p.begun)
}

// Reader returns a reader of the reply's body that reports the progress.
func (p *Progress) Reader(body io.Reader) io.Reader {
	p.advance(0)
	return &progressReader{body, p}
}

// advance records that n bytes have arrived.
func (p *Progress) advance(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	if p.begun.IsZero() {
		p.begun = time.Now()
	}
	p.bytes += n
	p.idle.Reset(p.stall)
	if p.end == nil && p.whole > 0 {
		p.end = time.AfterFunc(p.whole, func() { p.cancel(p.tooLong) })
	}
}

type progressReader struct {
	body     io.Reader
	progress *Progress
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		r.progress.advance(n)
	}
	return n, err
}
