package replayer

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// WriteTable prints the measures of each result by class, in lines of at most
// 80 columns.
func WriteTable(w io.Writer, results []Result) {
	for i, r := range results {
		if i > 0 {
			fmt.Fprintln(w)
		}
		writeHead(w, r)
		writeCounts(w, r)
		writeTimes(w, r)
	}
}

func writeHead(w io.Writer, r Result) {
	fmt.Fprintf(w, "%s, %s, load %g, seed %d: %s\n", r.Site, r.Scenario, r.Load, r.Seed, r.Policy)
	fmt.Fprintf(w, "at the full rate: goodput %.1f/s, capacity %.1f/s, clairvoyant %.1f/s\n",
		r.Whole.GoodputPerSecond, r.Capacity, r.Bound)
	fmt.Fprintf(w, "a VM: %.0f messages/s, %.1f KB/s; busiest %.0f/s, %.1f KB/s; stray holds: %d\n",
		r.MessagesPerVM, r.BytesPerVM/1000, r.MessagesMax, r.BytesMax/1000, r.Stray)
}

func writeCounts(w io.Writer, r Result) {
	t := newTable(w)
	t.AppendHeader(table.Row{
		"Class", "Requests", "Good%", "Answered", "Refused", "Gone", "Lost", "Returns", "Waste%", "Cut%",
	})
	for _, m := range r.rows() {
		t.AppendRow(table.Row{
			m.Class, m.Requests, formatPercent(m.Goodput), m.Answered, m.Refused, m.Withdrawn,
			m.Lost, m.Returns, formatPercent(m.Wasted), formatPercent(m.Cut),
		})
	}
	t.Render()
}

func writeTimes(w io.Writer, r Result) {
	t := newTable(w)
	t.AppendHeader(table.Row{
		"Class", "First p50", "p95", "p99 ms", "Token p50", "p95", "p99 ms", "Good/s", "Retries",
	})
	for _, m := range r.rows() {
		t.AppendRow(table.Row{
			m.Class, formatInteger(m.FirstToken.P50), formatInteger(m.FirstToken.P95), formatInteger(m.FirstToken.P99),
			formatTenths(m.PerToken.P50), formatTenths(m.PerToken.P95), formatTenths(m.PerToken.P99), formatTenths(m.GoodputPerSecond),
			m.Retries,
		})
	}
	t.Render()
}

// rows returns the measures of each class, followed by those of all classes.
func (r Result) rows() []Measures {
	return append(append([]Measures(nil), r.Classes...), r.Whole)
}

// WriteSummary prints one line for each result, in at most 80 columns.
func WriteSummary(w io.Writer, results []Result) {
	t := newTable(w)
	t.AppendHeader(table.Row{
		"Policy", "Good%", "Worst%", "Good/s", "of cap%", "Waste%", "Refused", "Lost", "First95",
	})
	trace := ""
	for _, r := range results {
		if name := fmt.Sprintf("%s %s %gx", r.Site, r.Scenario, r.Load); name != trace {
			trace = name
			t.AppendSeparator()
			t.AppendRow(table.Row{trace})
		}
		t.AppendRow(table.Row{
			r.Policy, formatPercent(r.Whole.Goodput), formatPercent(r.WorstGoodput()), formatTenths(r.Whole.GoodputPerSecond),
			formatPercent(ratio(r.Whole.GoodputPerSecond, r.Capacity)), formatPercent(r.Whole.Wasted),
			r.Whole.Refused, r.Whole.Lost, formatInteger(r.Whole.FirstToken.P95),
		})
	}
	t.Render()
}

// WorstGoodput returns the lowest goodput of any class.
func (r Result) WorstGoodput() float64 {
	worst := 1.0
	for _, m := range r.Classes {
		worst = min(worst, m.Goodput)
	}
	return worst
}

func newTable(w io.Writer) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	style.Options.SeparateHeader = true
	style.Format.Header = text.FormatDefault
	style.Box.PaddingLeft = ""
	t.SetStyle(style)
	columns := make([]table.ColumnConfig, 0, 9)
	for n := 2; n <= 10; n++ {
		columns = append(columns, table.ColumnConfig{Number: n, Align: text.AlignRight, AlignHeader: text.AlignRight})
	}
	t.SetColumnConfigs(columns)
	return t
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f", 100*share) }

func formatInteger(x float64) string { return fmt.Sprintf("%.0f", x) }

func formatTenths(x float64) string { return fmt.Sprintf("%.1f", x) }
