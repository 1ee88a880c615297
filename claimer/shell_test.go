package claimer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/piper"
	"github.com/figtrack/figtrack/wire"
)

// network connects shells. VMs in unreachable get no calls.
type network struct {
	shells      map[identifier.VM]*claimer.Shell
	unreachable map[identifier.VM]bool
}

// link is the messenger.Sender of one VM in a network.
type link struct {
	from identifier.VM
	net  *network
}

func (l link) Send(identifier.VM, *wire.Envelope) bool { return false }

func (l link) Call(ctx context.Context, to identifier.VM, e *wire.Envelope) (*wire.Envelope, error) {
	if l.net.unreachable[to] {
		return nil, errors.New("unreachable")
	}
	return l.net.shells[to].Handle(ctx, l.from, e), nil
}

func TestShellsGrantOnceAndRefuseWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wires piper.Network
		calls := wires.Client()
		store, err := faker.NewStore(wires.Listen)
		g.Expect(err).NotTo(HaveOccurred())
		defer calls.CloseIdleConnections()
		defer store.Close()
		client := keeper.New(keeper.Settings{Endpoints: []string{store.URL()}, Timeout: claimer.CallTimeout, Client: calls}, keeper.NewMetrics())
		net := &network{shells: map[identifier.VM]*claimer.Shell{}, unreachable: map[identifier.VM]bool{}}
		live := []identifier.VM{"vm1", "vm2", "vm3"}
		leaders := func(shard claimer.Shard) []identifier.VM { return claimer.Leaders(shard, live, 2) }
		for _, vm := range live {
			net.shells[vm] = claimer.NewShell(vm, 1, client, link{from: vm, net: net}, leaders)
			go net.shells[vm].Run(ctx)
		}
		claim := func(vm identifier.VM, key identifier.Request, body string) claimer.Result {
			return net.shells[vm].Claim(ctx, claimer.Identify("w", key, []byte(body)))
		}

		var mu sync.Mutex
		var wg sync.WaitGroup
		granted := 0
		for i := range 300 {
			wg.Go(func() {
				r := claim(live[i%3], "beam-7", "reserve")
				mu.Lock()
				defer mu.Unlock()
				if r.Granted() {
					granted++
				} else {
					g.Expect(r.Verdict).To(Equal(claimer.VerdictTaken))
				}
			})
		}
		wg.Wait()
		g.Expect(granted).To(Equal(1))
		entries, err := client.List(ctx, keeper.PurposeClaim, "Claims/")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(entries).To(HaveLen(1))
		g.Expect(claim("vm2", "beam-7", "other").Verdict).To(Equal(claimer.VerdictTakenOtherBody))

		store.SetFaults(faker.StoreFaults{LoseReplies: 1})
		g.Expect(claim("vm1", "beam-8", "reserve").Granted()).To(BeTrue())
		g.Expect(claim("vm3", "beam-8", "reserve").Verdict).To(Equal(claimer.VerdictTaken))

		leader := leaders(claimer.ShardOf(claimer.Identify("w", "beam-8", nil).Key))[0]
		net.unreachable[leader] = true
		for _, vm := range live {
			g.Expect(claim(vm, "beam-8", "reserve").Verdict).To(Equal(claimer.VerdictTaken), string(vm))
		}
		net.unreachable[leader] = false

		g.Expect(store.SetRefusing(true)).To(Succeed())
		claim("vm1", "beam-9", "reserve")
		start := time.Now()
		g.Expect(claim("vm1", "beam-9", "reserve")).To(Equal(claimer.Result{Verdict: claimer.VerdictUnavailable, Reason: claimer.ReasonStoreDown}))
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(store.SetRefusing(false)).To(Succeed())
		time.Sleep(2 * claimer.ProbeInterval)
		g.Expect(claim("vm2", "beam-9", "reserve").Granted()).To(BeTrue())

		store.SetFaults(faker.StoreFaults{Hang: true})
		start = time.Now()
		g.Expect(claim("vm1", "beam-10", "reserve").Verdict).To(Equal(claimer.VerdictUnavailable))
		g.Expect(time.Since(start)).To(BeNumerically("<=", claimer.AskTimeout))
		time.Sleep(claimer.CallTimeout)
		start = time.Now()
		g.Expect(claim("vm1", "beam-10", "reserve").Reason).To(Equal(claimer.ReasonStoreDown))
		g.Expect(time.Since(start)).To(BeZero())
		store.SetFaults(faker.StoreFaults{})
		time.Sleep(2 * claimer.ProbeInterval)
		g.Expect(claim("vm3", "beam-11", "reserve").Granted()).To(BeTrue())

		old := identifier.Request("01890a5d-ac96-774b-bcce-b302099a8057")
		g.Expect(claim("vm1", old, "reserve").Verdict).To(Equal(claimer.VerdictExpired))
		cancel()
		synctest.Wait()
	})
}
