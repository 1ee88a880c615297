// Package server assembles and runs the components of one entry VM: the
// listener for callers, the router, and the messaging with other VMs.
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
	"github.com/figtrack/figtrack/reaper"
	"github.com/figtrack/figtrack/reclaimer"
	"github.com/figtrack/figtrack/recorder"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/relayer"
	"github.com/figtrack/figtrack/syncer"
	"github.com/figtrack/figtrack/verifier"
)

// Messenger carries messages between VMs.
type Messenger interface {
	messenger.Sender
	Start(handler messenger.Handler, peers []messenger.Peer) error
	Close() error
}

// Dependencies holds the dependencies of a Server. All but Messenger and
// Operators are required.
type Dependencies struct {
	Settings    parser.Settings
	Incarnation identifier.Incarnation
	Keyring     *certifier.Keyring
	Store       keeper.Store
	// StoreMetrics counts the calls to Store.
	StoreMetrics prometheus.Collector
	Callers      net.Listener
	VMs          net.PacketConn
	// Operators is nil if the settings disable the operators' listener.
	Operators net.Listener
	// Memory holds the log lines of recent requests, for the explain command.
	Memory *explainer.RequestLog
	// Messenger replaces the default messenger, which uses QUIC over VMs with
	// the certificate in Keyring. It may be nil.
	Messenger Messenger
	// Dial opens connections to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  zerolog.Logger
}

// Server is an entry VM: it accepts callers' requests and routes them to the
// upstreams.
type Server struct {
	Dependencies
	self        registrar.VM
	messenger   Messenger
	registrar   *registrar.Registrar
	dispatcher  *dispatcher.Dispatcher
	relayer     *relayer.Relayer
	reclaimer   *reclaimer.Shell
	quarantiner *quarantiner.Shell
	deduper     *deduper.Shell
	orders      *orderer.Shell
	// draining maps each runner that is drained before an order of the orderer, and
	// so gets no new work, to the time when its drain began.
	draining       sync.Map
	poller         *poller.Poller
	claims         *claimer.Shell
	membership     *prober.Shell
	health         *health
	sync           *syncer.Shell
	operators      *operator.Listener
	drainOnce      sync.Once
	drainRequested chan struct{}
	pendingSubmits pendingSubmits
	listener       *listener.Listener
	metrics        *prometheus.Registry
	refusals       reaper.Metrics
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup

	mu sync.Mutex
	// configuration is the one in force. Its revision never decreases.
	configuration Configuration
	live          []registrar.VM
	stopping      bool
}

// New returns a server that has not been started.
func New(n Dependencies) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Dependencies: n,
		self:         registrar.VM{ID: n.Settings.VM, DataCentre: n.Settings.DataCentre},
		metrics:      prometheus.NewRegistry(),
		refusals:     reaper.NewMetrics(),
		ctx:          ctx,
		cancel:       cancel,

		drainRequested: make(chan struct{}),
	}
	keepAlive := n.newTransport(false)
	s.initFleet(keepAlive)
	s.initRequests()
	s.registerMetrics()
	s.initCallers()
	return s
}

// initFleet creates the components that deal with other VMs, upstreams and the
// configuration.
func (s *Server) initFleet(keepAlive *http.Transport) {
	engines := &http.Client{Transport: keepAlive}
	s.registrar = registrar.New(func(u registrar.Upstream) driver.Engine {
		return driver.NewHTTP(u.ID, "http://"+u.Address, engines)
	})
	s.messenger = s.Messenger
	if s.messenger == nil {
		s.messenger = messenger.New(s.self.ID, s.Settings.Deployment, s.Incarnation, s.Keyring, s.VMs, s.Log)
	}
	s.dispatcher = dispatcher.New(s.self.ID, s.messenger, s.newCore, uint64(s.Incarnation), s.Log)
	s.membership = s.newMembership()
	s.health = newHealth(s)
	s.poller = poller.New(s.registrar, s.dispatcher, s.health, s.Log)
	s.sync = s.newSync()
	s.orders = s.newOrders()
	s.operators = operator.New(s, s.Keyring, s.refusals.For(reaper.ListenerOperators))
}

