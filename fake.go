package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/poster"
)

var fakeCommand = command{
	name:        "fake",
	description: "run a stand-in of an engine, a plain service or the store, for trials",
	run:         runFake,
}

type fakeOptions struct {
	Address string   `long:"address" default:"127.0.0.1:0" value-name:"IP:PORT" description:"where to listen; port 0 takes a free one"`
	Models  []string `long:"model" description:"model that an engine serves from the start; may be repeated"`
	ID      string   `long:"id" default:"stand-in" description:"name of an engine"`
	Args    struct {
		Kind string `positional-arg-name:"KIND" description:"store, prefill, decode or service" required:"yes"`
	} `positional-args:"yes"`
}

// fakeServer is a running stand-in of an engine, a plain service or the store.
type fakeServer interface {
	Address() string
	Close()
}

func runFake(args []string, stdout, stderr io.Writer) int {
	var o fakeOptions
	if status, done := parseOptions("fake", "store|prefill|decode|service [--address IP:PORT]", &o, args, stdout, stderr); done {
		return status
	}
	server, err := startFake(o)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack fake: %v\n", err)
		return exitUsage
	}
	defer server.Close()
	fmt.Fprintln(stdout, server.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return exitOK
}

func startFake(o fakeOptions) (fakeServer, error) {
	listen := faker.ListenAt(o.Address)
	switch o.Args.Kind {
	case "store":
		return faker.NewStore(listen)
	case "service":
		return faker.NewService(listen)
	case "prefill":
		return startFakeEngine(o, identifier.RolePrefill, listen)
	case "decode":
		return startFakeEngine(o, identifier.RoleDecode, listen)
	default:
		return nil, errors.Errorf("kind %q is unknown; allowed: store, prefill, decode, service", o.Args.Kind)
	}
}

func startFakeEngine(o fakeOptions, role identifier.Role, listen faker.Listen) (fakeServer, error) {
	cfg := faker.DefaultEngine(role)
	cfg.ID = identifier.Upstream(o.ID)
	for _, m := range o.Models {
		cfg.Models = append(cfg.Models, identifier.Model(m))
	}
	return faker.NewEngineServer(cfg, listen, poster.NewClient())
}
