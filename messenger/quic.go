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
	// protocol is the ALPN protocol of connections between VMs.
	protocol = "figtrack/1"
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 30 * time.Second
	// handshakeTimeout bounds one dial.
	handshakeTimeout = 2 * time.Second
	// callTimeout bounds the handling of one call of a peer.
	callTimeout = 10 * time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls of one
	// connection.
	maxConcurrentCalls = 256
	// maxMessageBytes is the maximum size of a received message.
	maxMessageBytes = 1 << 20
	// maxQueuedMessages is the maximum number of one-way messages queued for
	// one peer.
	maxQueuedMessages = 1024
)

// Peer is another VM and where it listens.
type Peer struct {
	VM identifier.VM
	// Address is an IP and a UDP port.
	Address string
}

// Counts holds the numbers of messages and bytes since a messenger's start.
// Refused counts connections as well as messages.
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
	// windows holds the replay window of each peer.
	windows map[identifier.VM]*replayWindow
}

// New returns a messenger on an open UDP socket, which Close closes.
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
		windows:     make(map[identifier.VM]*replayWindow),
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxConcurrentCalls,
		MaxIncomingUniStreams: 1,
	}
}

// Start listens for connections of the peers and passes their messages to h.
func (m *Messenger) Start(h Handler, peers []Peer) error {
	m.handler = h
	listener, err := m.transport.Listen(m.keyring.ServerConfig(certifier.RoleVM, protocol), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for other VMs")
	}
	m.listener = listener
	for _, p := range peers {
		m.addPeer(p)
	}
	m.wg.Go(m.acceptConnections)
	return nil
}

// addPeer registers a peer and starts to send its queue. It ignores this VM
// itself.
func (m *Messenger) addPeer(p Peer) {
	if p.VM == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	one := newPeer(m, p)
	m.peers[p.VM] = one
	m.windows[p.VM] = &replayWindow{}
	m.wg.Go(one.sendQueue)
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

// Counts returns the current counts.
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

// peer returns the peer with a name, or nil if there is none.
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
		return nil, errors.Errorf("VM %q is not listed as a peer in the settings", to)
	}
	return p.call(ctx, e)
}

// stamp sets the sequence number of a message and, for the first message of a
// stream, the fields that name the sender. They apply to the whole stream.
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
