package server_test

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/server"
)

var descText = regexp.MustCompile(`fqName: "(figtrack_[^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{\}, variableLabels: \{([^}]*)\}`)

// TestMetricsPageIsFresh compares docs/METRICS.md with what a VM registers;
// go test ./server -run MetricsPage -update writes it.
func TestMetricsPageIsFresh(t *testing.T) {
	g := NewWithT(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer socket.Close()
	s := server.New(server.Needs{
		Settings:     parser.Default(),
		StoreMetrics: keeper.NewMetrics(),
		VMs:          socket,
		Memory:       explainer.New(),
		Log:          zerolog.Nop(),
	})
	registry, ok := s.Metrics().(*prometheus.Registry)
	g.Expect(ok).To(BeTrue())
	descs := make(chan *prometheus.Desc)
	go func() {
		defer close(descs)
		registry.Describe(descs)
	}()
	var rows []string
	for d := range descs {
		if found := descText.FindStringSubmatch(d.String()); found != nil {
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", found[1], strings.ReplaceAll(found[3], ",", ", "), found[2]))
		}
	}
	slices.Sort(rows)
	rows = slices.Compact(rows)
	g.Expect(len(rows)).To(BeNumerically(">", 20))
	page := "# Metrics\n\nServed at `/metrics` of the callers' address, beside those of the Go runtime and the process.\n" +
		"Made from the code by `go test ./server -run MetricsPage -update`.\n\n| name | labels | meaning |\n|---|---|---|\n" + strings.Join(rows, "")
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "METRICS", []byte(page))
}
