// Package launcher runs the duties of one VM on the users' platform: the
// callers' listener, the readiness check, the metrics, the view of the store
// and a stop that cuts off nothing.
package launcher

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/budgeter"
	"github.com/figtrack/figtrack/drainer"
	"github.com/figtrack/figtrack/enroller"
	"github.com/figtrack/figtrack/follower"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/platform"
	"github.com/figtrack/figtrack/router"
	"github.com/figtrack/figtrack/tracker"
)

const (
	// memoryShare is the part of the process's memory at which the runtime
	// collects garbage harder; the rest is for stacks and sockets.
	memoryShare = 0.6
	// bodyShare is the part of it that callers' bodies may take.
	bodyShare = 0.2
	// wakeEvery is the pace at which time passes in the view.
	wakeEvery = 250 * time.Millisecond
	// reloadEvery is the pace at which the settings file is compared.
	reloadEvery = 2 * time.Second
	// exitMargin is how long before the end of the grace the process is gone.
	exitMargin = 300 * time.Millisecond
	// lastTaken is the time after SIGTERM until which the platform excuses a
	// long answer that the end of the grace cuts off.
	lastTaken = 3 * time.Second
	// watchMargin is what is left of the contact time for a new call when a
	// wait for the store got no answer.
	watchMargin = time.Second
	// firstViewLimit is how long first callers wait at a VM that knows nothing
	// yet: a third of the least time that callers have, after which they go away.
	firstViewLimit = 300 * time.Millisecond
	// firstViewStep is the pace at which the first view is looked for; the store
	// answers in 4 ms.
	firstViewStep = 5 * time.Millisecond
	megabyte      = 1 << 20
)

// VM is one process.
type VM struct {
	path string
	cfg  parser.Settings
	log  zerolog.Logger
	// limiter bounds the lines of log.
	limiter *Limiter

	registry *prometheus.Registry
	fleet    *router.Fleet
	router   *router.Router
	callers  *http.Server
	shell    *follower.Shell
	enrol    *enroller.Shell
	orders   *router.Orders
	drain    *drainer.Core
	// isLeaving makes the readiness check fail.
	isLeaving atomic.Bool
}

// New joins the duties of a VM whose settings were read from path.
func New(path string, cfg parser.Settings, log zerolog.Logger, limiter *Limiter) (*VM, error) {
	p := cfg.Platform
	vm := &VM{path: path, cfg: cfg, log: log, limiter: limiter, registry: prometheus.NewRegistry()}
	dial := platform.NewDial()
	storeMetrics := keeper.NewMetrics()
	vm.registry.MustRegister(storeMetrics)
	metrics := router.NewMetrics(vm.registry)
	store := platform.NewStore(strings.TrimPrefix(cfg.Store.Endpoints[0], "http://"), dial, storeMetrics)
	runners := platform.NewRunners(dial)
	budget := budgeter.New(budgeter.Settings{Ratio: p.RetryRatio, Window: p.RetryWindow, Allowance: p.RetrySlack}, assumedVMs)
	view := tracker.New(cfg.DataCentre, uint64(time.Now().UnixNano()))
	vm.fleet = router.NewFleet(platform.Reader{}, runners, view, budget, metrics, log)
	vm.registry.MustRegister(vm.fleet.Gauges()...)
	vm.registry.MustRegister(limiter)
	vm.router = router.New(vm.fleet, runners, metrics, log)
	bodies := int64(float64(p.MemoryMB) * bodyShare * megabyte)
	vm.callers = platform.NewServer(platform.NewIngress(vm.router, bodies, log), vm.router, cfg.Callers.MaxHeaderBytes, cfg.Callers.HeaderTimeout)
	vm.shell = follower.NewShell(store, keeper.PurposeConfiguration, "", p.Contact-watchMargin, vm.fleet)
	start := identifier.Incarnation(time.Now().UnixMilli())
	vm.orders = router.NewOrders(vm.fleet, runners, store, cfg.VM, start, log)
	entry, err := router.RosterValue(cfg.VM, cfg.DataCentre, start)
	if err != nil {
		return nil, errors.Wrap(err, "make the roster's entry")
	}
	vm.enrol = enroller.NewShell(store, router.RosterKey(cfg.VM), entry, log)
	vm.fleet.WatchOwn(router.RosterKey(cfg.VM), vm.enrol.Removed)
	vm.drain = drainer.New(drainer.Settings{Notice: Notice(cfg.Drain.Notice), Limit: cfg.Drain.Limit - exitMargin})
	return vm, nil
}

// Notice returns how long a stopping VM takes requests: as set, but no longer
// than what it takes last may be cut off, with the pace of the loop as a margin.
func Notice(set time.Duration) time.Duration { return min(set, lastTaken-2*wakeEvery) }

