package claimer_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/wire"
)

// memoryStore answers as the platform's store does; down makes it fail.
type memoryStore struct {
	keeper.Store
	mu      sync.Mutex
	values  map[string]keeper.Entry
	version keeper.Version
	swaps   int
	down    bool
	// loseReply makes the next swap take effect without a reply.
	loseReply bool
}

func (s *memoryStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *memoryStore) failed() error {
	if s.down {
		return &keeper.Error{Kind: keeper.KindNotDone, Err: errors.New("refused")}
	}
	return nil
}

func (s *memoryStore) List(_ context.Context, _ keeper.Purpose, prefix string) ([]keeper.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []keeper.Entry
	for key, entry := range s.values {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries, s.failed()
}

func (s *memoryStore) Swap(_ context.Context, _ keeper.Purpose, key string, expected keeper.Version, value []byte) (keeper.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failed(); err != nil {
		return keeper.Entry{}, false, err
	}
	s.swaps++
	if s.values[key].Version != expected {
		return s.values[key], false, nil
	}
	s.version++
	s.values[key] = keeper.Entry{Key: key, Value: value, Version: s.version}
	if s.loseReply {
		s.loseReply = false
		return keeper.Entry{}, false, &keeper.Error{Kind: keeper.KindUnknown, Err: errors.New("no reply")}
	}
	return s.values[key], true, nil
}

// network connects shells; a VM in cut can't be reached.
type network struct {
	shells map[identifier.VM]*claimer.Shell
	cut    map[identifier.VM]bool
}

type link struct {
	from identifier.VM
	net  *network
}

func (l link) Send(identifier.VM, *wire.Envelope) bool { return false }

func (l link) Call(ctx context.Context, to identifier.VM, e *wire.Envelope) (*wire.Envelope, error) {
	if l.net.cut[to] {
		return nil, errors.New("unreachable")
	}
	return l.net.shells[to].Handle(ctx, l.from, e), nil
}

func TestShellsGrantAKeyOnceAndRefuseWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &memoryStore{values: map[string]keeper.Entry{}}
		net := &network{shells: map[identifier.VM]*claimer.Shell{}, cut: map[identifier.VM]bool{}}
		live := []identifier.VM{"vm1", "vm2", "vm3"}
		leaders := func(shard claimer.Shard) []identifier.VM { return claimer.Leaders(shard, live, 2) }
		for _, vm := range live {
			net.shells[vm] = claimer.NewShell(vm, 1, store, link{from: vm, net: net}, leaders)
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
		g.Expect(store.swaps).To(Equal(1))
		g.Expect(claim("vm2", "beam-7", "other").Verdict).To(Equal(claimer.VerdictTakenOtherBody))

		store.set(func() { store.loseReply = true })
		g.Expect(claim("vm1", "beam-8", "reserve").Granted()).To(BeTrue())
		g.Expect(claim("vm3", "beam-8", "reserve").Verdict).To(Equal(claimer.VerdictTaken))

		leader := leaders(claimer.ShardOf(claimer.Identify("w", "beam-8", nil).Key))[0]
		net.cut[leader] = true
		for _, vm := range live {
			g.Expect(claim(vm, "beam-8", "reserve").Verdict).To(Equal(claimer.VerdictTaken), string(vm))
		}
		net.cut[leader] = false

		store.set(func() { store.down = true })
		claim("vm1", "beam-9", "reserve")
		start := time.Now()
		g.Expect(claim("vm1", "beam-9", "reserve")).To(Equal(claimer.Result{Verdict: claimer.VerdictUnavailable, Reason: claimer.ReasonStoreDown}))
		g.Expect(time.Since(start)).To(BeZero())
		store.set(func() { store.down = false })
		time.Sleep(2 * claimer.ProbeEvery)
		g.Expect(claim("vm2", "beam-9", "reserve").Granted()).To(BeTrue())

		old := identifier.Request("01890a5d-ac96-774b-bcce-b302099a8057")
		g.Expect(claim("vm1", old, "reserve").Verdict).To(Equal(claimer.VerdictExpired))
		cancel()
		synctest.Wait()
	})
}
