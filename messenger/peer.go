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
	// minRedialDelay and maxRedialDelay bound the backoff between dials of a
	// peer that does not answer.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// peer holds the outgoing connection and the message queue to one other VM.
type peer struct {
	Peer
	m *Messenger
	// queue holds the one-way messages to be sent. Send fails while it is full.
	queue chan *wire.Envelope

	mu   sync.Mutex
	conn *quic.Conn
	// nextDialAt is the earliest time of the next dial after a failed one.
	// redialBackoff computes it.
	nextDialAt    time.Time
	redialBackoff *backoff.ExponentialBackOff
}

func newPeer(m *Messenger, p Peer) *peer {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minRedialDelay
	wait.MaxInterval = maxRedialDelay
	return &peer{Peer: p, m: m, queue: make(chan *wire.Envelope, maxQueuedMessages), redialBackoff: wait}
}

// connect returns the open connection, or dials a new one unless the backoff
// after a failed dial is still running.
func (p *peer) connect(ctx context.Context) (*quic.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	if time.Now().Before(p.nextDialAt) {
		return nil, errors.Errorf("VM %s did not answer, next dial at %s", p.VM, p.nextDialAt.Format(time.RFC3339))
	}
	conn, err := p.dial(ctx)
	if err != nil {
		p.nextDialAt = time.Now().Add(p.redialBackoff.NextBackOff())
		return nil, errors.Wrapf(err, "connect to VM %s at %s", p.VM, p.Address)
	}
	p.redialBackoff.Reset()
	p.conn = conn
	return conn, nil
}

// dial opens a connection and verifies that the peer's certificate names its VM.
func (p *peer) dial(ctx context.Context) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", p.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tls := p.m.keyring.ClientConfig(certifier.RoleVM, string(p.VM), protocol)
	return p.m.transport.Dial(ctx, address, tls, quicConfig())
}

// sendQueue sends the queued messages in order on one stream. A message that
// can't be sent is dropped and counted, since the packages that send messages
// repeat those that must arrive.
func (p *peer) sendQueue() {
	var w *bufio.Writer
	for {
		select {
		case <-p.m.ctx.Done():
			return
		case e := <-p.queue:
			w = p.sendQueued(w, e)
		}
	}
}

// sendQueued writes a message, and flushes w once the queue is empty. It opens
// a stream if w is nil. It returns the writer for the next message, or nil
// after a failure.
func (p *peer) sendQueued(w *bufio.Writer, e *wire.Envelope) *bufio.Writer {
	first := w == nil
	if first {
		w = p.openOneWayStream()
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

// openOneWayStream opens a one-way stream, or returns nil if that fails.
func (p *peer) openOneWayStream() *bufio.Writer {
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

// call sends a message on a stream of its own and waits for the answer.
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
