package server_test

import (
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/recorder"
	"github.com/figtrack/figtrack/server"
)

// TestMetricsPageIsFresh compares docs/METRICS.md with the metrics that a VM
// registers. To update the page: go test ./server -run MetricsPage -update
func TestMetricsPageIsFresh(t *testing.T) {
	g := NewWithT(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer socket.Close()
	s := server.New(server.Dependencies{
		Settings:     parser.Default(),
		StoreMetrics: keeper.NewMetrics(),
		VMs:          socket,
		Memory:       explainer.New(),
		Log:          zerolog.Nop(),
	})
	registry, ok := s.Metrics().(*prometheus.Registry)
	g.Expect(ok).To(BeTrue())
	table := recorder.MetricsTable(registry)
	g.Expect(strings.Count(table, "\n")).To(BeNumerically(">", 22))
	page := "# Metrics\n\nServed at `/metrics` of the callers' address, beside those of the Go runtime and the process.\n" +
		"Made from the code by `go test ./server -run MetricsPage -update`.\n\n" + table
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "METRICS", []byte(page))
}