// assumedVMs is the fleet's size until it is known; the largest stated fleet
// has fewer, so that the allowance is never overspent.
const assumedVMs = 400

// Run serves until a signal ends the VM. It returns the number of answers that
// it had to cut off.
func (vm *VM) Run(signals <-chan os.Signal) (cut int, err error) {
	debug.SetMemoryLimit(int64(float64(vm.cfg.Platform.MemoryMB) * memoryShare * megabyte))
	stdlog.SetOutput(vm.log)
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
	go vm.shell.Run(ctx)
	go vm.enrol.Run(ctx)
	go vm.orders.Run(ctx)
	go vm.serveCallers(ctx, platform.Listener{Listener: callers})
	vm.log.Info().Str("Callers", callers.Addr().String()).Str("Ready", ready).Str("Metrics", metrics).Msg("Started")
	cut = vm.loop(signals)
	vm.log.Info().Int("Cut", cut).Msg("Stopped")
	return cut, nil
}

// serveControl opens the readiness check and the metrics, and returns their
// addresses; that of the metrics is empty where they are closed.
func (vm *VM) serveControl(ctx context.Context) (ready, metrics string, err error) {
	check := echo.New()
	check.GET(platform.PathReady, func(c *echo.Context) error {
		if vm.isLeaving.Load() || !vm.fleet.IsReady() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	if ready, err = vm.listen(ctx, "Platform.Ready", vm.cfg.Platform.Ready, check); err != nil {
		return "", "", err
	}
	if vm.cfg.Platform.Metrics == "" {
		return ready, "", nil
	}
	page := echo.New()
	page.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(vm.registry, promhttp.HandlerOpts{})))
	metrics, err = vm.listen(ctx, "Platform.Metrics", vm.cfg.Platform.Metrics, page)
	return ready, metrics, err
}

func (vm *VM) listen(ctx context.Context, setting, address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, setting+" can't be used; is another program on this port?")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: vm.cfg.Callers.HeaderTimeout}
	go vm.serve(s, l)
	context.AfterFunc(ctx, func() { s.Close() })
	return l.Addr().String(), nil
}

// serve serves until the process ends. A listener that fails sooner leaves the
// VM without callers, or the balancer without answers, which takes it out.
// serveCallers takes the connections that wait at an open port once the first
// view is there, as their requests would be refused before.
func (vm *VM) serveCallers(ctx context.Context, l net.Listener) {
	for until := time.Now().Add(firstViewLimit); !vm.fleet.IsReady() && time.Now().Before(until); {
		looper.Sleep(ctx, firstViewStep)
	}
	vm.serve(vm.callers, l)
}

func (vm *VM) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		vm.log.Error().Str("Address", l.Addr().String()).AnErr("Error", err).Msg("ListenerFailed")
	}
}

// loop handles signals and time until the VM is to exit.
func (vm *VM) loop(signals <-chan os.Signal) (cut int) {
	wake := time.NewTicker(wakeEvery)
	defer wake.Stop()
	reload := time.NewTicker(reloadEvery)
	defer reload.Stop()
	for {
		var events []drainer.Event
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				vm.reload()
				continue
			}
			vm.log.Info().Str("Signal", s.String()).Int("InFlight", vm.router.InFlight()).Msg("Stopping")
			events = append(events, drainer.Signalled{})
		case <-wake.C:
			vm.fleet.Wake()
			vm.limiter.Report(vm.log)
			if vm.isLeaving.Load() {
				events = append(events, drainer.WorkChanged{Work: drainer.Work{Streams: vm.router.InFlight()}}, drainer.Wake{})
			}
		case <-reload.C:
			vm.reload()
		}
		for _, e := range events {
			if exit, ok := vm.perform(vm.drain.Step(time.Now(), e)); ok {
				return exit.Cut
			}
		}
	}
}

// perform does what the drainer decided; there is nothing to tell to peers.
func (vm *VM) perform(outcomes []drainer.Outcome) (drainer.Exit, bool) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case drainer.FailReadiness:
			vm.isLeaving.Store(true)
			vm.callers.SetKeepAlivesEnabled(false)
		case drainer.RefuseNew:
			vm.router.Close()
			vm.log.Info().Int("InFlight", vm.router.InFlight()).Msg("RefusingNew")
		case drainer.CutStreams:
			vm.log.Warn().Int("Count", o.Count).Msg("StreamsCut")
			return drainer.Exit{Cut: o.Count}, true // The platform kills the process soon after.
		case drainer.Exit:
			return o, true
		}
	}
	return drainer.Exit{}, false
}

// reload reads the settings again. Those that can change while the VM runs are
// taken over; a file that can't be used leaves the former ones in force.
func (vm *VM) reload() {
	cfg, err := parser.Load(vm.path)
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

// Metrics returns the VM's registry.
func (vm *VM) Metrics() *prometheus.Registry { return vm.registry }
