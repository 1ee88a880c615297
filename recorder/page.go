package recorder

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

var descText = regexp.MustCompile(`fqName: "(figtrack_[^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{\}, variableLabels: \{([^}]*)\}`)

// Table returns the table of figtrack's metrics in a registry, as pages show it.
func Table(registry prometheus.Collector) string {
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
	return "| name | labels | meaning |\n|---|---|---|\n" + strings.Join(slices.Compact(rows), "")
}
