package server_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	crowdSize = 60
	crowdSeed = 7
)

// TestConcurrentCallersGetTheirOwnAnswers sends streams through both VMs while
// an upstream fails and every fifth caller disconnects. A caller must get a
// prefix of its own answer, or all of it if it stays; engines end without holds.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	for name, fault := range map[string]func(*site){
		"decode engine dies":   func(s *site) { s.engines[2].Kill() },
		"prefill engine dies":  func(s *site) { s.engines[0].Kill() },
		"link stalls":          func(s *site) { s.engines[2].StallTransfers(3 * time.Second) },
		"decode engine leaves": func(s *site) { s.engines[2].SetLeaving(true) },
		"decode engine pauses": func(s *site) {
			s.engines[2].Freeze()
			time.AfterFunc(time.Second, s.engines[2].Thaw)
		},
	} {
		t.Run(name, func(t *testing.T) { runCrowd(t, fault) })
	}
}

func runCrowd(t *testing.T, fault func(*site)) {
	runOnSite(t, nil, func(s *site) {
		rng := rand.New(rand.NewPCG(crowdSeed, 0))
		time.AfterFunc(700*time.Millisecond, func() { fault(s) })
		replies := make([]reply, crowdSize)
		var callers sync.WaitGroup
		for i := range crowdSize {
			ctx, cancel := context.WithCancel(context.Background())
			if i%5 == 0 {
				time.AfterFunc(time.Duration(rng.IntN(3000))*time.Millisecond, cancel)
			}
			wait := time.Duration(rng.IntN(1500)) * time.Millisecond
			callers.Go(func() {
				defer cancel()
				time.Sleep(wait)
				replies[i] = s.call(ctx, crowdRequest(i))
			})
		}
		callers.Wait()
		for i, got := range replies {
			text, done := s.text(got)
			s.Expect(expectedAnswer(crowdPrompt(i), 40)).To(HavePrefix(text))
			if done || i%5 != 0 {
				s.Expect(text).To(Equal(expectedAnswer(crowdPrompt(i), 40)), "caller %d: %s", i, got)
			}
		}
		time.Sleep(maxReleaseDelay)
		s.Expect(s.engineHolds()).To(BeEmpty())
	})
}

func crowdPrompt(i int) string { return fmt.Sprintf("Check beam %d.", i) }

func crowdRequest(i int) request {
	r := completion(fmt.Sprintf(`{"model":"timber-7b","prompt":%q,"max_tokens":40,"stream":true}`, crowdPrompt(i)))
	r.header.Set("Figtrack-Class", "LongReading")
	r.vm = i % 2
	return r
}

// TestKeyRunsOnceThroughBothVMs sends each of twenty keys four times
// concurrently, twice through each VM, while the store loses replies to writes
// that took effect.
func TestKeyRunsOnceThroughBothVMs(t *testing.T) {
	const keys = 20
	runOnSite(t, nil, func(s *site) {
		s.store.SetFaults(loseReplies(3))
		var callers sync.WaitGroup
		var mu sync.Mutex
		answered := make([]int, keys)
		for i := range keys * 4 {
			callers.Go(func() {
				got := s.call(context.Background(), keyedRequest(i%keys, i/keys%2))
				mu.Lock()
				defer mu.Unlock()
				if got.status == http.StatusOK {
					answered[i%keys]++
				}
			})
		}
		callers.Wait()
		for i, n := range answered {
			s.Expect(n).To(BeNumerically("<=", 1))
			s.Expect(s.runCountOfKey(fmt.Sprintf("key-%d", i))).To(Equal(n))
		}
		s.Expect(answered).To(ContainElement(1))
	})
}

func keyedRequest(key, vm int) request {
	return request{
		method: http.MethodPost, path: "/orders/kits", body: "7", vm: vm,
		header: http.Header{"Idempotency-Key": {fmt.Sprintf("key-%d", key)}},
	}
}
