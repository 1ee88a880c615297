package demonstrator

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/server"
)

// TestTheOwnerDiesAtThePeak kills the VM that keeps the ledger while streams
// run that entered through the others.
func TestTheOwnerDiesAtThePeak(t *testing.T) {
	g := NewWithT(t)
	f, err := Start(patient(), io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	owner := slices.IndexFunc(f.Servers, owns)
	g.Expect(owner).To(BeNumerically(">=", 0))
	others := slices.Delete(slices.Clone(f.Addresses), owner, owner+1)

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	client := &http.Client{}
	replies := make([]reply, 60)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			a := ask{class: specReading, workspace: "franchise", prompt: question(newSource(uint64(i))), maxOutput: 80}
			replies[i] = complete(ctx, client, others[i%len(others)], a)
		})
	}
	time.Sleep(600 * time.Millisecond)
	f.Servers[owner].Kill()
	wg.Wait()
	for _, one := range replies {
		g.Expect(one.wrong).To(BeEmpty())
		g.Expect(one.status).To(Equal(http.StatusOK), one.reason)
	}
	f.Servers = slices.Delete(f.Servers, owner, owner+1)
	g.Expect(slices.IndexFunc(f.Servers, owns)).To(BeNumerically(">=", 0))
}

func owns(s *server.Server) bool { return len(s.Owned()) > 0 }
