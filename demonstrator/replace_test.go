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

// balancer gives the next VM that is ready, as the platform's does.
type balancer struct {
	mu        sync.Mutex
	addresses []string
	next      int
}

func (b *balancer) take(client *http.Client) string {
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

// TestAllVMsAreReplacedUnderLoad stops and starts one VM after the other while
// callers stream: nothing is cut off or lost.
func TestAllVMsAreReplacedUnderLoad(t *testing.T) {
	g := NewWithT(t)
	shape := patient()
	shape.VMs = 4
	// A caller's request comes within Notice after the balancer's look, as
	// long as the test process gets processor time now and then.
	shape.Notice = 2 * time.Second
	f, err := Start(shape, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
				a := ask{class: specReading, workspace: "franchise", prompt: question(newSource(uint64(c)<<32 + n)), maxOutput: 40}
				one := complete(ctx, client, b.take(client), a)
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
		g.Expect(one.wrong).To(BeEmpty())
		g.Expect(one.status).To(Equal(http.StatusOK), one.reason)
	}
	t.Logf("%d streams", len(replies))
}
