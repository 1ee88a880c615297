package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

const (
	protocol = "figtrack/1"
	// idleTimeout closes a connection that carried nothing.
	idleTimeout = 30 * time.Second
	// handshakeTimeout bounds one dial.
	handshakeTimeout = 2 * time.Second
	// callTimeout bounds the handling of one call of a peer.
	callTimeout = 10 * time.Second
	// maxCalls is the most calls of one peer at once.
	maxCalls = 256
	// maxMessageBytes is the largest message that is read.
	maxMessageBytes = 1 << 20
	// queueLength is the most one-way messages waiting for one peer.
	queueLength = 1024
)

// Peer is another VM and where it listens.
type Peer struct {
	VM identifier.VM
	// Address is an IP and a UDP port.
	Address string
}

// Counts are the messages and bytes of one messenger since its start.
type Counts struct {
	Sent, Received, Dropped, Refused, BytesSent, BytesReceived uint64
}

type counters struct {
	sent, received, dropped, refused, bytesSent, bytesReceived atomic.Uint64
}

// Messenger is a Sender over QUIC.
type Messenger struct {
	self        identifier.VM
	deployment  string
	incarnation identifier.Incarnation
	keyring     *certifier.Keyring
	handler     Handler
	log         zerolog.Logger
	transport   *quic.Transport
	listener    *quic.Listener
	counters    counters
	sequence    atomic.Uint64
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu    sync.Mutex
	peers map[identifier.VM]*peer
	// seen has one entry for each peer of the settings.
	seen map[identifier.VM]*window
}

// New returns a messenger on an open UDP socket, which it closes in the end.
func New(
	self identifier.VM, deployment string, incarnation identifier.Incarnation,
	keyring *certifier.Keyring, conn net.PacketConn, log zerolog.Logger,
) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		self:        self,
		deployment:  deployment,
		incarnation: incarnation,
		keyring:     keyring,
		log:         log,
		transport:   &quic.Transport{Conn: conn},
		ctx:         ctx,
		cancel:      cancel,
		peers:       make(map[identifier.VM]*peer),
		seen:        make(map[identifier.VM]*window),
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxCalls,
		MaxIncomingUniStreams: 1,
	}
}

// Start listens for peers and hands their messages to h.
func (m *Messenger) Start(h Handler, peers []Peer) error {
	m.handler = h
	listener, err := m.transport.Listen(m.keyring.Server(certifier.RoleVM, protocol), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for other VMs")
	}
	m.listener = listener
	for _, p := range peers {
		m.add(p)
	}
	m.wg.Go(m.accept)
	return nil
}

func (m *Messenger) add(p Peer) {
	if p.VM == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	one := newPeer(m, p)
	m.peers[p.VM] = one
	m.seen[p.VM] = &window{}
	m.wg.Go(one.run)
}

// Close ends all connections and waits for the messenger's goroutines.
func (m *Messenger) Close() error {
	m.cancel()
	if m.listener != nil {
		_ = m.listener.Close()
	}
	_ = m.transport.Close()
	m.wg.Wait()
	return m.transport.Conn.Close()
}

// Counts returns what was sent and received so far.
func (m *Messenger) Counts() Counts {
	return Counts{
		Sent:          m.counters.sent.Load(),
		Received:      m.counters.received.Load(),
		Dropped:       m.counters.dropped.Load(),
		Refused:       m.counters.refused.Load(),
		BytesSent:     m.counters.bytesSent.Load(),
		BytesReceived: m.counters.bytesReceived.Load(),
	}
}

func (m *Messenger) peer(to identifier.VM) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[to]
}

// Send implements Sender.
func (m *Messenger) Send(to identifier.VM, e *wire.Envelope) bool {
	p := m.peer(to)
	if p == nil {
		return false
	}
	select {
	case p.queue <- e:
		return true
	default:
		m.counters.dropped.Add(1)
		return false
	}
}

// Call implements Sender.
func (m *Messenger) Call(ctx context.Context, to identifier.VM, e *wire.Envelope) (*wire.Envelope, error) {
	p := m.peer(to)
	if p == nil {
		return nil, errors.Errorf("VM %q is not among the peers of the settings", to)
	}
	return p.call(ctx, e)
}

// stamp writes the sender's part of an envelope. Only the first message of a
// stream names the sender; the others carry a number alone.
func (m *Messenger) stamp(e *wire.Envelope, first bool) {
	e.Sequence = m.sequence.Add(1)
	if !first {
		return
	}
	e.Deployment = m.deployment
	e.From = string(m.self)
	e.Incarnation = uint64(m.incarnation)
}

func (m *Messenger) write(w *bufio.Writer, e *wire.Envelope) error {
	n, err := protodelim.MarshalTo(w, e)
	if err != nil {
		return errors.Wrap(err, "write a message")
	}
	m.counters.sent.Add(1)
	m.counters.bytesSent.Add(uint64(n))
	return nil
}

func (m *Messenger) read(r *bufio.Reader) (*wire.Envelope, error) {
	var e wire.Envelope
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, &e)
	if err != nil {
		return nil, err
	}
	m.counters.received.Add(1)
	m.counters.bytesReceived.Add(uint64(proto.Size(&e)))
	return &e, nil
}