// initRequests creates the components that handle requests in flight.
func (s *Server) initRequests() {
	self := reclaimer.Start{VM: s.self.ID, Incarnation: s.Incarnation}
	s.reclaimer = reclaimer.NewShell(self, s.engine, s.messenger, s.Log)
	s.quarantiner = quarantiner.NewShell(s.self.ID, s.prober, s.guardOf, s.liveVMIDs, s.messenger, s.Log)
	s.claims = claimer.NewShell(s.self.ID, s.Incarnation, s.Store, s.messenger, s.claimLeaders)
	s.relayer = relayer.New(
		s.self.ID, s.self.DataCentre, s.Incarnation,
		s.dispatcher, s.registrar, s.reclaimer, quarantine{s.quarantiner, s.ctx}, s.health,
		recorder.New(s, s.metrics, s.Log), s.Log,
	)
	s.deduper = deduper.NewShell(deduper.Start(self), s.relayer, s.engine, s.reclaimer, s.messenger)
}

// initCallers creates the callers' listener and the forwarder for plain
// services.
func (s *Server) initCallers() {
	callers := s.Settings.Callers
	services := forwarder.New(s.registrar, s.claims, quarantine{s.quarantiner, s.ctx}, s.health, s.newTransport(true), callers.MaxBodyBytes, callers.RequestTimeout, s.Log)
	metrics := promhttp.HandlerFor(s.metrics, promhttp.HandlerOpts{})
	s.listener = listener.New(callers, s.deduper, s, services, s, metrics, s.refusals.For(reaper.ListenerCallers), s.Log)
}

const (
	// maxIdleConnsPerUpstream bounds the idle connections kept to one upstream.
	maxIdleConnsPerUpstream = 64
	// idleConnTimeout is how long an idle connection to an upstream is kept.
	idleConnTimeout = 90 * time.Second
	// maxHeadBytes bounds the head of an upstream's answer: a faulty upstream may
	// send bytes without end.
	maxHeadBytes = 64 << 10
)

func (n Dependencies) newTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         verifier.Dial(n.Dial),
		DisableKeepAlives:   disableKeepAlives,
		MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
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

// Start starts all components and serves VMs, callers and operators until Stop
// or Kill.
func (s *Server) Start() error {
	if err := s.messenger.Start(s.handleMessage, s.peers()); err != nil {
		return err
	}
	s.wg.Go(func() { s.dispatcher.Run(s.ctx.Done()) })
	s.wg.Go(func() { s.membership.Run(s.ctx) })
	s.wg.Go(s.health.run)
	s.wg.Go(func() { s.sync.Run(s.ctx) })
	s.wg.Go(func() { s.orders.Run(s.ctx) })
	s.wg.Go(func() { s.quarantiner.Run(s.ctx) })
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

// notReadyWarnInterval is the interval between warnings that the VM is not ready.
const notReadyWarnInterval = 5 * time.Second

// warnNotReady periodically logs why the VM is not ready, until it is.
func (s *Server) warnNotReady() {
	ticker := time.NewTicker(notReadyWarnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		reason := s.NotReadyReason()
		if reason == "" {
			return
		}
		s.Log.Warn().Str("Reason", reason).Msg("NotReady")
	}
}

// Metrics returns the gatherer of the VM's metrics.
func (s *Server) Metrics() prometheus.Gatherer { return s.metrics }

// NotReadyReason implements listener.Readiness. It returns why the VM is not
// ready, or an empty string if it is.
func (s *Server) NotReadyReason() string {
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

// claimLeaders returns the VMs that should lead a shard of claims, best first.
func (s *Server) claimLeaders(shard claimer.Shard) []identifier.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return claimer.Leaders(shard, vmIDs(s.live), claimer.MaxLeaders)
}
