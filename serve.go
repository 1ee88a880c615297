package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/server"
	"github.com/figtrack/figtrack/signaler"
)

var serveCommand = command{
	name:        "serve",
	description: "run one entry VM",
	run:         runServe,
}

type serveOptions struct {
	Config string `long:"config" env:"FIGTRACK_CONFIG" required:"yes" value-name:"FILE" description:"settings file, see docs/SETTINGS.md"`
}

// keyReloadInterval is the interval at which keys in files are loaded again, so
// that renewed certificates take effect without a restart.
const keyReloadInterval = time.Minute

func runServe(args []string, stdout, stderr io.Writer) int {
	var o serveOptions
	if status, done := parseOptions("serve", "--config FILE", &o, args, stdout, stderr); done {
		return status
	}
	cfg, err := parser.Load(o.Config)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitUsage
	}
	if cfg.Platform != nil {
		return servePlatform(o.Config, cfg, stdout, stderr)
	}
	memory := explainer.New()
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitUsage
	}
	log := server.NewLog(stderr, memory, cfg.VM, level)
	deps, err := openDependencies(cfg, memory, log)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitFailed
	}
	return serve(deps, stderr)
}

// openDependencies opens the sockets, loads the keys and creates the store client
// that the settings describe.
func openDependencies(cfg parser.Settings, memory *explainer.RequestLog, log zerolog.Logger) (server.Dependencies, error) {
	ring, err := loadKeyring(cfg)
	if err != nil {
		return server.Dependencies{}, err
	}
	callerListener, err := net.Listen("tcp", cfg.Callers.Address)
	if err != nil {
		return server.Dependencies{}, errors.Wrap(err, "Callers.Address can't be used; is another program on this port?")
	}
	vmConn, err := net.ListenPacket("udp", cfg.VMs.Address)
	if err != nil {
		return server.Dependencies{}, errors.Wrap(err, "VMs.Address can't be used; is another program on this port?")
	}
	var operatorListener net.Listener
	if cfg.Operators.Address != "" {
		operatorListener, err = net.Listen("tcp", cfg.Operators.Address)
		if err != nil {
			return server.Dependencies{}, errors.Wrap(err, "Operators.Address can't be used; is another program on this port?")
		}
	}
	metrics := keeper.NewMetrics()
	store := keeper.New(keeper.Settings{Endpoints: cfg.Store.Endpoints, Timeout: cfg.Store.Timeout}, metrics)
	return server.Dependencies{
		Settings:     cfg,
		Incarnation:  identifier.Incarnation(time.Now().UnixMilli()),
		Keyring:      ring,
		Store:        keeper.WithPrefix(store, cfg.Store.Prefix),
		StoreMetrics: metrics,
		Callers:      callerListener,
		VMs:          vmConn,
		Operators:    operatorListener,
		Dial:         (&net.Dialer{}).DialContext,
		Memory:       memory,
		Log:          log,
	}, nil
}

// loadKeyring loads the keys and checks that the certificate was issued for the VM
// of the settings.
func loadKeyring(cfg parser.Settings) (*certifier.Keyring, error) {
	pair, authorities, err := readKeys(cfg.Keys)
	if err != nil {
		return nil, err
	}
	ring, err := certifier.NewKeyring(cfg.Deployment, pair, authorities, time.Now)
	if err != nil {
		return nil, errors.WithMessage(err, "Keys can't be used; make them with figtrack keys")
	}
	holder, err := ring.Identity()
	if err != nil {
		return nil, err
	}
	if holder.Role != certifier.RoleVM || holder.Name != string(cfg.VM) {
		return nil, errors.Errorf("Keys.Certificate is for %s %q, the settings are for VM %q", holder.Role, holder.Name, cfg.VM)
	}
	return ring, nil
}

func readKeys(k parser.Keys) (pair certifier.Pair, authorities []byte, err error) {
	for _, key := range []struct {
		source string
		value  *[]byte
	}{{k.Authorities, &authorities}, {k.Certificate, &pair.Certificate}, {k.Key, &pair.Key}} {
		if *key.value, err = parser.ReadSecret(key.source); err != nil {
			return pair, nil, err
		}
	}
	return pair, authorities, nil
}

// serve runs a VM until a signal or an operator stops it. Signals during the drain
// are logged and change nothing. The exit status is exitFailed if requests were cut
// off.
func serve(deps server.Dependencies, stderr io.Writer) int {
	stops, hangups, ignoreSignals := notifySignals()
	defer ignoreSignals()
	s := server.New(deps)
	if err := s.Start(); err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitFailed
	}
	go followKeys(deps, hangups)
	select {
	case <-stops:
	case <-s.DrainRequested():
	}
	if cutOff := s.Stop(stops); cutOff > 0 {
		return exitFailed
	}
	return exitOK
}

// maxPendingSignals is how many signals of a kind wait while the program handles one.
// Further ones are dropped.
const maxPendingSignals = 16

// notifySignals returns the signals that stop a VM and those that make it reload, and a
// function that ends the notification. They don't share a channel, as a signal that
// finds its channel full is dropped.
func notifySignals() (stops, hangups <-chan os.Signal, ignore func()) {
	stop := make(chan os.Signal, maxPendingSignals)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	return stop, signaler.Hangups(), func() {
		signal.Stop(stop)
		signaler.Reset()
	}
}

// followKeys reloads the keys on SIGHUP and every keyReloadInterval, also while the VM
// drains.
func followKeys(deps server.Dependencies, hangups <-chan os.Signal) {
	ticker := time.NewTicker(keyReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
		case <-ticker.C:
		}
		reloadKeys(deps)
	}
}

// reloadKeys loads the keys again. After an error the previous keys stay in use.
func reloadKeys(deps server.Dependencies) {
	pair, authorities, err := readKeys(deps.Settings.Keys)
	if err == nil {
		err = deps.Keyring.Load(pair, authorities)
	}
	if err != nil {
		deps.Log.Warn().Err(err).Time("Expires", deps.Keyring.ExpiresAt()).Msg("KeysNotRead")
	}
}
