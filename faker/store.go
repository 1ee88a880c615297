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
	// maxStoreHistory is the changes that the store keeps for watches.
	maxStoreHistory = 100_000
	// maxStoreBody is the longest request in bytes.
	maxStoreBody = 4 << 20

	txnPath = "/v3/kv/txn"
)

// StoreFaults are the faults of the store that last until switched off.
type StoreFaults struct {
	// Hang leaves every call without a reply until it is switched off.
	Hang bool
	// Delay is added to each call. A write takes effect even if its caller
	// is gone by then.
	Delay time.Duration
	// LoseReplies is how many of the next swaps take effect and then lose
	// their connection.
	LoseReplies int
	// LoseRequests is how many of the next swaps lose their connection
	// without any effect.
	LoseRequests int
	// OnLost is called after each such loss, before the connection breaks.
	OnLost func()
}

// Store is the stand-in of the platform's service: the etcd v3 JSON gateway
// with single-key compare-and-swap, leases and watches.
type Store struct {
	*endpoint
	mu sync.Mutex
	// revision rises by one with each change.
	revision int64
	// history is ordered by revision and holds the changes after compacted.
	history   []storeEvent
	compacted int64
	present   map[string]storeKV
	leases    map[int64]*storeLease
	faults    StoreFaults
	// changed is closed and replaced at each change of state.
	changed chan struct{}
	// broken is closed and replaced when watches break.
	broken chan struct{}
	calls  int
}

// NewStore starts an empty store.
func NewStore(listen Listen) (*Store, error) {
	s := &Store{
		present: make(map[string]storeKV),
		leases:  make(map[int64]*storeLease),
		changed: make(chan struct{}),
		broken:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v3/kv/range", storeCall(s, s.list))
	mux.HandleFunc(txnPath, storeCall(s, s.swap))
	mux.HandleFunc("/v3/lease/grant", storeCall(s, s.grant))
	mux.HandleFunc("/v3/lease/keepalive", storeCall(s, s.keepAlive))
	mux.HandleFunc("/v3/watch", s.watch)
	var err error
	s.endpoint, err = newEndpoint(listen, mux)
	return s, err
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.signal()
}

// Refuse makes the store refuse connections, or take them again.
func (s *Store) Refuse(refuse bool) error {
	if refuse {
		s.Close()
		return nil
	}
	return s.start()
}

// LapseLeases ends all leases at once.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.lapse(id)
	}
}

// BreakWatches ends all open watches.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

// Compact drops the changes up to now, so that no watch can replay them.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(len(s.history))
}

// Calls counts the calls that reached the store, each watch as one.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// admit reads a request and applies the faults before the call. It breaks the
// connection of a caller that is gone.
func admit[Q any](s *Store, r *http.Request) (query Q) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBody))
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

// storeCall makes a handler of a call, which runs under the lock.
func storeCall[Q any](s *Store, call func(Q) (int, object)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := admit[Q](s, r)
		s.mu.Lock()
		swap, onLost := r.URL.Path == txnPath, s.faults.OnLost
		lost := swap && take(&s.faults.LoseRequests)
		var status int
		var reply object
		if !lost {
			status, reply = call(query)
			lost = swap && take(&s.faults.LoseReplies)
		}
		s.mu.Unlock()
		if lost && onLost != nil {
			onLost()
		}
		if lost {
			panic(http.ErrAbortHandler)
		}
		answer(w, status, reply)
	}
}

// take lowers a count of faults to come. It returns false if there are none.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// change makes one change and tells the watches.
func (s *Store) change(event storeEvent) {
	s.revision++
	event.KV.ModRevision = s.revision
	s.history = append(s.history, event)
	if len(s.history) > maxStoreHistory {
		s.compact(maxStoreHistory / 2)
	}
	delete(s.present, string(event.KV.Key))
	if event.Type == "" {
		s.present[string(event.KV.Key)] = event.KV
	}
	s.signal()
}

func (s *Store) compact(n int) {
	if n > 0 {
		s.compacted = s.history[n-1].KV.ModRevision
		s.history = slices.Clone(s.history[n:])
	}
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
