package accounter

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteTable prints a row for each sum and a column for each cause that occurs.
func WriteTable(w io.Writer, by Grouping, sums []Sum) {
	var causes []Cause
	for _, c := range Causes {
		for _, s := range sums {
			if s.Counts[c] > 0 {
				causes = append(causes, c)
				break
			}
		}
	}
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = 0
	head := table.Row{string(by), "Requests"}
	for _, c := range causes {
		head = append(head, string(c))
	}
	t.AppendHeader(append(head, "Memory ms", "Prefill ms", "Run ms"))
	for _, s := range sums {
		row := table.Row{s.Group, s.Total}
		for _, c := range causes {
			row = append(row, s.Counts[c])
		}
		t.AppendRow(append(row, formatMs(s.Memory), formatMs(s.Prefill), formatMs(s.Run)))
	}
	t.Render()
}

func formatMs(d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}
