package faker

import (
	"encoding/json"
	"net/http"
	"time"
)

type storeOperation struct {
	Put   *storeKV    `json:"request_put"`
	Range *storeRange `json:"request_range"`
}

type storeTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []storeOperation `json:"success"`
	Failure []storeOperation `json:"failure"`
}

func (s *Store) swap(body *json.Decoder) (int, object, bool) {
	var txn storeTxn
	if err := body.Decode(&txn); err != nil {
		return refuseCall(http.StatusBadRequest, err.Error())
	}
	operations, succeeded := txn.Success, true
	for _, c := range txn.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return refuseCall(http.StatusBadRequest, "only MOD EQUAL is compared")
		}
		if s.present[string(c.Key)].ModRevision != c.ModRevision {
			operations, succeeded = txn.Failure, false
		}
	}
	responses := make([]object, 0, len(operations))
	for _, o := range operations {
		switch {
		case o.Put == nil:
			responses = append(responses, object{"response_range": object{"kvs": s.read(*o.Range)}})
		case o.Put.Lease != 0 && s.leases[o.Put.Lease] == nil:
			return refuseCall(http.StatusNotFound, "etcdserver: requested lease not found")
		default:
			s.change(storeEvent{KV: *o.Put})
			responses = append(responses, object{"response_put": object{}})
		}
	}
	return http.StatusOK, object{"header": s.header(), "succeeded": succeeded, "responses": responses}, succeeded
}

func (s *Store) grant(body *json.Decoder) (int, object, bool) {
	var request struct {
		TTL int64 `json:"TTL,string"`
	}
	if err := body.Decode(&request); err != nil || request.TTL <= 0 {
		return refuseCall(http.StatusBadRequest, "TTL in seconds is asked for")
	}
	s.revision++
	id := s.revision
	ttl := time.Duration(request.TTL) * time.Second
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse(id)
	})}
	return http.StatusOK, object{"header": s.header(), "ID": itoa(id), "TTL": itoa(request.TTL)}, true
}

func (s *Store) keepAlive(body *json.Decoder) (int, object, bool) {
	var request struct {
		ID int64 `json:"ID,string"`
	}
	if err := body.Decode(&request); err != nil {
		return refuseCall(http.StatusBadRequest, err.Error())
	}
	result := object{"header": s.header(), "ID": itoa(request.ID)}
	if l := s.leases[request.ID]; l != nil {
		l.timer.Reset(l.ttl)
		result["TTL"] = itoa(int64(l.ttl / time.Second))
	}
	return http.StatusOK, object{"result": result}, true
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
