package faker

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxHistoryEvents bounds the changes that the store keeps for watches.
	maxHistoryEvents = 100_000
	// maxStoreBodyBytes bounds the body of a request.
	maxStoreBodyBytes = 4 << 20

	txnPath = "/v3/kv/txn"
)

// StoreFaults are the faults of the store. They last until they are replaced.
type StoreFaults struct {
	// Hang leaves each call without a reply until the fault is removed.
	Hang bool
	// Delay is added to each call. A write takes effect even if its client has
	// disconnected during the delay.
	Delay time.Duration
	// LoseReplies is how many of the next transactions take effect but get their
	// connection closed instead of a reply.
	LoseReplies int
	// LoseRequests is how many of the next transactions get their connection
	// closed without any effect.
	LoseRequests int
	// OnLost is called after each such loss, before the connection is closed.
	OnLost func()
}

// Store is a fake of the platform's store. It implements the part of the etcd v3
// JSON gateway that figtrack uses: ranges, single-key compare-and-swap, leases and
// watches.
type Store struct {
	*endpoint
	mu sync.Mutex
	// revision rises by one with each change and each new lease.
	revision int64
	// history has the changes with revisions above compactedRevision, in order.
	history           []storeEvent
	compactedRevision int64
	// values has the current value of each key.
	values map[string]storeKV
	leases map[int64]*storeLease
	faults StoreFaults
	// changed is closed and replaced at each change of a value or of faults.
	changed chan struct{}
	// broken is closed and replaced by BreakWatches.
	broken chan struct{}
	// calls counts the calls that reached the store.
	calls int
}

// NewStore starts an empty store.
func NewStore(listen Listen) (*Store, error) {
	s := &Store{
		values:  make(map[string]storeKV),
		leases:  make(map[int64]*storeLease),
		changed: make(chan struct{}),
		broken:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v3/kv/range", storeHandler(s, s.handleRange))
	mux.HandleFunc(txnPath, storeHandler(s, s.handleTxn))
	mux.HandleFunc("/v3/lease/grant", storeHandler(s, s.handleGrant))
	mux.HandleFunc("/v3/lease/keepalive", storeHandler(s, s.handleKeepAlive))
	mux.HandleFunc("/v3/watch", s.handleWatch)
	var err error
	s.endpoint, err = newEndpoint(listen, mux)
	return s, err
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyChanged()
}

// SetRefusing makes the store refuse connections, or accept them again if
// refuse is false.
func (s *Store) SetRefusing(refuse bool) error {
	if refuse {
		s.Close()
		return nil
	}
	return s.start()
}

// ExpireLeases makes all leases expire at once.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.expireLease(id)
	}
}

// BreakWatches closes the connections of all open watches.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

// Compact discards the history, so that no watch can start at an earlier revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(len(s.history))
}

// Calls returns the number of calls that reached the store. A watch is one call.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// admitRequest counts and reads a request and then applies the faults Delay and
// Hang. If the request can't be read or its client disconnects while it hangs,
// admitRequest closes the connection.
func admitRequest[Q any](s *Store, r *http.Request) (query Q) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBodyBytes))
	if err != nil || json.Unmarshal(body, &query) != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.calls++
	delay := s.faults.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	for {
		s.mu.Lock()
		hang, changed := s.faults.Hang, s.changed
		s.mu.Unlock()
		if !hang {
			return query
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// storeHandler returns a handler that runs call with s.mu locked and applies the
// faults LoseRequests and LoseReplies.
func storeHandler[Q any](s *Store, call func(Q) (int, jsonObject)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := admitRequest[Q](s, r)
		s.mu.Lock()
		swap, onLost := r.URL.Path == txnPath, s.faults.OnLost
		lost := swap && tryTakeFault(&s.faults.LoseRequests)
		var status int
		var reply jsonObject
		if !lost {
			status, reply = call(query)
			lost = swap && tryTakeFault(&s.faults.LoseReplies)
		}
		s.mu.Unlock()
		if lost && onLost != nil {
			onLost()
		}
		if lost {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, status, reply)
	}
}

// tryTakeFault lowers the number of remaining faults and reports whether there was
// one.
func tryTakeFault(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// apply applies a put or a deletion and wakes the watches.
func (s *Store) apply(event storeEvent) {
	s.revision++
	event.KV.ModRevision = s.revision
	s.history = append(s.history, event)
	if len(s.history) > maxHistoryEvents {
		s.compact(maxHistoryEvents / 2)
	}
	delete(s.values, string(event.KV.Key))
	if event.Type == "" {
		s.values[string(event.KV.Key)] = event.KV
	}
	s.notifyChanged()
}

// compact discards the first n changes of the history.
func (s *Store) compact(n int) {
	if n > 0 {
		s.compactedRevision = s.history[n-1].KV.ModRevision
		s.history = slices.Clone(s.history[n:])
	}
}

// notifyChanged wakes the watches and the calls that hang.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
