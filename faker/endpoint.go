package faker

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// Listen opens a listener on an address, or on a free one if it is empty.
type Listen func(address string) (net.Listener, error)

// ListenOnLoopback is a Listen that uses an ephemeral port of the loopback
// interface if the address is empty.
func ListenOnLoopback(address string) (net.Listener, error) {
	return ListenAt("127.0.0.1:0")(address)
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

// Address returns the host and port, which stay the same over restarts.
func (e *endpoint) Address() string { return e.address }

// URL returns the base URL.
func (e *endpoint) URL() string { return "http://" + e.address }

// Close closes all connections and the listener.
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

// writeJSON writes a reply with a JSON body.
func writeJSON(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(reply)
}

// ListenAt returns a Listen that uses the TCP address first if its address is
// empty. An endpoint calls it with an empty address once, and at a restart with
// the address that it got.
func ListenAt(first string) Listen {
	return func(address string) (net.Listener, error) {
		if address == "" {
			address = first
		}
		return net.Listen("tcp", address)
	}
}
