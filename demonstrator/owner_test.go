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

// TestStreamsSurviveOwnerCrash kills the owner of the ledger while streams run that
// entered through other VMs. Every stream must complete and another VM must become
// the owner.
func TestStreamsSurviveOwnerCrash(t *testing.T) {
	g := NewWithT(t)
	f, err := Start(looseTargetShape(), io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	owner := slices.IndexFunc(f.Servers, isOwner)
	g.Expect(owner).To(BeNumerically(">=", 0))
	others := slices.Delete(slices.Clone(f.Addresses), owner, owner+1)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := &http.Client{}
	replies := make([]reply, 60)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			a := callerRequest{class: specReading, workspace: "franchise", prompt: question(newRand(uint64(i))), maxOutput: 80}
			replies[i] = sendCompletion(ctx, client, others[i%len(others)], a)
		})
	}
	time.Sleep(600 * time.Millisecond)
	f.Servers[owner].Kill()
	wg.Wait()
	for _, one := range replies {
		g.Expect(one.problem).To(BeEmpty())
		g.Expect(one.status).To(Equal(http.StatusOK), one.reason)
	}
	f.Servers = slices.Delete(f.Servers, owner, owner+1)
	g.Expect(slices.IndexFunc(f.Servers, isOwner)).To(BeNumerically(">=", 0))
}

func isOwner(s *server.Server) bool { return len(s.OwnedShards()) > 0 }
