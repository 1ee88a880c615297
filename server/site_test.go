package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/piper"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/server"
)

const (
	testModel  = identifier.Model("timber-7b")
	quickClass = identifier.Class("QuickReplies")
	// settleTime is the time given to the VMs to discover each other and the
	// engines. It is not a multiple of any interval, so that no timer fires at
	// the same instant as a request.
	settleTime = 5*time.Second + 33*time.Millisecond
	// maxReleaseDelay bounds how long an engine may hold memory for a request
	// that has ended.
	maxReleaseDelay = time.Second
)

// site runs two VMs, two prefill engines, two decode engines and two instances
// of a plain service, all on virtual time.
type site struct {
	*WithT
	network   piper.Network
	links     *links
	client    *http.Client
	store     *faker.Store
	engines   []*faker.EngineServer
	services  []*faker.Service
	upstreams []registrar.Upstream
	servers   []*server.Server
	// uplinks are the network paths of the VMs to the upstreams.
	uplinks []*uplink
	// callers are the addresses where the VMs listen for callers.
	callers []string
	journal sessionLog
}

// runOnSite starts a site, waits until it has settled, and runs test on it.
// change may adjust the settings of each VM.
func runOnSite(t *testing.T, change func(*parser.Settings), test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{WithT: NewWithT(t), links: newLinks()}
		s.client = s.network.Client()
		s.startUpstreams()
		for i := range 2 {
			s.startVM(i, change)
		}
		for _, vm := range s.servers {
			vm.SetConfiguration(s.configuration())
		}
		defer s.close()
		time.Sleep(settleTime)
		s.journal.reset()
		test(s)
	})
}

func (s *site) close() {
	s.client.CloseIdleConnections()
	for _, vm := range s.servers {
		vm.Kill()
	}
	for _, e := range s.engines {
		e.Kill()
	}
	for _, service := range s.services {
		service.Close()
	}
	s.store.Close()
	s.links.close()
}

func (s *site) startUpstreams() {
	var err error
	s.store, err = faker.NewStore(s.network.Listen)
	s.Expect(err).NotTo(HaveOccurred())
	for i, role := range []identifier.Role{identifier.RolePrefill, identifier.RolePrefill, identifier.RoleDecode, identifier.RoleDecode} {
		cfg := faker.DefaultEngine(role)
		cfg.ID = identifier.Upstream(fmt.Sprintf("spec-desk-%d", i+1))
		e, err := faker.NewEngineServer(cfg, s.network.Listen, s.client)
		s.Expect(err).NotTo(HaveOccurred())
		s.engines = append(s.engines, e)
		s.upstreams = append(s.upstreams, registrar.Upstream{
			ID: cfg.ID, Pool: "spec-desk", Role: role, DataCentre: "thamel-room",
			Address: e.Address(), Pieces: cfg.Pieces, Streams: cfg.Streams,
		})
	}
	for i := range 2 {
		service, err := faker.NewService(s.network.Listen)
		s.Expect(err).NotTo(HaveOccurred())
		s.services = append(s.services, service)
		s.upstreams = append(s.upstreams, registrar.Upstream{
			ID: identifier.Upstream(fmt.Sprintf("order-desk-%d", i+1)), Pool: "order-desk", Role: identifier.RolePlain,
			DataCentre: "thamel-room", Address: service.Address(),
		})
	}
}

func (s *site) configuration() server.Configuration {
	return server.Configuration{
		Revision: 1,
		Classes: []admitter.Class{
			{Name: quickClass, FirstToken: 380 * time.Millisecond, PerToken: 43 * time.Millisecond, Patience: time.Second},
			{Name: "LongReading", FirstToken: 2500 * time.Millisecond, PerToken: 60 * time.Millisecond, Patience: 30 * time.Second},
		},
		Pools: []registrar.Pool{
			{ID: "spec-desk", Models: []identifier.Model{testModel}},
			{ID: "order-desk", Prefix: "/orders", Repeatable: []string{"GET /stock"}},
		},
		Upstreams:    s.upstreams,
		ModelClasses: map[identifier.Model]identifier.Class{testModel: quickClass},
	}
}

// vmName returns the ID of a VM by its index from 0.
func vmName(i int) identifier.VM { return identifier.VM(fmt.Sprintf("vm-%d", i+1)) }

func (s *site) startVM(i int, change func(*parser.Settings)) {
	callers, err := s.network.Listen("")
	s.Expect(err).NotTo(HaveOccurred())
	cfg := parser.Default()
	cfg.Deployment = "himal"
	cfg.VM = vmName(i)
	cfg.DataCentre = "thamel-room"
	cfg.VMs.Peers = []parser.Peer{{VM: vmName(1 - i), DataCentre: "thamel-room", Address: string(vmName(1 - i))}}
	cfg.Prefer = admitter.PreferWastedPrefill
	if change != nil {
		change(&cfg)
	}
	up := &uplink{network: &s.network}
	s.uplinks = append(s.uplinks, up)
	metrics := keeper.NewMetrics()
	store := keeper.New(keeper.Settings{Endpoints: []string{s.store.URL()}, Client: s.client}, metrics)
	vm := server.New(server.Dependencies{
		Settings:     cfg,
		Incarnation:  identifier.Incarnation(i + 1),
		Store:        store,
		StoreMetrics: metrics,
		Memory:       explainer.New(),
		Callers:      callers,
		VMs:          socket(cfg.VM),
		Messenger:    s.links.messenger(cfg.VM),
		Dial:         up.Dial,
		Log:          zerolog.New(&s.journal).With().Str("VM", string(cfg.VM)).Logger(),
	})
	s.Expect(vm.Start()).To(Succeed())
	s.servers = append(s.servers, vm)
	s.callers = append(s.callers, callers.Addr().String())
}

// engineHolds returns the holds of all engines that respond.
func (s *site) engineHolds() []driver.HoldState {
	var all []driver.HoldState
	for i, e := range s.engines {
		engine := driver.NewHTTP(s.upstreams[i].ID, e.URL(), s.client)
		if held, err := engine.Holds(context.Background()); err == nil {
			all = append(all, held.Holds...)
		}
	}
	return all
}

// socket returns a stub that only provides a VM's address. It sends nothing.
func socket(vm identifier.VM) net.PacketConn { return addressOnly{address: address(vm)} }

type addressOnly struct {
	net.PacketConn
	address
}

func (a addressOnly) LocalAddr() net.Addr { return a.address }

type address string

func (address) Network() string  { return "bubble" }
func (a address) String() string { return string(a) }

func (s *site) background() context.Context { return context.Background() }

func (s *site) holdCount(e *faker.EngineServer) int {
	held, err := driver.NewHTTP("any", e.URL(), s.client).Holds(context.Background())
	s.Expect(err).NotTo(HaveOccurred())
	return len(held.Holds)
}

func (s *site) runCount(path string) int {
	runs := 0
	for _, service := range s.services {
		runs += service.RunsOfPath(path)
	}
	return runs
}

func (s *site) runCountOfKey(key string) int {
	runs := 0
	for _, service := range s.services {
		runs += service.RunsWithKey(key)
	}
	return runs
}

// loseReplies makes the store lose the replies to the next n writes, which
// still take effect.
func loseReplies(n int) faker.StoreFaults { return faker.StoreFaults{LoseReplies: n} }
