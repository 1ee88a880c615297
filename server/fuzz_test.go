package server_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/messenger"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/piper"
	"github.com/figtrack/figtrack/server"
	"github.com/figtrack/figtrack/wire"
)

// silentMessenger keeps the handler of a VM that nobody answers.
type silentMessenger struct{ handler messenger.Handler }

func (*silentMessenger) Send(identifier.VM, *wire.Envelope) bool { return true }

func (*silentMessenger) Call(context.Context, identifier.VM, *wire.Envelope) (*wire.Envelope, error) {
	return nil, errors.New("no answer")
}

func (m *silentMessenger) Start(h messenger.Handler, _ []messenger.Peer) error {
	m.handler = h
	return nil
}

func (*silentMessenger) Close() error { return nil }

// FuzzMessage gives arbitrary messages of another VM to one VM that runs throughout. It guards
// against a message that ends the process, also later and in another goroutine.
func FuzzMessage(f *testing.F) {
	for _, e := range []*wire.Envelope{
		{Body: &wire.Envelope_Placement{Placement: &wire.Placement{}}},
		{Body: &wire.Envelope_Membership{Membership: &wire.Membership{}}},
		{Body: &wire.Envelope_RequestState{RequestState: &wire.RequestState{Body: &wire.RequestState_GuardAsk{}}}},
		{Body: &wire.Envelope_RequestState{RequestState: &wire.RequestState{Body: &wire.RequestState_VouchAsk{}}}},
		{Body: &wire.Envelope_Configuration{Configuration: &wire.Configuration{}}},
		{Body: &wire.Envelope_Inquiry{Inquiry: &wire.Inquiry{}}},
		{Body: &wire.Envelope_Claim{Claim: &wire.Claim{}}},
	} {
		message, err := proto.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
	}
	var network piper.Network
	callers, err := network.Listen("")
	if err != nil {
		f.Fatal(err)
	}
	links := &silentMessenger{}
	cfg := parser.Default()
	cfg.Deployment, cfg.VM, cfg.DataCentre = "himal", vmName(0), "thamel-room"
	metrics := keeper.NewMetrics()
	vm := server.New(server.Dependencies{
		Settings: cfg, Incarnation: 1, Callers: callers, VMs: socket(cfg.VM), Messenger: links, Dial: network.Dial,
		Store: keeper.New(keeper.Settings{Endpoints: []string{"http://10.9.9.9:1"}, Client: network.Client()}, metrics), StoreMetrics: metrics,
		Memory: explainer.New(), Log: zerolog.Nop(),
	})
	if err := vm.Start(); err != nil {
		f.Fatal(err)
	}
	f.Cleanup(vm.Kill)
	f.Fuzz(func(t *testing.T, message []byte) {
		e := &wire.Envelope{}
		if proto.Unmarshal(message, e) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		if answer := links.handler(ctx, vmName(1), e); answer != nil {
			if _, err := proto.Marshal(answer); err != nil {
				t.Fatalf("the answer can't be sent: %v", err)
			}
		}
	})
}
