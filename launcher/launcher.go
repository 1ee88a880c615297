// Package launcher assembles and runs the components of one VM on the users'
// platform: the callers' listener, the readiness check, the metrics, the watch
// of the store, and a graceful shutdown.
package launcher

import (
	"context"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/budgeter"
	"github.com/figtrack/figtrack/drainer"
	"github.com/figtrack/figtrack/enroller"
	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/follower"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/platform"
	"github.com/figtrack/figtrack/reaper"
	"github.com/figtrack/figtrack/router"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/versioner"
)

const (
	// memoryLimitRatio is the ratio of the process's memory that is set as the
	// runtime's soft memory limit, above which it collects garbage more often.
	// The rest is for stacks and sockets.
	memoryLimitRatio = 0.6
	// bodyMemoryRatio is the ratio of the process's memory that callers' request
	// bodies may use.
	bodyMemoryRatio = 0.2
	// wakeInterval is the interval at which the fleet and the drainer handle what
	// has become due.
	wakeInterval = 250 * time.Millisecond
	// reloadInterval is the interval at which the settings file is read again.
	reloadInterval = 2 * time.Second
	// exitMargin is how long before the end of the platform's grace period the
	// process exits.
	exitMargin = 300 * time.Millisecond
	// excusedAcceptWindow is the time after SIGTERM within which a VM may accept
	// a request whose long answer is then cut by the end of the grace period. The
	// platform doesn't excuse the cut of a request accepted later.
	excusedAcceptWindow = 3 * time.Second
	// watchMargin is the part of the contact time that is reserved for a new call
	// after a watch of the store got no answer.
	watchMargin = time.Second
	// readSpreadShare is the part of the time until a change has to be in force over
	// which VMs spread reads that begin at the same time.
	readSpreadShare = 0.1
	// firstViewTimeout bounds how long the first callers wait for a VM that has not
	// read the store yet. It is a third of the shortest caller timeout: callers
	// give up after that timeout, and the wait must leave time to serve them.
	firstViewTimeout = 300 * time.Millisecond
	// firstViewPollInterval is the interval at which a starting VM checks whether
	// it has read the store; the store answers in 4 ms.
	firstViewPollInterval = 5 * time.Millisecond
	bytesPerMegabyte      = 1 << 20
	// finishPollInterval is the interval at which a VM that exits looks for the last
	// answers.
	finishPollInterval = 5 * time.Millisecond
)

// Names of the drainer and of the duty that reloads the settings.
const (
	coreDrainer  stepper.Core = "Drainer"
	coreSettings stepper.Core = "Settings"
)

// VM is a router process on the users' platform.
type VM struct {
	settingsPath string
	cfg          parser.Settings
	log          zerolog.Logger
	// limiter bounds the rate of log lines.
	limiter *Limiter

	registry *prometheus.Registry
	steps    *stepper.Stepper
	fleet    *router.Fleet
	router   *router.Router
	callers  *platform.Server
	bounds   bounds
	follower *follower.Shell
	enroller *enroller.Shell
	orders   *router.Orders
	// loads is the section of the exchange between VMs that shares their load.
	loads   *router.Loads
	records []*router.RecordWriter
	// drainer is nil after it has panicked, until the next step.
	drainer *drainer.Core
	// exchanger is nil if VMs.Address can't be used. self is this VM in the roster.
	exchanger *exchanger.Shell
	self      exchanger.Peer
	// stoppingSince is when the VM began to stop; zero before.
	stoppingSince time.Time
	// isLeaving is set once the VM is stopping. The readiness check then fails.
	isLeaving atomic.Bool
}

