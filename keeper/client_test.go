package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/piper"
)

const purpose = keeper.PurposeConfiguration

// testStore holds a store and a client of it in one virtual network.
type testStore struct {
	*WithT
	*keeper.Client
	ctx     context.Context
	store   *faker.Store
	metrics *keeper.Metrics
}

// withStore runs a test against a store on virtual time. The first endpoint of the
// client doesn't exist.
func withStore(t *testing.T, change func(cfg *keeper.Settings), test func(s *testStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network piper.Network
		client := network.Client()
		s := &testStore{WithT: NewWithT(t), metrics: keeper.NewMetrics()}
		var err error
		s.store, err = faker.NewStore(network.Listen)
		s.Expect(err).NotTo(HaveOccurred())
		cfg := keeper.Settings{
			Endpoints: []string{"http://10.9.9.9:1", s.store.URL()},
			Timeout:   time.Second,
			Client:    client,
			Shares:    map[keeper.Purpose]keeper.Share{purpose: {1000, 1000, 1000, 1000}},
		}
		if change != nil {
			change(&cfg)
		}
		s.Client = keeper.New(cfg, s.metrics)
		ctx, cancel := context.WithCancel(t.Context())
		s.ctx = ctx
		defer client.CloseIdleConnections()
		defer s.store.Close()
		defer s.store.ExpireLeases()
		defer cancel()
		test(s)
	})
}

func (s *testStore) swap(key string, expected keeper.Version, value string) (keeper.Entry, bool) {
	entry, written, err := s.Swap(s.ctx, purpose, key, expected, []byte(value))
	s.Expect(err).NotTo(HaveOccurred())
	return entry, written
}

func (s *testStore) get(key string) keeper.Entry {
	entry, err := s.Get(s.ctx, purpose, key)
	s.Expect(err).NotTo(HaveOccurred())
	return entry
}

func kindOf(err error) keeper.Kind {
	var e *keeper.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestSwapWritesOnlyOverTheExpectedVersion(t *testing.T) {
	withStore(t, nil, func(s *testStore) {
		s.Expect(s.get("/a")).To(Equal(keeper.Entry{Key: "/a"}))
		first, written := s.swap("/a", 0, "1")
		s.Expect(written).To(BeTrue())
		other, written := s.swap("/a", 0, "2")
		s.Expect(written).To(BeFalse())
		s.Expect(other).To(Equal(first))
		second, written := s.swap("/a", first.Version, "3")
		s.Expect(written).To(BeTrue())
		s.Expect(second.Version).To(BeNumerically(">", first.Version))
		third, _ := s.swap("/a/b", 0, "")
		s.swap("/b", 0, "4")
		entries, err := s.List(s.ctx, purpose, "/a")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(entries).To(Equal([]keeper.Entry{second, third}))
	})
}

// TestSwapResolvesLostReplies loses the reply or the request of a swap,
// with and without writes of another writer, and checks that the result of the
// swap is right or stated as unknown.
func TestSwapResolvesLostReplies(t *testing.T) {
	for _, overwrites := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("written, then overwritten %d times", overwrites), func(t *testing.T) {
			withStore(t, nil, func(s *testStore) {
				s.store.SetFaults(faker.StoreFaults{LoseReplies: 1, OnLost: func() {
					s.overwrite("/a", overwrites)
				}})
				entry, written := s.swap("/a", 0, "mine")
				s.Expect(written).To(BeTrue())
				s.Expect(entry).To(Equal(s.get("/a")))
			})
		})
	}
	t.Run("not written, another wrote", func(t *testing.T) {
		withStore(t, nil, func(s *testStore) {
			s.store.SetFaults(faker.StoreFaults{LoseRequests: 1, OnLost: func() {
				s.overwrite("/a", 2)
			}})
			entry, written := s.swap("/a", 0, "mine")
			s.Expect(written).To(BeFalse())
			s.Expect(entry).To(Equal(s.get("/a")))
		})
	})
	t.Run("not written, nobody wrote", func(t *testing.T) {
		withStore(t, nil, func(s *testStore) {
			s.store.SetFaults(faker.StoreFaults{LoseRequests: 1})
			entry, written := s.swap("/a", 0, "mine")
			s.Expect(written).To(BeTrue())
			s.Expect(entry).To(Equal(s.get("/a")))
		})
	})
	t.Run("the history is gone", func(t *testing.T) {
		withStore(t, nil, func(s *testStore) {
			s.store.SetFaults(faker.StoreFaults{LoseReplies: 1, OnLost: func() {
				s.overwrite("/a", 1)
				s.store.Compact()
			}})
			_, _, err := s.Swap(s.ctx, purpose, "/a", 0, []byte("mine"))
			s.Expect(kindOf(err)).To(Equal(keeper.KindUnknown))
		})
	})
	t.Run("nothing can be said", func(t *testing.T) {
		withStore(t, nil, func(s *testStore) {
			s.store.SetFaults(faker.StoreFaults{LoseReplies: 1, OnLost: s.store.Close})
			_, _, err := s.Swap(s.ctx, purpose, "/a", 0, []byte("mine"))
			s.Expect(kindOf(err)).To(Equal(keeper.KindUnknown))
		})
	})
}

