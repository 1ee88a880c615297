package server

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/registrar"
)

// quarantine implements relayer.Quarantine and forwarder.Quarantine. Its probes are cancelled when the
// server stops.
type quarantine struct {
	*quarantiner.Shell
	ctx context.Context
}

// ConnectionLost implements relayer.Quarantine and forwarder.Quarantine.
func (q quarantine) ConnectionLost(u identifier.Upstream) { q.Shell.ReportConnectionLost(q.ctx, u) }

// prober returns what asks an upstream whether its process still runs.
func (s *Server) prober(u identifier.Upstream) (quarantiner.Prober, bool) {
	if engine, ok := s.engine(u); ok {
		return engine, true
	}
	upstream, ok := s.registrar.Catalog().Upstream(u)
	return serviceProber{upstream, s.Dial}, ok
}

// serviceProber asks an instance of a plain service, which reports no incarnation.
type serviceProber struct {
	registrar.Upstream
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Load implements quarantiner.Prober. A process that accepts a connection runs.
func (p serviceProber) Load(ctx context.Context) (driver.Load, error) {
	conn, err := p.dial(ctx, "tcp", p.Address)
	switch {
	case err == nil:
		conn.Close()
		return driver.Load{}, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return driver.Load{}, &driver.Error{Kind: driver.KindNotRun, Upstream: p.ID, Err: err}
	default:
		return driver.Load{}, &driver.Error{Kind: driver.KindUnknown, Upstream: p.ID, Err: err}
	}
}

// guardOf returns the VM that guards an upstream: the owner of its shard, or
// this VM if no shard has the upstream.
func (s *Server) guardOf(u identifier.Upstream) identifier.VM {
	live := s.LiveVMs()
	for _, shard := range s.registrar.Catalog().Shards() {
		for _, member := range shard.Upstreams {
			if member.ID == u {
				return shard.Owner(live)
			}
		}
	}
	return s.self.ID
}

func (s *Server) liveVMIDs() []identifier.VM { return vmIDs(s.LiveVMs()) }
