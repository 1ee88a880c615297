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
	crowd     = 60
	crowdSeed = 7
)

// TestCrowdGetsItsOwnAnswers sends streams through both VMs while an upstream
// fails in one way and every fifth caller leaves. Each text that comes is the
// begin of the caller's own answer, each caller that stays gets it whole, and
// the engines hold nothing afterwards.
func TestCrowdGetsItsOwnAnswers(t *testing.T) {
	for name, fault := range map[string]func(*site){
		"decode engine dies":   func(s *site) { s.engines[2].Kill() },
		"prefill engine dies":  func(s *site) { s.engines[0].Kill() },
		"link stalls":          func(s *site) { s.engines[2].StallTransfers(3 * time.Second) },
		"decode engine leaves": func(s *site) { s.engines[2].Leave(true) },
		"decode engine pauses": func(s *site) {
			s.engines[2].Freeze()
			time.AfterFunc(time.Second, s.engines[2].Thaw)
		},
	} {
		t.Run(name, func(t *testing.T) { crowdWith(t, fault) })
	}
}

func crowdWith(t *testing.T, fault func(*site)) {
	onSite(t, nil, func(s *site) {
		rng := rand.New(rand.NewPCG(crowdSeed, 0))
		time.AfterFunc(700*time.Millisecond, func() { fault(s) })
		replies := make([]reply, crowd)
		var callers sync.WaitGroup
		for i := range crowd {
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
			s.Expect(answerTo(crowdPrompt(i), 40)).To(HavePrefix(text))
			if done || i%5 != 0 {
				s.Expect(text).To(Equal(answerTo(crowdPrompt(i), 40)), "caller %d: %s", i, got)
			}
		}
		time.Sleep(releasedWithin)
		s.Expect(s.holds()).To(BeEmpty())
	})
}

func crowdPrompt(i int) string { return fmt.Sprintf("Check beam %d.", i) }

func crowdRequest(i int) request {
	r := completion(fmt.Sprintf(`{"model":"timber-7b","prompt":%q,"max_tokens":40,"stream":true}`, crowdPrompt(i)))
	r.header.Set("Figtrack-Class", "LongReading")
	r.vm = i % 2
	return r
}

// TestKeyRunsOnceThroughBothVMs sends each of twenty keys four times at once,
// twice through each VM, while store replies get lost after the write.
func TestKeyRunsOnceThroughBothVMs(t *testing.T) {
	const keys = 20
	onSite(t, nil, func(s *site) {
		s.store.SetFaults(lostReplies(3))
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
			s.Expect(s.runsOfKey(fmt.Sprintf("key-%d", i))).To(Equal(n))
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