// overwrite writes a key n times as another writer.
func (s *testStore) overwrite(key string, n int) {
	for i := range n {
		entry := s.get(key)
		s.swap(key, entry.Version, fmt.Sprintf("other %d", i))
	}
}

// TestDelayedWriteTakesEffectOnce delays the service beyond the timeout,
// so that the first try takes effect after the client has sent the second one.
func TestDelayedWriteTakesEffectOnce(t *testing.T) {
	withStore(t, nil, func(s *testStore) {
		s.store.SetFaults(faker.StoreFaults{Delay: 1500 * time.Millisecond})
		time.AfterFunc(500*time.Millisecond, func() { s.store.SetFaults(faker.StoreFaults{}) })
		entry, written := s.swap("/a", 0, "mine")
		s.Expect(written).To(BeTrue())
		time.Sleep(time.Minute)
		s.Expect(s.get("/a")).To(Equal(entry))
	})
}

func TestCallsFailWithinTimeout(t *testing.T) {
	withStore(t, nil, func(s *testStore) {
		s.store.SetFaults(faker.StoreFaults{Hang: true})
		began := time.Now()
		_, err := s.Get(s.ctx, purpose, "/a")
		s.Expect(kindOf(err)).To(Equal(keeper.KindNotDone))
		s.Expect(time.Since(began)).To(Equal(time.Second))
		_, _, err = s.Swap(s.ctx, purpose, "/a", 0, []byte("1"))
		s.Expect(kindOf(err)).To(Equal(keeper.KindUnknown))
		s.Expect(time.Since(began)).To(Equal(3 * time.Second))
		_, err = s.Watch(s.ctx, purpose, "/", 0)
		s.Expect(kindOf(err)).To(Equal(keeper.KindNotDone))
		s.Expect(time.Since(began)).To(Equal(4 * time.Second))
		s.Expect(s.store.SetRefusing(true)).To(Succeed())
		_, _, err = s.Swap(s.ctx, purpose, "/a", 0, []byte("2"))
		s.Expect(kindOf(err)).To(Equal(keeper.KindNotDone))
		s.Expect(kindOf(s.KeepAlive(s.ctx, purpose, 1))).To(Equal(keeper.KindUnknown))
		s.Expect(s.store.SetRefusing(false)).To(Succeed())
		s.store.SetFaults(faker.StoreFaults{})
		s.Expect(s.get("/a").Version).To(BeZero())
	})
}

func TestLeasedValueIsDeletedWhenLeaseExpires(t *testing.T) {
	withStore(t, nil, func(s *testStore) {
		lease, err := s.Grant(s.ctx, purpose, 3*time.Second)
		s.Expect(err).NotTo(HaveOccurred())
		_, written, err := s.SwapLeased(s.ctx, purpose, "/vm", 0, []byte("here"), lease)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(written).To(BeTrue())
		time.Sleep(2 * time.Second)
		s.Expect(s.KeepAlive(s.ctx, purpose, lease)).To(Succeed())
		time.Sleep(2 * time.Second)
		s.Expect(s.get("/vm").Version).NotTo(BeZero())
		time.Sleep(2 * time.Second)
		s.Expect(s.get("/vm").Version).To(BeZero())
		s.Expect(kindOf(s.KeepAlive(s.ctx, purpose, lease))).To(Equal(keeper.KindNotDone))
		_, _, err = s.SwapLeased(s.ctx, purpose, "/vm", 0, []byte("back"), lease)
		s.Expect(kindOf(err)).To(Equal(keeper.KindNotDone))
	})
}

