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
)

var serveCommand = command{
	name:        "serve",
	description: "run one entry VM",
	run:         runServe,
}

type serveOptions struct {
	Config string `long:"config" env:"FIGTRACK_CONFIG" required:"yes" value-name:"FILE" description:"settings file, see docs/SETTINGS.md"`
}

// keysReadEvery is the pace at which keys in files are read again.
const keysReadEvery = time.Minute

func runServe(args []string, stdout, stderr io.Writer) int {
	var o serveOptions
	if status, done := parse("serve", "--config FILE", &o, args, stdout, stderr); done {
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
	needs, err := openNeeds(cfg, memory, log)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitFailed
	}
	return serve(needs, stderr)
}

// openNeeds opens the sockets of the settings and reads the keys.
func openNeeds(cfg parser.Settings, memory *explainer.Memory, log zerolog.Logger) (server.Needs, error) {
	ring, err := loadKeyring(cfg)
	if err != nil {
		return server.Needs{}, err
	}
	callers, err := net.Listen("tcp", cfg.Callers.Address)
	if err != nil {
		return server.Needs{}, errors.Wrap(err, "Callers.Address can't be used; is another program on this port?")
	}
	vms, err := net.ListenPacket("udp", cfg.VMs.Address)
	if err != nil {
		return server.Needs{}, errors.Wrap(err, "VMs.Address can't be used; is another program on this port?")
	}
	var operators net.Listener
	if cfg.Operators.Address != "" {
		operators, err = net.Listen("tcp", cfg.Operators.Address)
		if err != nil {
			return server.Needs{}, errors.Wrap(err, "Operators.Address can't be used; is another program on this port?")
		}
	}
	metrics := keeper.NewMetrics()
	store := keeper.New(keeper.Settings{Endpoints: cfg.Store.Endpoints, Timeout: cfg.Store.Timeout}, metrics)
	return server.Needs{
		Settings:     cfg,
		Incarnation:  identifier.Incarnation(time.Now().UnixMilli()),
		Keyring:      ring,
		Store:        keeper.Below(store, cfg.Store.Prefix),
		StoreMetrics: metrics,
		Callers:      callers,
		VMs:          vms,
		Operators:    operators,
		Dial:         (&net.Dialer{}).DialContext,
		Memory:       memory,
		Log:          log,
	}, nil
}

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
	for _, one := range []struct {
		source string
		to     *[]byte
	}{{k.Authorities, &authorities}, {k.Certificate, &pair.Certificate}, {k.Key, &pair.Key}} {
		if *one.to, err = parser.Secret(one.source); err != nil {
			return pair, nil, err
		}
	}
	return pair, authorities, nil
}

// serve runs a VM until a signal or an operator ends it.
func serve(needs server.Needs, stderr io.Writer) int {
	s := server.New(needs)
	if err := s.Start(); err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	await(s, needs, signals)
	again := make(chan struct{})
	go func() {
		for range signals {
			again <- struct{}{}
		}
	}()
	if cut := s.Stop(again); cut > 0 {
		return exitFailed
	}
	return exitOK
}

// await returns when the VM is to stop. SIGHUP and time make it read its keys
// again.
func await(s *server.Server, needs server.Needs, signals <-chan os.Signal) {
	ticker := time.NewTicker(keysReadEvery)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			rereadKeys(needs)
		case <-ticker.C:
			rereadKeys(needs)
		case <-s.DrainAsked():
			return
		}
	}
}

func rereadKeys(needs server.Needs) {
	pair, authorities, err := readKeys(needs.Settings.Keys)
	if err == nil {
		err = needs.Keyring.Load(pair, authorities)
	}
	if err != nil {
		needs.Log.Warn().Err(err).Time("Expires", needs.Keyring.Expires()).Msg("KeysNotRead")
	}
}