// New returns a VM that has not been started. cfg are the settings read from
// path, which is read again when they are reloaded; options are those of its stepper.
func New(path string, cfg parser.Settings, log zerolog.Logger, limiter *Limiter, options ...stepper.Option) (*VM, error) {
	p := cfg.Platform
	vm := &VM{settingsPath: path, cfg: cfg, log: log, limiter: limiter, registry: prometheus.NewRegistry()}
	dial := platform.NewDial()
	storeMetrics := keeper.NewMetrics()
	vm.registry.MustRegister(storeMetrics)
	metrics := router.NewMetrics(vm.registry)
	store := platform.NewStore(strings.TrimPrefix(cfg.Store.Endpoints[0], "http://"), dial, storeMetrics)
	runners := platform.NewRunners(dial)
	budget := budgeter.New(budgeter.Settings{Ratio: p.RetryRatio, Window: p.RetryWindow, Allowance: p.RetrySlack}, assumedFleetSize, time.Now())
	view := tracker.New(cfg.DataCentre, uint64(time.Now().UnixNano()))
	vm.steps = stepper.New(vm.registry, log, options...)
	versions := versioner.New(versioner.Settings{Lag: p.ApplyWithin / 2})
	vm.fleet = router.NewFleet(platform.EntryReader{}, runners, view, budget, versions, vm.steps, metrics, log)
	vm.registry.MustRegister(vm.fleet.Gauges()...)
	vm.registry.MustRegister(limiter)
	vm.router = router.New(vm.fleet, runners, metrics, log)
	bodies := int64(float64(p.MemoryMB) * bodyMemoryRatio * bytesPerMegabyte)
	vm.bounds = newBounds(cfg)
	vm.registry.MustRegister(vm.bounds.refusals)
	vm.callers = platform.NewServer(platform.NewIngress(vm.router, bodies, log), vm.router, cfg.Callers.MaxHeaderBytes, cfg.Callers.HeaderTimeout, vm.bounds.callers())
	vm.follower = follower.NewShell(store, keeper.PurposeConfiguration, p.Contact-watchMargin, follower.Settings{
		ApplyWithin: p.ApplyWithin,
		Contact:     p.Contact,
		Parts:       platform.Parts(),
		Spread:      rand.N(max(1, time.Duration(readSpreadShare*float64(p.ApplyWithin)))),
	}, vm.fleet, vm.steps)
	vm.loads = router.NewLoads(vm.fleet, p.SharesLoadFrom())
	start := identifier.Incarnation(time.Now().UnixMilli())
	vm.orders = router.NewOrders(vm.fleet, runners, store, cfg.VM, start, log)
	vm.records = router.NewRecordWriters(vm.fleet, store, cfg.VM, log)
	vm.openExchange(start)
	entry, err := router.RosterValue(vm.self, cfg.DataCentre)
	if err != nil {
		return nil, errors.Wrap(err, "encode the roster entry")
	}
	vm.enroller = enroller.NewShell(store, router.RosterKey(cfg.VM), entry, vm.steps, log)
	vm.fleet.SetEnrolment(router.RosterKey(cfg.VM), vm.enroller)
	return vm, nil
}

// NoticePeriod returns how long a stopping VM accepts requests: the set time,
// but at most excusedAcceptWindow less a margin of two periods of the loop.
func NoticePeriod(set time.Duration) time.Duration {
	return min(set, excusedAcceptWindow-2*wakeInterval)
}

// assumedFleetSize is the fleet size that the retry budget uses until the actual
// size is known. The largest specified fleet is smaller, so a VM's share of the retry
// allowance is never too large.
const assumedFleetSize = 400