func TestWatchSendsEveryChangeAfterItsVersion(t *testing.T) {
	withStore(t, nil, func(s *testStore) {
		first, _ := s.swap("/a/1", 0, "1")
		second, _ := s.swap("/a/2", 0, "2")
		s.swap("/b", 0, "3")
		lease, err := s.Grant(s.ctx, purpose, time.Hour)
		s.Expect(err).NotTo(HaveOccurred())
		changes, err := s.Watch(s.ctx, purpose, "/a/", first.Version)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(<-changes).To(Equal(second))
		leased, _, err := s.SwapLeased(s.ctx, purpose, "/a/3", 0, []byte("4"), lease)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(<-changes).To(Equal(leased))
		s.store.ExpireLeases()
		gone := <-changes
		s.Expect(gone.Key).To(Equal("/a/3"))
		s.Expect(gone.Value).To(BeNil())
		s.Expect(gone.Version).To(BeNumerically(">", leased.Version))
		s.store.BreakWatches()
		_, open := <-changes
		s.Expect(open).To(BeFalse())
	})
}

func TestWatchAfterCompactionSendsCurrentValues(t *testing.T) {
	withStore(t, nil, func(s *testStore) {
		first, _ := s.swap("/a", 0, "1")
		second, _ := s.swap("/a", first.Version, "2")
		s.store.Compact()
		changes, err := s.Watch(s.ctx, purpose, "/", 0)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(<-changes).To(Equal(second))
		third, _ := s.swap("/a", second.Version, "3")
		s.Expect(<-changes).To(Equal(third))
		began := time.Now()
		_, open := <-changes
		s.Expect(open).To(BeFalse())
		s.Expect(time.Since(began)).To(Equal(keeper.DefaultMaxWatchDuration))
	})
}

func TestCallsAreRateLimitedAndCounted(t *testing.T) {
	small := func(cfg *keeper.Settings) {
		cfg.Shares[purpose] = keeper.Share{ReadsPerSecond: 10, ReadBurst: 2, WritesPerSecond: 1, WriteBurst: 1}
	}
	withStore(t, small, func(s *testStore) {
		began := time.Now()
		for range 4 {
			s.get("/a")
		}
		s.Expect(time.Since(began)).To(Equal(200 * time.Millisecond))
		s.swap("/a", 0, "1")
		_, _, err := s.Swap(s.ctx, purpose, "/a", 0, []byte("2"))
		s.Expect(kindOf(err)).To(Equal(keeper.KindNotDone))
		s.Expect(errors.Is(err, keeper.ErrRateExceeded)).To(BeTrue())
		_, err = s.Get(s.ctx, keeper.PurposeFence, "/a")
		s.Expect(errors.Is(err, keeper.ErrRateExceeded)).To(BeTrue())
		s.Expect(time.Since(began)).To(Equal(200 * time.Millisecond))
		_, err = s.Watch(s.ctx, purpose, "/", 0)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(s.store.Calls()).To(Equal(6))
		s.Expect(s.gather()).To(Equal(map[string]float64{
			"figtrack_store_calls_total Range Configuration":      4,
			"figtrack_store_calls_total Swap Configuration":       1,
			"figtrack_store_calls_total Watch Configuration":      1,
			"figtrack_store_failures_total NotDone Configuration": 1,
			"figtrack_store_failures_total NotDone Fence":         1,
			"figtrack_store_watches Configuration":                1,
		}))
	})
}

// gather returns the values of all metrics by name and labels.
func (s *testStore) gather() map[string]float64 {
	registry := prometheus.NewRegistry()
	s.Expect(registry.Register(s.metrics)).To(Succeed())
	families, err := registry.Gather()
	s.Expect(err).NotTo(HaveOccurred())
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.Metric {
			name := family.GetName()
			for _, label := range metric.Label {
				name += " " + label.GetValue()
			}
			values[name] = metric.Counter.GetValue() + metric.Gauge.GetValue()
		}
	}
	return values
}
