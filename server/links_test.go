package server_test

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/messenger"
	"github.com/figtrack/figtrack/server"
	"github.com/figtrack/figtrack/wire"
)

const (
	// linkDelay is the one-way latency between VMs.
	linkDelay = time.Millisecond
	// maxQueuedMessages bounds the messages in transit to one VM.
	maxQueuedMessages = 1024
)

// links connects the VMs of a site in memory, because QUIC needs a real socket.
type links struct {
	mu   sync.Mutex
	ends map[identifier.VM]*endpoint
	// partitioned is true while all messages between VMs are dropped.
	partitioned bool
	tasks       sync.WaitGroup
}

// endpoint is the messenger of one VM. A single goroutine delivers the messages
// sent to it, in order.
type endpoint struct {
	links   *links
	vm      identifier.VM
	handler messenger.Handler
	queue   chan delayedMessage
}

type delayedMessage struct {
	from    identifier.VM
	message *wire.Envelope
	due     time.Time
}

func newLinks() *links { return &links{ends: make(map[identifier.VM]*endpoint)} }

func (l *links) messenger(vm identifier.VM) server.Messenger {
	return &endpoint{links: l, vm: vm, queue: make(chan delayedMessage, maxQueuedMessages)}
}

func (l *links) endpointOf(vm identifier.VM) *endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned {
		return nil
	}
	return l.ends[vm]
}

// setPartitioned starts or stops dropping all messages.
func (l *links) setPartitioned(split bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = split
}

func (l *links) close() { l.tasks.Wait() }

// Start implements server.Messenger.
func (e *endpoint) Start(handler messenger.Handler, _ []messenger.Peer) error {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	e.handler = handler
	e.links.ends[e.vm] = e
	e.links.tasks.Go(e.run)
	return nil
}

func (e *endpoint) run() {
	for m := range e.queue {
		time.Sleep(time.Until(m.due))
		e.handler(context.Background(), m.from, m.message)
	}
}

// Close implements server.Messenger.
func (e *endpoint) Close() error {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	if e.links.ends[e.vm] == e {
		delete(e.links.ends, e.vm)
		close(e.queue)
	}
	return nil
}

// Send implements messenger.Sender.
func (e *endpoint) Send(to identifier.VM, message *wire.Envelope) bool {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	peer := e.links.ends[to]
	if peer == nil {
		return false
	}
	if e.links.partitioned {
		// A sender can't detect a lost message.
		return true
	}
	select {
	case peer.queue <- delayedMessage{e.vm, proto.CloneOf(message), time.Now().Add(linkDelay)}:
		return true
	default:
		return false
	}
}

// Call implements messenger.Sender.
func (e *endpoint) Call(ctx context.Context, to identifier.VM, message *wire.Envelope) (*wire.Envelope, error) {
	peer := e.links.endpointOf(to)
	if peer == nil {
		return nil, errors.Errorf("VM %s is unreachable", to)
	}
	time.Sleep(linkDelay)
	answer := peer.handler(ctx, e.vm, proto.CloneOf(message))
	time.Sleep(linkDelay)
	return answer, ctx.Err()
}
