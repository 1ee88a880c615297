package faker

import (
	"encoding/json"
	"net/http"
	"slices"
)

type storeWatch struct {
	Create struct {
		storeRange
		Start int64 `json:"start_revision,string"`
	} `json:"create_request"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	request := admit[storeWatch](s, r)
	s.mu.Lock()
	next, broken := request.Create.Start, s.broken
	s.mu.Unlock()
	answer(w, http.StatusOK, object{"result": object{"created": true}})
	for http.NewResponseController(w).Flush() == nil {
		result, changed := s.since(&next, request.Create.storeRange)
		if result != nil {
			// A failed write is seen by the next Flush.
			_ = json.NewEncoder(w).Encode(object{"result": result})
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

// since returns the changes in a range from a revision on, which it moves
// past them, or nil and a channel that is closed at the next change.
func (s *Store) since(next *int64, query storeRange) (object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Hang {
		return nil, s.changed
	}
	if *next <= s.compacted {
		return object{"canceled": true, "compact_revision": itoa(s.compacted)}, nil
	}
	var events []storeEvent
	for _, event := range slices.Backward(s.history) {
		if event.KV.ModRevision < *next {
			break
		}
		if query.covers(event.KV.Key) {
			events = append(events, event)
		}
	}
	slices.Reverse(events)
	*next = max(*next, s.revision+1)
	if len(events) == 0 {
		return nil, s.changed
	}
	return object{"events": events}, nil
}
