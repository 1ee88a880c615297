// Package demonstrator runs a whole deployment in one process: entry VMs,
// stand-in engines, plain services and the platform's store. All listen on free
// ports of the loopback interface.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/poster"
	"github.com/figtrack/figtrack/server"
	"github.com/figtrack/figtrack/syncer"
)

const (
	deployment = "demo"
	model      = identifier.Model("kit-spec")
	enginePool = identifier.Pool("spec-desk")
	orderPool  = identifier.Pool("order-desk")
	// certificateLifetime is the lifetime of the authority and the VMs' certificates.
	certificateLifetime = time.Hour
)

// The classes of the demonstration.
const (
	specReading = identifier.Class("SpecReading")
	loadNote    = identifier.Class("LoadNote")
)

// Shape specifies the size and the classes of a fleet.
type Shape struct {
	VMs, Prefill, Decode, Services int
	DataCentres                    []identifier.DataCentre
	Classes                        []configurer.Class
	// Notice is how long a VM that stops still accepts requests.
	Notice time.Duration
}

// Himal returns the shape of the site of Himal Kath Ghar: seven VMs in three data
// centres, nine runners of spec-desk and three instances of order-desk.
func Himal() Shape {
	return Shape{
		VMs:         7,
		Prefill:     4,
		Decode:      5,
		Services:    3,
		DataCentres: []identifier.DataCentre{"thamel-room", "lalitpur-room", "bhaktapur-room"},
		Classes: []configurer.Class{
			{Name: loadNote, FirstToken: duration(380 * time.Millisecond), PerToken: duration(43 * time.Millisecond)},
			{Name: specReading, FirstToken: duration(2500 * time.Millisecond), PerToken: duration(60 * time.Millisecond), Patience: duration(20 * time.Second)},
		},
	}
}

// Fleet is a running deployment.
type Fleet struct {
	Servers  []*server.Server
	Prefill  []*faker.EngineServer
	Decode   []*faker.EngineServer
	Services []*faker.Service
	Store    *faker.Store
	// Addresses are the addresses at which the VMs listen for callers, in the
	// order of Servers.
	Addresses []string
	shape     Shape
	authority *certifier.Authority
	peers     []parser.Peer
	upstreams []configurer.Upstream
	log       io.Writer
}

