package faker

import (
	"encoding/json"
	"net/http"
	"slices"
)

// storeWatch is the request to open a watch.
type storeWatch struct {
	Create struct {
		storeRange
		Start int64 `json:"start_revision,string"`
	} `json:"create_request"`
}

// handleWatch streams the changes in a range until the client disconnects or
// BreakWatches closes the connection.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	request := admitRequest[storeWatch](s, r)
	s.mu.Lock()
	next, broken := request.Create.Start, s.broken
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, jsonObject{"result": jsonObject{"created": true}})
	for http.NewResponseController(w).Flush() == nil {
		result, changed := s.changesSince(&next, request.Create.storeRange)
		if result != nil {
			// If the write fails, so does the next Flush, which ends the loop.
			_ = json.NewEncoder(w).Encode(jsonObject{"result": result})
			continue
		}
		select {
		case <-changed:
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes in a range from the revision next on and moves
// next past them. If there are none, it returns nil and a channel that is closed at
// the next change.
func (s *Store) changesSince(next *int64, query storeRange) (jsonObject, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Hang {
		return nil, s.changed
	}
	if *next <= s.compactedRevision {
		return jsonObject{"canceled": true, "compact_revision": formatInt(s.compactedRevision)}, nil
	}
	var events []storeEvent
	for _, event := range slices.Backward(s.history) {
		if event.KV.ModRevision < *next {
			break
		}
		if query.contains(event.KV.Key) {
			events = append(events, event)
		}
	}
	slices.Reverse(events)
	*next = max(*next, s.revision+1)
	if len(events) == 0 {
		return nil, s.changed
	}
	return jsonObject{"events": events}, nil
}