// Run serves requests until a signal of stops stops the VM, and reloads the settings
// at each signal of hangups. It returns the number of answers that were cut.
func (vm *VM) Run(stops, hangups <-chan os.Signal) (cut int, err error) {
	debug.SetMemoryLimit(int64(float64(vm.cfg.Platform.MemoryMB) * memoryLimitRatio * bytesPerMegabyte))
	stdlog.SetOutput(unquotedWriter{vm.log})
	stdlog.SetFlags(0)
	callers, err := net.Listen("tcp", vm.cfg.Callers.Address)
	if err != nil {
		return 0, errors.Wrap(err, "Callers.Address can't be used; is another program on this port?")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready, metrics, err := vm.serveControl(ctx)
	if err != nil {
		return 0, err
	}
	go vm.follower.Run(ctx)
	go vm.enrol(ctx)
	go vm.orders.Run(ctx)
	for _, w := range vm.records {
		go w.Run(ctx)
	}
	if vm.exchanger != nil {
		go vm.exchanger.Run(ctx)
	}
	go vm.followSettings(ctx, hangups)
	go vm.serveCallers(ctx, callers)
	vm.log.Info().Str("DataCentre", string(vm.cfg.DataCentre)).Str("Callers", callers.Addr().String()).Str("Ready", ready).Str("Metrics", metrics).
		Int("MaxConnections", vm.bounds.Callers).Int64("HeaderMemory", int64(vm.bounds.Heads)).Msg("Started")
	cut = vm.loop(stops)
	vm.log.Info().Int("Cut", cut).Msg("Stopped")
	select {
	case <-vm.steps.Lost():
		return cut, errors.New("a core panicked and couldn't be rebuilt; see CorePanicked in the log")
	default:
		return cut, nil
	}
}

// serveControl serves the readiness check and the metrics, and returns their
// addresses. The address of the metrics is empty if they are disabled.
func (vm *VM) serveControl(ctx context.Context) (ready, metrics string, err error) {
	check := echo.New()
	check.GET(platform.PathReady, func(c *echo.Context) error {
		if vm.isLeaving.Load() || !vm.fleet.IsReady() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	if ready, err = vm.listen(ctx, reaper.ListenerReady, vm.cfg.Platform.Ready, check); err != nil {
		return "", "", err
	}
	if vm.cfg.Platform.Metrics == "" {
		return ready, "", nil
	}
	page := echo.New()
	page.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(vm.registry, promhttp.HandlerOpts{})))
	metrics, err = vm.listen(ctx, reaper.ListenerMetrics, vm.cfg.Platform.Metrics, page)
	return ready, metrics, err
}

// serveCallers accepts callers' connections once the VM has read the store, or
// firstViewTimeout has passed. Until then connections wait at the open port, as
// their requests would be refused.
func (vm *VM) serveCallers(ctx context.Context, l net.Listener) {
	for until := time.Now().Add(firstViewTimeout); !vm.fleet.IsReady() && time.Now().Before(until); {
		looper.Sleep(ctx, firstViewPollInterval)
	}
	vm.serve(vm.callers, l)
}

// serve serves connections until the process exits. If a listener fails earlier,
// the VM gets no callers, or the balancer gets no answers from the readiness
// check and takes the VM out.
func (vm *VM) serve(s interface{ Serve(l net.Listener) error }, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		vm.log.Error().Str("Address", l.Addr().String()).AnErr("Error", err).Msg("ListenerFailed")
	}
}

// loop handles signals and timers until the VM must exit. It returns the number
// of answers that were cut.
func (vm *VM) loop(stops <-chan os.Signal) (cut int) {
	wake := time.NewTicker(wakeInterval)
	defer wake.Stop()
	lost := vm.steps.Lost()
	for {
		var events []drainer.Event
		select {
		case <-lost:
			lost = nil
			events = append(events, vm.work(), drainer.Signalled{})
		case s := <-stops:
			kind := "Stopping"
			if !vm.stoppingSince.IsZero() {
				kind = "SignalIgnored"
			}
			vm.log.Info().Str("Signal", s.String()).Int("InFlight", vm.router.InFlight()).Msg(kind)
			events = append(events, vm.work(), drainer.Signalled{})
		case <-wake.C:
			vm.fleet.Wake()
			vm.limiter.Report(vm.log)
			if !vm.stoppingSince.IsZero() {
				events = append(events, vm.work(), drainer.Wake{})
			}
		}
		for _, e := range events {
			if exit, ok := vm.perform(vm.stepDrainer(e)); ok {
				return vm.finish(exit)
			}
		}
	}
}

