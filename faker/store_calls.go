package faker

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// object is a JSON object of the gateway's replies.
type object map[string]any

type storeKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type storeEvent struct {
	// Type is empty for a put, or DELETE.
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

type storeOperation struct {
	Put   *storeKV    `json:"request_put"`
	Range *storeRange `json:"request_range"`
}

type storeTxn struct {
	// Compare is taken as MOD EQUAL.
	Compare []storeKV        `json:"compare"`
	Success []storeOperation `json:"success"`
	Failure []storeOperation `json:"failure"`
}

type storeGrant struct {
	TTL int64 `json:"TTL,string"`
}

type storeKeepAlive struct {
	ID int64 `json:"ID,string"`
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func (q storeRange) covers(key []byte) bool {
	if len(q.RangeEnd) == 0 {
		return bytes.Equal(key, q.Key)
	}
	toLast := bytes.Equal(q.RangeEnd, []byte{0})
	return bytes.Compare(key, q.Key) >= 0 && (toLast || bytes.Compare(key, q.RangeEnd) < 0)
}

func (s *Store) header() object { return object{"revision": itoa(s.revision)} }

func (s *Store) list(query storeRange) (int, object) {
	kvs, known := s.read(query), true
	if query.Revision > 0 {
		kvs, known = s.readAt(query)
	}
	if !known {
		return http.StatusBadRequest, object{"message": "required revision has been compacted"}
	}
	return http.StatusOK, object{"header": s.header(), "kvs": kvs}
}

func (s *Store) read(query storeRange) []storeKV {
	kvs := []storeKV{}
	for _, kv := range s.present {
		if query.covers(kv.Key) {
			kvs = append(kvs, kv)
		}
	}
	slices.SortFunc(kvs, func(a, b storeKV) int { return bytes.Compare(a.Key, b.Key) })
	return kvs
}

// readAt reads one key as it stood at a revision. It returns false if the
// history doesn't go back so far.
func (s *Store) readAt(query storeRange) ([]storeKV, bool) {
	for _, event := range slices.Backward(s.history) {
		if event.KV.ModRevision > query.Revision || !query.covers(event.KV.Key) {
			continue
		}
		if event.Type != "" {
			return nil, true
		}
		return []storeKV{event.KV}, true
	}
	return nil, s.compacted == 0
}

func (s *Store) swap(txn storeTxn) (int, object) {
	operations, succeeded := txn.Success, true
	for _, c := range txn.Compare {
		if s.present[string(c.Key)].ModRevision != c.ModRevision {
			operations, succeeded = txn.Failure, false
		}
	}
	responses := []object{}
	for _, o := range operations {
		switch {
		case o.Put == nil:
			responses = append(responses, object{"response_range": object{"kvs": s.read(*o.Range)}})
		case o.Put.Lease != 0 && s.leases[o.Put.Lease] == nil:
			return http.StatusNotFound, object{"message": "requested lease not found"}
		default:
			s.change(storeEvent{KV: *o.Put})
			responses = append(responses, object{"response_put": object{}})
		}
	}
	return http.StatusOK, object{"header": s.header(), "succeeded": succeeded, "responses": responses}
}

func (s *Store) grant(request storeGrant) (int, object) {
	s.revision++
	id, ttl := s.revision, time.Duration(request.TTL)*time.Second
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse(id)
	})}
	return http.StatusOK, object{"ID": itoa(id), "TTL": itoa(request.TTL)}
}

func (s *Store) keepAlive(request storeKeepAlive) (int, object) {
	result := object{"ID": itoa(request.ID)}
	if l := s.leases[request.ID]; l != nil {
		l.timer.Reset(l.ttl)
		result["TTL"] = itoa(int64(l.ttl / time.Second))
	}
	return http.StatusOK, object{"result": result}
}

// lapse ends a lease and deletes its values.
func (s *Store) lapse(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for _, kv := range s.read(storeRange{RangeEnd: []byte{0}}) {
		if kv.Lease == id {
			s.change(storeEvent{Type: "DELETE", KV: storeKV{Key: kv.Key}})
		}
	}
}
