package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/wire"
)

const (
	// firstRedial and longestRedial bound the wait between dials of a peer
	// that does not answer.
	firstRedial   = 50 * time.Millisecond
	longestRedial = 2 * time.Second
)

// peer is the sending side towards one other VM.
type peer struct {
	Peer
	m *Messenger
	// queue is bounded; a full queue refuses the message.
	queue chan *wire.Envelope

	mu   sync.Mutex
	conn *quic.Conn
	// retryAt and wait hold back dials to a peer that does not answer.
	retryAt time.Time
	wait    *backoff.ExponentialBackOff
}

func newPeer(m *Messenger, p Peer) *peer {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRedial
	wait.MaxInterval = longestRedial
	return &peer{Peer: p, m: m, queue: make(chan *wire.Envelope, queueLength), wait: wait}
}

// connect returns the open connection or dials one.
func (p *peer) connect(ctx context.Context) (*quic.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, errors.Errorf("VM %s did not answer, next dial at %s", p.VM, p.retryAt.Format(time.RFC3339))
	}
	conn, err := p.dial(ctx)
	if err != nil {
		p.retryAt = time.Now().Add(p.wait.NextBackOff())
		return nil, errors.Wrapf(err, "connect to VM %s at %s", p.VM, p.Address)
	}
	p.wait.Reset()
	p.conn = conn
	return conn, nil
}

func (p *peer) dial(ctx context.Context) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", p.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tls := p.m.keyring.Client(certifier.RoleVM, string(p.VM), protocol)
	return p.m.transport.Dial(ctx, address, tls, quicConfig())
}

// run sends the queued messages in order on one stream. A message that can't
// be sent is dropped and counted: every duty repeats what must arrive.
func (p *peer) run() {
	var w *bufio.Writer
	for {
		select {
		case <-p.m.ctx.Done():
			return
		case e := <-p.queue:
			w = p.send(w, e)
		}
	}
}

// send returns the writer for the next message, or nil after a failure.
func (p *peer) send(w *bufio.Writer, e *wire.Envelope) *bufio.Writer {
	first := w == nil
	if first {
		w = p.open()
	}
	if w == nil {
		p.m.counters.dropped.Add(1)
		return nil
	}
	p.m.stamp(e, first)
	if p.m.write(w, e) != nil {
		p.m.counters.dropped.Add(1)
		return nil
	}
	if len(p.queue) > 0 {
		return w
	}
	if w.Flush() != nil {
		return nil
	}
	return w
}

func (p *peer) open() *bufio.Writer {
	conn, err := p.connect(p.m.ctx)
	if err != nil {
		p.m.log.Debug().Err(err).Str("Peer", string(p.VM)).Msg("NoConnection")
		return nil
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		_ = conn.CloseWithError(0, "no stream")
		return nil
	}
	return bufio.NewWriter(stream)
}

func (p *peer) call(ctx context.Context, e *wire.Envelope) (*wire.Envelope, error) {
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "open a stream to VM %s", p.VM)
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	p.m.stamp(e, true)
	w := bufio.NewWriter(stream)
	if err := p.m.write(w, e); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, errors.Wrapf(err, "send to VM %s", p.VM)
	}
	if err := stream.Close(); err != nil {
		return nil, errors.Wrapf(err, "send to VM %s", p.VM)
	}
	answer, err := p.m.read(bufio.NewReader(stream))
	return answer, errors.Wrapf(err, "await the answer of VM %s", p.VM)
}
