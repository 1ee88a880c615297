package faker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// Listen opens a listener; an empty address asks for one that is free.
type Listen func(address string) (net.Listener, error)

// Loopback listens on an ephemeral port of the loopback interface.
func Loopback(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}

// endpoint is an HTTP server that can be stopped and started again on the
// same address.
type endpoint struct {
	listen  Listen
	handler http.Handler
	address string
	mu      sync.Mutex
	// server is nil while the endpoint is stopped.
	server *http.Server
}

func newEndpoint(listen Listen, handler http.Handler) (*endpoint, error) {
	e := &endpoint{listen: listen, handler: handler}
	return e, e.start()
}

// Address is the host and port, which stay the same.
func (e *endpoint) Address() string { return e.address }

// URL is the base URL.
func (e *endpoint) URL() string { return "http://" + e.address }

// Close breaks all connections and refuses new ones.
func (e *endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		e.server.Close()
	}
	e.server = nil
}

func (e *endpoint) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	l, err := e.listen(e.address)
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e.handler}
	go e.server.Serve(l)
	return nil
}

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

// answer writes a JSON reply.
func answer(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(reply)
}
