// Package piper connects HTTP clients and servers of one process by net.Pipe, so
// that tests of both can run on virtual time.
package piper

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Network is a network inside one process. Its zero value is ready for use.
type Network struct {
	mu sync.Mutex
	// listeners holds the open listeners by address.
	listeners map[string]*listener
	// lastPort is the last port that Listen chose. A port is never chosen twice.
	lastPort int
}

// listener is a net.Listener of a Network. It is also its own net.Addr.
type listener struct {
	network *Network
	address string
	// conns carries the server's ends of new connections.
	conns chan net.Conn
	// closed is closed by Close.
	closed chan struct{}
}

// Listen opens a listener at an address. If the address is empty, Listen chooses
// an unused one.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.lastPort++
		address = net.JoinHostPort("10.0.0.1", strconv.Itoa(n.lastPort))
	}
	if n.listeners[address] != nil {
		return nil, errors.Errorf("listen on %s: the address is already in use", address)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Client returns an HTTP client that connects only to listeners of the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
}

// Dial opens a connection to a listener of the network.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := errors.Wrapf(syscall.ECONNREFUSED, "connect to %s: nothing listens on this address", address)
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refused
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
		close(l.closed)
	}
	return nil
}

func (l *listener) Addr() net.Addr  { return l }
func (l *listener) Network() string { return "pipe" }
func (l *listener) String() string  { return l.address }
