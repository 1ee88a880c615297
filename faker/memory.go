package faker

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Memory is a network inside the process, for tests on virtual time.
type Memory struct {
	mu sync.Mutex
	// listeners holds the open listeners by address.
	listeners map[string]*memoryListener
}

type memoryListener struct {
	*Memory
	name   string
	conns  chan net.Conn
	closed chan struct{}
}

// Listen opens a listener; an empty address asks for one that is free.
func (m *Memory) Listen(address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = make(map[string]*memoryListener)
	}
	for n := len(m.listeners); address == ""; n++ {
		name := net.JoinHostPort("10.0.0.1", itoa(int64(n+1)))
		if m.listeners[name] == nil {
			address = name
		}
	}
	l := &memoryListener{Memory: m, name: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// Client returns an HTTP client whose connections stay inside the network.
func (m *Memory) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: m.dial}}
}

func (m *Memory) dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "memory", Err: net.UnknownNetworkError("refused " + address)}
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listeners[l.name] == l {
		delete(l.listeners, l.name)
		close(l.closed)
	}
	return nil
}

func (l *memoryListener) Addr() net.Addr  { return l }
func (l *memoryListener) Network() string { return "memory" }
func (l *memoryListener) String() string  { return l.name }
