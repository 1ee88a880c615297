package recorder

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// descPattern matches the text of a prometheus.Desc, which has no getters.
var descPattern = regexp.MustCompile(`fqName: "(figtrack_[^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{\}, variableLabels: \{([^}]*)\}`)

// MetricsTable returns a Markdown table of figtrack's metrics in a registry,
// with their labels and help texts.
func MetricsTable(registry prometheus.Collector) string {
	descs := make(chan *prometheus.Desc)
	go func() {
		defer close(descs)
		registry.Describe(descs)
	}()
	var rows []string
	for d := range descs {
		if match := descPattern.FindStringSubmatch(d.String()); match != nil {
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", match[1], strings.ReplaceAll(match[3], ",", ", "), match[2]))
		}
	}
	slices.Sort(rows)
	return "| name | labels | meaning |\n|---|---|---|\n" + strings.Join(slices.Compact(rows), "")
}