// finish lets no further request begin and waits for the answers to those that began
// since the last look at them, until the drain's limit or for half of exitMargin. It returns
// the number of answers that are cut.
func (vm *VM) finish(exit drainer.Exit) (cut int) {
	if exit.Cut > 0 {
		return exit.Cut
	}
	vm.callers.StopReading()
	until := time.Now().Add(exitMargin / 2)
	if limit := vm.stoppingSince.Add(vm.cfg.Drain.Limit - exitMargin); limit.After(until) {
		until = limit
	}
	for vm.callers.Busy() > 0 && time.Now().Before(until) {
		time.Sleep(finishPollInterval)
	}
	return vm.callers.Busy()
}

// stepDrainer passes an event to the drainer. One that has panicked is replaced by one
// that has been stopping as long.
func (vm *VM) stepDrainer(e drainer.Event) (outcomes []drainer.Outcome) {
	if _, ok := e.(drainer.Signalled); ok && vm.stoppingSince.IsZero() {
		vm.stoppingSince = time.Now()
	}
	step := func() {
		if vm.drainer == nil {
			vm.drainer = drainer.New(drainer.Settings{Notice: NoticePeriod(vm.cfg.Drain.Notice), Limit: vm.cfg.Drain.Limit - exitMargin})
			if !vm.stoppingSince.IsZero() {
				outcomes = vm.drainer.Step(vm.stoppingSince, drainer.Signalled{})
			}
		}
		outcomes = append(outcomes, vm.drainer.Step(time.Now(), e)...)
	}
	if !vm.steps.Call(coreDrainer, e, step) {
		vm.drainer = nil
		return nil
	}
	return outcomes
}

// work returns the work that the VM must finish before it exits.
func (vm *VM) work() drainer.WorkChanged {
	return drainer.WorkChanged{Work: drainer.Work{Streams: vm.callers.Busy()}}
}

// perform carries out the outcomes of the drainer, and reports whether the VM
// must exit. It ignores drainer.TellPeers and drainer.HandOver, because VMs on
// this platform have no peers to notify.
func (vm *VM) perform(outcomes []drainer.Outcome) (drainer.Exit, bool) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case drainer.FailReadiness:
			vm.isLeaving.Store(true)
			vm.callers.Drain()
		case drainer.RefuseNew:
			vm.router.Close()
			vm.log.Info().Int("InFlight", vm.router.InFlight()).Msg("RefusingNew")
		case drainer.CutStreams:
			vm.log.Warn().Int("Count", o.Count).Msg("StreamsCut")
			return drainer.Exit{Cut: o.Count}, true // The platform kills the process shortly after.
		case drainer.Exit:
			return o, true
		}
	}
	return drainer.Exit{}, false
}

// followSettings reloads the settings at each signal and each reloadInterval until ctx
// ends. The loop doesn't, as the file may be slow to read.
func (vm *VM) followSettings(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		vm.steps.Call(coreSettings, "Reload", vm.reload)
	}
}

// reload reads the settings file again and applies the log level, the only
// setting that can change while the VM runs. If the file is invalid, the
// previous settings stay in force.
func (vm *VM) reload() {
	cfg, err := parser.Load(vm.settingsPath)
	if err != nil {
		vm.log.Warn().AnErr("Error", err).Msg("SettingsNotRead")
		return
	}
	if cfg.Log.Level == vm.cfg.Log.Level {
		return
	}
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		vm.log.Warn().AnErr("Error", err).Msg("SettingsNotRead")
		return
	}
	zerolog.SetGlobalLevel(level)
	vm.cfg.Log.Level = cfg.Log.Level
	vm.log.Info().Str("Level", cfg.Log.Level).Msg("SettingsInForce")
}

// Metrics returns the registry of the VM's metrics.
func (vm *VM) Metrics() *prometheus.Registry { return vm.registry }
