package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figtrack/figtrack/listener"
)

// reservationCounts counts the outcomes of calls to the plain service.
type reservationCounts struct {
	mu sync.Mutex
	// sent counts the calls that had an HTTP response; answered and refused count
	// those with status 200 and with any other status.
	sent, answered, refused int
	// firstProblem describes the first error or unexpected reply; empty if there
	// was none.
	firstProblem string
}

// sendsPerReservation is how often each reservation is sent, through different VMs.
const sendsPerReservation = 3

// sendReservation sends one reservation several times with the same idempotency
// key, concurrently and through different VMs. Exactly one call must be answered;
// the others must be refused.
func (f *Fleet) sendReservation(ctx context.Context, client *http.Client, key string, counts *reservationCounts) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range sendsPerReservation {
		wg.Go(func() {
			status, problem := f.sendReservationOnce(ctx, client, key, f.Addresses[i%len(f.Addresses)])
			counts.record(status, problem)
			if status == http.StatusOK {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if answered != 1 {
		counts.record(0, fmt.Sprintf("reservation %s was answered %d times", key, answered))
	}
}

// sendReservationOnce returns the status of one call and describes its problem, if
// any. The status is 0 if there was no HTTP response.
func (f *Fleet) sendReservationOnce(ctx context.Context, client *http.Client, key, address string) (int, string) {
	body := strings.NewReader(`{"Beam":"sal 160 by 240","Count":4}`)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders/reservations", body)
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set(listener.HeaderKey, key)
	answer, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusOK {
		return answer.StatusCode, ""
	}
	var refusal chunk
	if err := json.NewDecoder(answer.Body).Decode(&refusal); err != nil || refusal.Reason == "" {
		return answer.StatusCode, fmt.Sprintf("status %d without a reason", answer.StatusCode)
	}
	return answer.StatusCode, ""
}

func (r *reservationCounts) record(status int, problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status == http.StatusOK:
		r.sent++
		r.answered++
	case status != 0:
		r.sent++
		r.refused++
	}
	if problem != "" && r.firstProblem == "" {
		r.firstProblem = problem
	}
}

// countRuns returns how often the services ran reservations with the given keys in
// total, and the most runs of a single key.
func (f *Fleet) countRuns(keys []string) (total, most int) {
	for _, key := range keys {
		n := 0
		for _, s := range f.Services {
			n += s.RunsWithKey(key)
		}
		total += n
		most = max(most, n)
	}
	return total, most
}

// settleDelay is how long the fleet needs to finish work after the last reply. It is
// also the interval at which the membership is polled.
const settleDelay = 300 * time.Millisecond