// Start starts and configures a fleet. Its VMs write their decision logs to w.
func Start(shape Shape, w io.Writer) (*Fleet, error) {
	f := &Fleet{shape: shape, log: zerolog.SyncWriter(w)}
	steps := []func() error{f.startStore, f.startEngines, f.startServices, f.startVMs}
	for _, step := range steps {
		if err := step(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.configure(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startStore() error {
	store, err := faker.NewStore(faker.ListenOnLoopback)
	f.Store = store
	return errors.Wrap(err, "start the store")
}

func (f *Fleet) startEngines() error {
	for i := range f.shape.Prefill + f.shape.Decode {
		role := identifier.RolePrefill
		if i >= f.shape.Prefill {
			role = identifier.RoleDecode
		}
		cfg := faker.DefaultEngine(role)
		cfg.ID = identifier.Upstream(fmt.Sprintf("%s-%d", enginePool, i+1))
		cfg.Models = []identifier.Model{model}
		e, err := faker.NewEngineServer(cfg, faker.ListenOnLoopback, poster.NewClient())
		if err != nil {
			return errors.Wrap(err, "start an engine")
		}
		if role == identifier.RolePrefill {
			f.Prefill = append(f.Prefill, e)
		} else {
			f.Decode = append(f.Decode, e)
		}
		f.addUpstream(cfg.ID, enginePool, role, e.Address(), cfg.Pieces, cfg.Streams)
	}
	return nil
}

func (f *Fleet) startServices() error {
	for i := range f.shape.Services {
		s, err := faker.NewService(faker.ListenOnLoopback)
		if err != nil {
			return errors.Wrap(err, "start a service")
		}
		f.Services = append(f.Services, s)
		id := identifier.Upstream(fmt.Sprintf("%s-%d", orderPool, i+1))
		f.addUpstream(id, orderPool, identifier.RolePlain, s.Address(), 0, 0)
	}
	return nil
}

func (f *Fleet) addUpstream(id identifier.Upstream, pool identifier.Pool, role identifier.Role, address string, pieces identifier.Pieces, streams int) {
	f.upstreams = append(f.upstreams, configurer.Upstream{
		ID:         id,
		Pool:       pool,
		Role:       role,
		DataCentre: f.dataCentre(len(f.upstreams)),
		Address:    address,
		Pieces:     pieces,
		Streams:    streams,
	})
}

func (f *Fleet) dataCentre(i int) identifier.DataCentre {
	return f.shape.DataCentres[i%len(f.shape.DataCentres)]
}

// configureTimeout bounds the wait until all VMs apply the configuration.
const configureTimeout = 15 * time.Second

// configure submits the classes, pools and upstreams of the fleet, as an operator
// does.
func (f *Fleet) configure() error {
	ctx, cancel := context.WithTimeout(context.Background(), configureTimeout)
	defer cancel()
	if err := f.waitForMembers(ctx); err != nil {
		return err
	}
	change := configurer.Change{
		ID:         configurer.ChangeID(uuid.NewString()),
		By:         "demo",
		Operations: configurer.Plan(configurer.Document{}, configurer.Normalise(f.document())),
	}
	out := f.Servers[0].Submit(ctx, change, true)
	if out.Result != syncer.ResultAccepted || !out.Everywhere {
		return errors.Errorf("the configuration is not in force: %s, behind: %v", out.Result, out.Behind)
	}
	return nil
}

// waitForMembers waits until every VM lists all VMs as live.
func (f *Fleet) waitForMembers(ctx context.Context) error {
	for _, s := range f.Servers {
		for len(s.LiveVMs()) < len(f.Servers) {
			select {
			case <-ctx.Done():
				return errors.New("the VMs did not find each other")
			case <-time.After(settleDelay):
			}
		}
	}
	return nil
}

// document returns the configuration of the fleet.
func (f *Fleet) document() configurer.Document {
	return configurer.Document{
		Classes: f.shape.Classes,
		Pools: []configurer.Pool{
			{Name: enginePool, Models: []identifier.Model{model}, DefaultClass: loadNote},
			{Name: orderPool, Prefix: "/orders", Repeatable: []string{"GET /stock"}},
		},
		Upstreams: f.upstreams,
	}
}

func duration(d time.Duration) configurer.Duration { return configurer.Duration(d) }

func (f *Fleet) startVMs() error {
	var err error
	f.authority, err = certifier.NewAuthority(deployment, time.Now(), certificateLifetime)
	if err != nil {
		return err
	}
	sockets, peers, err := f.openSockets()
	if err != nil {
		return err
	}
	f.peers = peers
	for i, p := range peers {
		s, address, err := f.startVM(p, sockets[i], "127.0.0.1:0")
		if err != nil {
			return errors.Wrapf(err, "start %s", p.VM)
		}
		f.Servers = append(f.Servers, s)
		f.Addresses = append(f.Addresses, address)
	}
	return nil
}

// Replace stops a VM gracefully and starts it again at the same addresses. It
// returns the number of requests that the stop cut off.
func (f *Fleet) Replace(i int) (cut int, err error) {
	cut = f.Servers[i].Stop(nil)
	socket, err := net.ListenPacket("udp", f.peers[i].Address)
	if err != nil {
		return cut, errors.Wrap(err, "open the socket between VMs again")
	}
	f.Servers[i], _, err = f.startVM(f.peers[i], socket, f.Addresses[i])
	return cut, err
}

// openSockets opens the sockets between VMs before any VM starts, as each VM needs
// the ports of all others.
func (f *Fleet) openSockets() ([]net.PacketConn, []parser.Peer, error) {
	var sockets []net.PacketConn
	var peers []parser.Peer
	for i := range f.shape.VMs {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Wrap(err, "open a socket between VMs")
		}
		sockets = append(sockets, socket)
		peers = append(peers, parser.Peer{
			VM:         identifier.VM(fmt.Sprintf("vm-%d", i+1)),
			DataCentre: f.dataCentre(i),
			Address:    socket.LocalAddr().String(),
		})
	}
	return sockets, peers, nil
}

func (f *Fleet) startVM(self parser.Peer, socket net.PacketConn, address string) (*server.Server, string, error) {
	pair, err := f.authority.Issue(certifier.RoleVM, string(self.VM), time.Now(), certificateLifetime)
	if err != nil {
		return nil, "", err
	}
	ring, err := certifier.NewKeyring(deployment, pair, f.authority.Pair().Certificate, time.Now)
	if err != nil {
		return nil, "", err
	}
	callers, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Wrap(err, "listen for callers")
	}
	cfg := parser.Default()
	cfg.Deployment = deployment
	cfg.VM = self.VM
	cfg.DataCentre = self.DataCentre
	cfg.VMs.Peers = peersExcept(f.peers, self.VM)
	cfg.Prefer = admitter.PreferWastedPrefill
	cfg.Drain.Notice = f.shape.Notice
	metrics := keeper.NewMetrics()
	store := keeper.New(keeper.Settings{Endpoints: []string{f.Store.URL()}}, metrics)
	memory := explainer.New()
	s := server.New(server.Dependencies{
		Settings:     cfg,
		Incarnation:  identifier.Incarnation(time.Now().UnixMilli()),
		Keyring:      ring,
		Store:        keeper.WithPrefix(store, "/"+deployment),
		StoreMetrics: metrics,
		Callers:      callers,
		VMs:          socket,
		Dial:         (&net.Dialer{}).DialContext,
		Memory:       memory,
		Log:          server.NewLog(f.log, memory, self.VM, zerolog.InfoLevel),
	})
	return s, callers.Addr().String(), s.Start()
}

// peersExcept returns all peers but the VM itself.
func peersExcept(peers []parser.Peer, self identifier.VM) []parser.Peer {
	var out []parser.Peer
	for _, p := range peers {
		if p.VM != self {
			out = append(out, p)
		}
	}
	return out
}

// Close stops all parts of the fleet at once, without draining.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Kill()
	}
	for _, e := range append(f.Prefill, f.Decode...) {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	if f.Store != nil {
		f.Store.Close()
	}
}
