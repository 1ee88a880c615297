package launcher

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/limiter"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/platform"
	"github.com/figtrack/figtrack/reaper"
)

// maxControlHeaderBytes bounds the header of a request for readiness or metrics.
const maxControlHeaderBytes = 16 << 10

// bounds are the bounds on what the clients of a VM cost it.
type bounds struct {
	limiter.Bounds
	// heads is shared by all listeners. Ordinary heads take nothing of it, so the readiness
	// check is answered while callers have used it up.
	heads    *limiter.Quota
	refusals reaper.Metrics
}

func newBounds(cfg parser.Settings) bounds {
	all := limiter.Derive(limiter.Bytes(cfg.Platform.MemoryMB)*limiter.Megabyte, limiter.Descriptors()).
		WithSettings(limiter.Bytes(cfg.Callers.HeaderMemoryMB)*limiter.Megabyte, cfg.Callers.MaxConnections)
	return bounds{Bounds: all, heads: limiter.NewQuota(all.Heads), refusals: reaper.NewMetrics()}
}

func (b bounds) callers() platform.Bounds {
	return platform.Bounds{Heads: b.heads, Conns: b.Callers, Counter: b.refusals.For(reaper.ListenerCallers)}
}

// listen serves the readiness check or the metrics, and returns the address.
func (vm *VM) listen(ctx context.Context, name reaper.Listener, address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "Platform.%s can't be used; is another program on this port?", name)
	}
	r := reaper.New(reaper.Settings{
		HeaderTimeout: vm.cfg.Callers.HeaderTimeout,
		IdleTimeout:   func() time.Duration { return 0 },
		Heads:         reaper.HeadBounds{Quota: vm.bounds.heads, MaxBytes: func() int { return maxControlHeaderBytes }},
		MaxConns:      vm.bounds.Control,
		Counter:       vm.bounds.refusals.For(name),
	})
	s := &http.Server{Handler: h}
	r.Attach(s)
	go vm.serve(s, r.Listener(l))
	context.AfterFunc(ctx, func() { s.Close() })
	return l.Addr().String(), nil
}
