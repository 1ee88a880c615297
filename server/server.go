// Package server joins the duties of one entry VM.
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/dispatcher"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/forwarder"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/listener"
	"github.com/figtrack/figtrack/messenger"
	"github.com/figtrack/figtrack/operator"
	"github.com/figtrack/figtrack/orderer"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/poller"
	"github.com/figtrack/figtrack/prober"
	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/reclaimer"
	"github.com/figtrack/figtrack/recorder"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/relayer"
	"github.com/figtrack/figtrack/syncer"
)

// Messenger carries messages between VMs.
type Messenger interface {
	messenger.Sender
	Start(handler messenger.Handler, peers []messenger.Peer) error
	Close() error
}

// Needs are what a server is built from. All but Messenger and Operators are
// required.
type Needs struct {
	Settings    parser.Settings
	Incarnation identifier.Incarnation
	Keyring     *certifier.Keyring
	Store       keeper.Store
	// StoreMetrics counts the calls of Store.
	StoreMetrics prometheus.Collector
	Callers      net.Listener
	VMs          net.PacketConn
	// Operators is nil where the settings close the operators' side.
	Operators net.Listener
	// Memory holds what Log says of the last requests.
	Memory *explainer.Memory
	// Messenger is nil for one that speaks QUIC over VMs with Keyring.
	Messenger Messenger
	// Dial opens connections to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  zerolog.Logger
}

// Server is one entry VM.
type Server struct {
	Needs
	self       registrar.VM
	messenger  Messenger
	registrar  *registrar.Registrar
	dispatcher *dispatcher.Dispatcher
	relayer    *relayer.Relayer
	reclaimer  *reclaimer.Shell
	suspects   *quarantiner.Shell
	deduper    *deduper.Shell
	orders     *orderer.Shell
	// draining holds the runners that wait for an order without new work.
	draining   sync.Map
	poller     *poller.Poller
	claims     *claimer.Shell
	members    *prober.Shell
	health     *health
	sync       *syncer.Shell
	operators  *operator.Listener
	drainOnce  sync.Once
	drainAsked chan struct{}
	submits    submits
	listener   *listener.Listener
	metrics    *prometheus.Registry
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu sync.Mutex
	// configuration is the one in force; its revision only rises.
	configuration Configuration
	live          []registrar.VM
	stopping      bool
}

// New builds a server that does nothing yet.
func New(n Needs) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Needs:   n,
		self:    registrar.VM{ID: n.Settings.VM, DataCentre: n.Settings.DataCentre},
		metrics: prometheus.NewRegistry(),
		ctx:     ctx,
		cancel:  cancel,

		drainAsked: make(chan struct{}),
	}
	kept := n.transport(false)
	s.joinFleet(kept)
	s.joinRequests()
	s.registerMetrics()
	s.joinCallers(kept)
	return s
}

// joinFleet makes the duties that know other VMs, upstreams and the
// configuration.
func (s *Server) joinFleet(kept *http.Transport) {
	engines := &http.Client{Transport: kept}
	s.registrar = registrar.New(func(u registrar.Upstream) driver.Engine {
		return driver.NewHTTP(u.ID, "http://"+u.Address, engines)
	})
	s.messenger = s.Messenger
	if s.messenger == nil {
		s.messenger = messenger.New(s.self.ID, s.Settings.Deployment, s.Incarnation, s.Keyring, s.VMs, s.Log)
	}
	s.dispatcher = dispatcher.New(s.self.ID, s.messenger, s.newCore, uint64(s.Incarnation), s.Log)
	s.members = s.newMembers()
	s.health = newHealth(s)
	s.poller = poller.New(s.registrar, s.dispatcher, s.health, s.Log)
	s.sync = s.newSync()
	s.orders = s.newOrders()
	s.operators = operator.New(s, s.Keyring)
}

// joinRequests makes the duties that answer for requests in flight.
func (s *Server) joinRequests() {
	self := reclaimer.Start{VM: s.self.ID, Incarnation: s.Incarnation}
	s.reclaimer = reclaimer.NewShell(self, s.engine, s.messenger, s.Log)
	s.suspects = quarantiner.NewShell(s.self.ID, s.engine, s.guardOf, s.liveNames, s.messenger, s.Log)
	s.claims = claimer.NewShell(s.self.ID, s.Incarnation, s.Store, s.messenger, s.claimLeaders)
	s.relayer = relayer.New(
		s.self.ID, s.self.DataCentre, s.Incarnation,
		s.dispatcher, s.registrar, s.reclaimer, quarantine{s.suspects, s.ctx}, s.health,
		recorder.New(s, s.metrics, s.Log), s.Log,
	)
	s.deduper = deduper.NewShell(deduper.Start(self), s.relayer, s.engine, s.reclaimer, s.messenger)
}

