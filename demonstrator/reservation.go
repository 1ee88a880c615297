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

// reservations is what became of the calls to the plain service.
type reservations struct {
	mu sync.Mutex
	// sent, answered and refused count calls.
	sent, answered, refused int
	// wrong describes the first reply that was not as it must be.
	wrong string
}

// repeats is how often each reservation is sent, through other VMs.
const repeats = 3

// reserve sends one reservation several times with the same key, at once and
// through different VMs. One may be answered, the others must be refused.
func (f *Fleet) reserve(ctx context.Context, client *http.Client, key string, to *reservations) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range repeats {
		wg.Go(func() {
			status, problem := f.reserveOnce(ctx, client, key, f.Addresses[i%len(f.Addresses)])
			to.count(status, problem)
			if status == http.StatusOK {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if answered != 1 {
		to.count(0, fmt.Sprintf("reservation %s was answered %d times", key, answered))
	}
}

func (f *Fleet) reserveOnce(ctx context.Context, client *http.Client, key, address string) (int, string) {
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

func (r *reservations) count(status int, problem string) {
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
	if problem != "" && r.wrong == "" {
		r.wrong = problem
	}
}

// runs counts how often the services ran each of the keys.
func (f *Fleet) runs(keys []string) (total, most int) {
	for _, key := range keys {
		n := 0
		for _, s := range f.Services {
			n += s.Runs(key)
		}
		total += n
		most = max(most, n)
	}
	return total, most
}

// settle is the time after which late work of the fleet has ended.
const settle = 300 * time.Millisecond
