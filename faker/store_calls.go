package faker

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// jsonObject is a JSON object in a reply.
type jsonObject map[string]any

type storeKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type storeEvent struct {
	// Type is empty for a put and DELETE for a deletion, as in the gateway.
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
	// Compare has the expected ModRevision of each key. Other comparisons are not
	// implemented.
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

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// contains reports whether the range contains a key. As in etcd, an empty RangeEnd
// means the single key, and a zero byte all keys from Key on.
func (q storeRange) contains(key []byte) bool {
	if len(q.RangeEnd) == 0 {
		return bytes.Equal(key, q.Key)
	}
	toLast := bytes.Equal(q.RangeEnd, []byte{0})
	return bytes.Compare(key, q.Key) >= 0 && (toLast || bytes.Compare(key, q.RangeEnd) < 0)
}

func (s *Store) header() jsonObject { return jsonObject{"revision": formatInt(s.revision)} }

// handleRange handles a range call.
func (s *Store) handleRange(query storeRange) (int, jsonObject) {
	kvs, known := s.valuesIn(query), true
	if query.Revision > 0 {
		kvs, known = s.valueAt(query)
	}
	if !known {
		return http.StatusBadRequest, jsonObject{"message": "required revision has been compacted"}
	}
	return http.StatusOK, jsonObject{"header": s.header(), "kvs": kvs}
}

// valuesIn returns the current values in a range, ordered by key.
func (s *Store) valuesIn(query storeRange) []storeKV {
	kvs := []storeKV{}
	for _, kv := range s.values {
		if query.contains(kv.Key) {
			kvs = append(kvs, kv)
		}
	}
	slices.SortFunc(kvs, func(a, b storeKV) int { return bytes.Compare(a.Key, b.Key) })
	return kvs
}

// valueAt returns the value of a single key at a revision. It returns false if the
// history doesn't reach back far enough.
func (s *Store) valueAt(query storeRange) ([]storeKV, bool) {
	for _, event := range slices.Backward(s.history) {
		if event.KV.ModRevision > query.Revision || !query.contains(event.KV.Key) {
			continue
		}
		if event.Type != "" {
			return nil, true
		}
		return []storeKV{event.KV}, true
	}
	return nil, s.compactedRevision == 0
}

// handleTxn handles a transaction. It runs Success if all keys have the expected
// ModRevision and Failure otherwise.
func (s *Store) handleTxn(txn storeTxn) (int, jsonObject) {
	operations, succeeded := txn.Success, true
	for _, c := range txn.Compare {
		if s.values[string(c.Key)].ModRevision != c.ModRevision {
			operations, succeeded = txn.Failure, false
		}
	}
	responses := []jsonObject{}
	for _, o := range operations {
		switch {
		case o.Put == nil:
			responses = append(responses, jsonObject{"response_range": jsonObject{"kvs": s.valuesIn(*o.Range)}})
		case o.Put.Lease != 0 && s.leases[o.Put.Lease] == nil:
			return http.StatusNotFound, jsonObject{"message": "requested lease not found"}
		default:
			s.apply(storeEvent{KV: *o.Put})
			responses = append(responses, jsonObject{"response_put": jsonObject{}})
		}
	}
	return http.StatusOK, jsonObject{"header": s.header(), "succeeded": succeeded, "responses": responses}
}

// handleGrant handles a request for a new lease.
func (s *Store) handleGrant(request storeGrant) (int, jsonObject) {
	s.revision++
	id, ttl := s.revision, time.Duration(request.TTL)*time.Second
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLease(id)
	})}
	return http.StatusOK, jsonObject{"ID": formatInt(id), "TTL": formatInt(request.TTL)}
}

// handleKeepAlive renews a lease. The reply for an expired lease has no TTL.
func (s *Store) handleKeepAlive(request storeKeepAlive) (int, jsonObject) {
	result := jsonObject{"ID": formatInt(request.ID)}
	if l := s.leases[request.ID]; l != nil {
		l.timer.Reset(l.ttl)
		result["TTL"] = formatInt(int64(l.ttl / time.Second))
	}
	return http.StatusOK, jsonObject{"result": result}
}

// expireLease makes a lease expire and deletes its keys.
func (s *Store) expireLease(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for _, kv := range s.valuesIn(storeRange{RangeEnd: []byte{0}}) {
		if kv.Lease == id {
			s.apply(storeEvent{Type: "DELETE", KV: storeKV{Key: kv.Key}})
		}
	}
}
