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
	// linkDelay is the time of a message from VM to VM.
	linkDelay = time.Millisecond
	// linkQueue is the most messages on the way to one VM.
	linkQueue = 1024
)

// links join the VMs of a site in place of QUIC, which needs a real socket.
type links struct {
	mu   sync.Mutex
	ends map[identifier.VM]*end
	// split says that no message arrives.
	split bool
	tasks sync.WaitGroup
}

// end is one VM's messenger. One goroutine hands it messages in their order.
type end struct {
	links   *links
	vm      identifier.VM
	handler messenger.Handler
	queue   chan letter
}

type letter struct {
	from    identifier.VM
	message *wire.Envelope
	due     time.Time
}

func newLinks() *links { return &links{ends: make(map[identifier.VM]*end)} }

func (l *links) of(vm identifier.VM) server.Messenger {
	return &end{links: l, vm: vm, queue: make(chan letter, linkQueue)}
}

func (l *links) find(vm identifier.VM) *end {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.split {
		return nil
	}
	return l.ends[vm]
}

// cut loses all messages from now on, or lets them through again.
func (l *links) cut(split bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.split = split
}

func (l *links) close() { l.tasks.Wait() }

// Start implements server.Messenger.
func (e *end) Start(handler messenger.Handler, _ []messenger.Peer) error {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	e.handler = handler
	e.links.ends[e.vm] = e
	e.links.tasks.Go(e.run)
	return nil
}

func (e *end) run() {
	for one := range e.queue {
		time.Sleep(time.Until(one.due))
		e.handler(context.Background(), one.from, one.message)
	}
}

// Close implements server.Messenger.
func (e *end) Close() error {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	if e.links.ends[e.vm] == e {
		delete(e.links.ends, e.vm)
		close(e.queue)
	}
	return nil
}

// Send implements messenger.Sender.
func (e *end) Send(to identifier.VM, message *wire.Envelope) bool {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	peer := e.links.ends[to]
	if peer == nil {
		return false
	}
	if e.links.split {
		// The sender does not see that a message is lost.
		return true
	}
	select {
	case peer.queue <- letter{e.vm, proto.CloneOf(message), time.Now().Add(linkDelay)}:
		return true
	default:
		return false
	}
}

// Call implements messenger.Sender.
func (e *end) Call(ctx context.Context, to identifier.VM, message *wire.Envelope) (*wire.Envelope, error) {
	peer := e.links.find(to)
	if peer == nil {
		return nil, errors.Errorf("VM %s is not reached", to)
	}
	time.Sleep(linkDelay)
	answer := peer.handler(ctx, e.vm, proto.CloneOf(message))
	time.Sleep(linkDelay)
	return answer, ctx.Err()
}
