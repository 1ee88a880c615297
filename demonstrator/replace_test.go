package demonstrator

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// balancer picks ready VMs in turn, as the platform's load balancer does.
type balancer struct {
	mu        sync.Mutex
	addresses []string
	next      int
}

// nextReady returns the address of the next VM whose /readyz answers 200.
func (b *balancer) nextReady(client *http.Client) string {
	for {
		b.mu.Lock()
		b.next++
		address := b.addresses[b.next%len(b.addresses)]
		b.mu.Unlock()
		answer, err := client.Get("http://" + address + "/readyz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return address
		}
	}
}

// TestReplacingAllVMsCutsNoStream replaces one VM after the other while callers
// stream. No stream may be cut off or lost.
func TestReplacingAllVMsCutsNoStream(t *testing.T) {
	g := NewWithT(t)
	shape := looseTargetShape()
	shape.VMs = 4
	// The request must reach the VM within Notice after the balancer's
	// readiness check. That holds as long as the test process gets processor
	// time now and then.
	shape.Notice = 2 * time.Second
	f, err := Start(shape, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := &http.Client{}
	b := &balancer{addresses: f.Addresses}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for c := range 16 {
		wg.Go(func() {
			for n := uint64(0); ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := callerRequest{class: specReading, workspace: "franchise", prompt: question(newRand(uint64(c)<<32 + n)), maxOutput: 40}
				one := sendCompletion(ctx, client, b.nextReady(client), a)
				mu.Lock()
				replies = append(replies, one)
				mu.Unlock()
			}
		})
	}
	for i := range f.Servers {
		cut, err := f.Replace(i)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cut).To(BeZero())
	}
	close(stop)
	wg.Wait()
	g.Expect(len(replies)).To(BeNumerically(">", 16))
	for _, one := range replies {
		g.Expect(one.problem).To(BeEmpty())
		g.Expect(one.status).To(Equal(http.StatusOK), one.reason)
	}
	t.Logf("%d streams", len(replies))
}
