package demonstrator

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/poster"
)

const (
	// poison is part of the prompt that kills the engines of the test.
	poison = "POISON"
	// patience only ends a test that hangs.
	patience = 2 * time.Minute
)

// patient is Himal with targets that no machine misses, so that no verdict
// depends on its speed.
func patient() Shape {
	shape := Himal()
	shape.Classes = []configurer.Class{
		{Name: loadNote, FirstToken: duration(time.Hour), PerToken: duration(time.Minute)},
		{Name: specReading, FirstToken: duration(time.Hour), PerToken: duration(time.Minute)},
	}
	return shape
}

// reviver restarts engines that were killed and counts how often.
type reviver struct {
	mu     sync.Mutex
	deaths int
}

func (r *reviver) run(ctx context.Context, engines []*faker.EngineServer) {
	client := poster.NewClient()
	for ctx.Err() == nil {
		for i, e := range engines {
			_, err := driver.NewHTTP(identifier.Upstream(rune('a'+i)), e.URL(), client).Load(ctx)
			if err != nil && ctx.Err() == nil {
				r.mu.Lock()
				r.deaths++
				r.mu.Unlock()
				_ = e.Restart()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *reviver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deaths
}

func TestARequestThatCrashesEnginesIsFoundAfterTwoDeaths(t *testing.T) {
	g := NewWithT(t)
	shape := patient()
	shape.VMs = 3

	f, err := Start(shape, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	for _, e := range f.Decode {
		e.CrashOn(poison)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var r reviver
	go r.run(ctx, f.Decode)

	client := &http.Client{}
	var wg sync.WaitGroup
	innocents := make([]reply, 24)
	for i := range innocents {
		wg.Go(func() {
			a := ask{class: specReading, workspace: "franchise", prompt: question(newSource(uint64(i))), maxOutput: 100}
			innocents[i] = complete(ctx, client, f.Addresses[i%len(f.Addresses)], a)
		})
	}
	guilty := ask{class: specReading, workspace: "franchise", prompt: "A " + poison + " specification", maxOutput: 50}
	var last reply
	for i := range 12 {
		last = complete(ctx, client, f.Addresses[i%len(f.Addresses)], guilty)
		if last.reason == "Quarantined" {
			break
		}
	}
	wg.Wait()
	g.Expect(last.reason).To(Equal("Quarantined"))
	g.Expect(r.count()).To(BeNumerically("<=", 2))
	for _, one := range innocents {
		g.Expect(one.wrong).To(BeEmpty())
		g.Expect(one.status).To(Equal(http.StatusOK), one.reason)
	}
}
