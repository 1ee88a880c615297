// Package piper joins HTTP clients and servers inside one process by net.Pipe,
// so that a test of both can run on virtual time.
package piper

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Network holds the listeners of one process. Its zero value is ready for use.
type Network struct {
	mu sync.Mutex
	// listeners holds the open listeners by address.
	listeners map[string]*listener
	// ports is the number of addresses that were given out. None is given out
	// twice.
	ports int
}

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
}

// Listen opens a listener; an empty address asks for one that is free.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.ports++
		address = net.JoinHostPort("10.0.0.1", strconv.Itoa(n.ports))
	}
	if n.listeners[address] != nil {
		return nil, errors.Errorf("address %s is in use", address)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Client returns an HTTP client whose connections stay inside the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
}

// Dial opens a connection to a listener of the network.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := errors.Errorf("nothing listens on %s", address)
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
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
