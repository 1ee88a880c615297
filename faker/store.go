package faker

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// maxStoreHistory is the changes that the store keeps for watches.
	maxStoreHistory = 100_000
	// maxStoreBody is the longest request in bytes.
	maxStoreBody = 4 << 20

	storeTxnPath = "/v3/kv/txn"
)

// StoreFaults are the faults of the store that last until switched off.
type StoreFaults struct {
	// Hang leaves every call without a reply until it is switched off.
	Hang bool
	// Delay is added to each call. A write takes effect even if its caller
	// is gone by then.
	Delay time.Duration
	// LoseReplies is how many of the next writes take effect and then lose
	// their connection.
	LoseReplies int
	// LoseRequests is how many of the next writes lose their connection
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

type storeKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type storeEvent struct {
	Type string  `json:"type,omitempty"`
	KV   storeKV `json:"kv"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

type storeRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Revision int64  `json:"revision,string"`
}

func (q storeRange) covers(key []byte) bool {
	if len(q.RangeEnd) == 0 {
		return bytes.Equal(key, q.Key)
	}
	return bytes.Compare(key, q.Key) >= 0 && (bytes.Equal(q.RangeEnd, []byte{0}) || bytes.Compare(key, q.RangeEnd) < 0)
}

// object is a JSON object of the gateway's replies.
type object map[string]any

// NewStore starts an empty store.
func NewStore(listen Listen) (*Store, error) {
	s := &Store{
		present: make(map[string]storeKV),
		leases:  make(map[int64]*storeLease),
		changed: make(chan struct{}),
		broken:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.serve(s.list))
	mux.HandleFunc("POST "+storeTxnPath, s.serve(s.swap))
	mux.HandleFunc("POST /v3/lease/grant", s.serve(s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", s.serve(s.keepAlive))
	mux.HandleFunc("POST /v3/watch", s.watch)
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
	ids := make([]int64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
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

// Calls counts the calls that reached the store, each watch as one.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the changes up to now, so that no watch can replay them.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(len(s.history))
}

func (s *Store) compact(n int) {
	if n > 0 {
		s.compacted = s.history[n-1].KV.ModRevision
		s.history = slices.Clone(s.history[n:])
	}
}

// admit reads the request and applies the faults before a call. It returns
// false if the caller is gone.
func (s *Store) admit(r *http.Request) (*json.Decoder, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBody))
	if err != nil {
		return nil, false
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
			return json.NewDecoder(bytes.NewReader(body)), true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil, false
		}
	}
}

// serve makes a handler of one call. The call runs under the lock and
// returns its reply and whether it wrote.
func (s *Store) serve(call func(*json.Decoder) (int, object, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := s.admit(r)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		status, reply, onLost := s.perform(body, r.URL.Path, call)
		if onLost != nil {
			onLost()
			panic(http.ErrAbortHandler)
		}
		answer(w, status, reply)
	}
}

// perform makes a call. It returns what to do in place of the reply if that
// gets lost.
func (s *Store) perform(body *json.Decoder, path string, call func(*json.Decoder) (int, object, bool)) (int, object, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	onLost := s.faults.OnLost
	if onLost == nil {
		onLost = func() {}
	}
	if s.faults.LoseRequests > 0 && path == storeTxnPath {
		s.faults.LoseRequests--
		return 0, nil, onLost
	}
	status, reply, wrote := call(body)
	if !wrote || s.faults.LoseReplies == 0 {
		return status, reply, nil
	}
	s.faults.LoseReplies--
	return 0, nil, onLost
}

func refuseCall(status int, reason string) (int, object, bool) {
	return status, object{"code": status, "message": reason}, false
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func (s *Store) header() object { return object{"revision": itoa(s.revision)} }

func (s *Store) list(body *json.Decoder) (int, object, bool) {
	var query storeRange
	if err := body.Decode(&query); err != nil {
		return refuseCall(http.StatusBadRequest, err.Error())
	}
	if query.Revision > 0 && query.Revision < s.compacted {
		return refuseCall(http.StatusBadRequest, "etcdserver: mvcc: required revision has been compacted")
	}
	kvs := s.read(query)
	return http.StatusOK, object{"header": s.header(), "kvs": kvs, "count": itoa(int64(len(kvs)))}, false
}

func (s *Store) read(query storeRange) []storeKV {
	state := s.present
	if query.Revision > 0 {
		state = s.stateAt(query.Revision)
	}
	kvs := make([]storeKV, 0, 1)
	for _, kv := range state {
		if query.covers(kv.Key) {
			kvs = append(kvs, kv)
		}
	}
	slices.SortFunc(kvs, func(a, b storeKV) int { return bytes.Compare(a.Key, b.Key) })
	return kvs
}

// stateAt rebuilds an earlier state from the history. Values that were
// written before the history and changed since are missing.
func (s *Store) stateAt(revision int64) map[string]storeKV {
	state := make(map[string]storeKV)
	for key, kv := range s.present {
		if kv.ModRevision <= s.compacted {
			state[key] = kv
		}
	}
	for _, event := range s.history {
		if event.KV.ModRevision > revision {
			break
		}
		delete(state, string(event.KV.Key))
		if event.Type == "" {
			state[string(event.KV.Key)] = event.KV
		}
	}
	return state
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

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
