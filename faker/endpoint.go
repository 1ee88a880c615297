package faker

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// Listen opens a listener; an empty address asks for one that is free.
type Listen func(address string) (net.Listener, error)

// Loopback listens on an ephemeral port of the loopback interface.
func Loopback(address string) (net.Listener, error) {
	return At("127.0.0.1:0")(address)
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

// answer writes a JSON reply.
func answer(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(reply)
}

// At listens on a TCP address at the start, and again on the one it got.
func At(first string) Listen {
	return func(address string) (net.Listener, error) {
		if address == "" {
			address = first
		}
		return net.Listen("tcp", address)
	}
}