// joinCallers makes the callers' side.
func (s *Server) joinCallers(kept *http.Transport) {
	callers := s.Settings.Callers
	transports := forwarder.Transports{Kept: kept, Fresh: s.transport(true)}
	services := forwarder.New(s.registrar, s.claims, s.health, transports, callers.MaxBodyBytes, callers.RequestTimeout, s.Log)
	metrics := promhttp.HandlerFor(s.metrics, promhttp.HandlerOpts{})
	s.listener = listener.New(callers, s.deduper, s, services, s, metrics, s.Log)
}

const (
	// idleConnections is the most idle connections to one upstream.
	idleConnections = 64
	// idleFor closes a connection to an upstream that carried nothing.
	idleFor = 90 * time.Second
)

func (n Needs) transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         n.Dial,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleFor,
		DisableCompression:  true,
	}
}

func (s *Server) engine(u identifier.Upstream) (driver.Engine, bool) {
	return s.registrar.Catalog().Engine(u)
}

func (s *Server) newCore(shard identifier.Shard, rng *rand.Rand) dispatcher.Core {
	return admitter.New(admitter.Settings{
		Shard:      shard,
		Prefer:     s.Settings.Prefer,
		DataCentre: s.Settings.DataCentre,
	}, rng)
}

// Start begins to serve VMs and callers.
func (s *Server) Start() error {
	if err := s.messenger.Start(s.handle, s.peers()); err != nil {
		return err
	}
	s.wg.Go(func() { s.dispatcher.Run(s.ctx.Done()) })
	s.wg.Go(func() { s.members.Run(s.ctx) })
	s.wg.Go(s.health.run)
	s.wg.Go(func() { s.sync.Run(s.ctx) })
	s.wg.Go(func() { s.orders.Run(s.ctx) })
	s.wg.Go(func() { s.suspects.Run(s.ctx) })
	s.wg.Go(func() { s.deduper.Loop(s.ctx) })
	s.wg.Go(func() { s.reclaimer.Run(s.ctx) })
	s.wg.Go(func() { s.claims.Run(s.ctx) })
	s.wg.Go(func() {
		if err := s.listener.Serve(s.Callers); err != nil {
			s.Log.Error().Err(err).Msg("CallersNotServed")
		}
	})
	if s.Operators != nil {
		s.wg.Go(func() {
			if err := s.operators.Serve(s.Operators); err != nil {
				s.Log.Error().Err(err).Msg("OperatorsNotServed")
			}
		})
	}
	s.wg.Go(s.warnNotReady)
	s.Log.Info().
		Str("Callers", s.Callers.Addr().String()).
		Str("VMs", s.VMs.LocalAddr().String()).
		Msg("Started")
	return nil
}

// warnEvery is the time between two warnings of a VM that gets no requests.
const warnEvery = 5 * time.Second

// warnNotReady says in the log why the VM gets no requests, until it does.
func (s *Server) warnNotReady() {
	ticker := time.NewTicker(warnEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		reason := s.Ready()
		if reason == "" {
			return
		}
		s.Log.Warn().Str("Reason", reason).Msg("NotReady")
	}
}

// Metrics returns the VM's metrics.
func (s *Server) Metrics() prometheus.Gatherer { return s.metrics }

// Ready implements listener.Readiness.
func (s *Server) Ready() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return "the VM is stopping"
	}
	if s.configuration.Revision == 0 {
		return "no configuration yet: neither the store nor another VM has given one; check Store.Endpoints, or give one with figtrack apply"
	}
	return ""
}

func (s *Server) peers() []messenger.Peer {
	var peers []messenger.Peer
	for _, p := range s.Settings.VMs.Peers {
		peers = append(peers, messenger.Peer{VM: p.VM, Address: p.Address})
	}
	return peers
}

// claimLeaders names the VMs that should lead a shard of claims.
func (s *Server) claimLeaders(shard claimer.Shard) []identifier.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return claimer.Leaders(shard, names(s.live), claimer.MaxLeaders)
}
