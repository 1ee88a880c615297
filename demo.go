package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"github.com/figtrack/figtrack/demonstrator"
)

var demoCommand = command{
	name:        "demo",
	description: "run a whole deployment in one process and play a surge",
	run:         runDemo,
}

type demoOptions struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the surge"`
	Log  string `long:"log" description:"file for the decision log (JSON lines)"`
	JSON bool   `long:"json" description:"print the report as JSON"`
}

// demoTimeout stops a demo that hangs.
const demoTimeout = 2 * time.Minute

func runDemo(args []string, stdout, stderr io.Writer) int {
	var o demoOptions
	if status, done := parseOptions("demo", "[options]", &o, args, stdout, stderr); done {
		return status
	}
	log, err := openLog(o.Log)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack demo: %v; give --log a path that can be written\n", err)
		return exitUsage
	}
	defer log.Close()
	fleet, err := demonstrator.Start(demonstrator.Himal(), log)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack demo: %v\n", err)
		return exitFailed
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	surge := demonstrator.DefaultSurge()
	surge.Seed = o.Seed
	report := fleet.Run(ctx, surge)
	if o.JSON {
		_ = json.NewEncoder(stdout).Encode(report)
	} else {
		printReport(stdout, report)
	}
	for _, p := range report.Problems {
		fmt.Fprintf(stderr, "figtrack demo: %s\n", p)
	}
	if len(report.Problems) > 0 {
		return exitFailed
	}
	return exitOK
}

// openLog creates the decision log at path. Without a path, the log is discarded.
func openLog(path string) (io.WriteCloser, error) {
	if path == "" {
		return discardCloser{io.Discard}, nil
	}
	return os.Create(path)
}

// discardCloser is a writer that drops everything and can be closed.
type discardCloser struct{ io.Writer }

// Close implements io.Closer.
func (discardCloser) Close() error { return nil }

func printReport(w io.Writer, r demonstrator.Report) {
	t := newTable(w, "Class", "Sent", "Answered", "Not run", "Wrong", "In target", "First", "p95", "Token")
	for _, l := range r.Lines {
		t.AppendRow(table.Row{
			l.Class, l.Requests, l.Answered, l.Refused, l.Wrong, l.InTarget,
			formatDuration(l.FirstToken50), formatDuration(l.FirstToken95), formatDuration(l.PerToken95),
		})
	}
	var rightAligned []table.ColumnConfig
	for i := 2; i <= 9; i++ {
		rightAligned = append(rightAligned, table.ColumnConfig{Number: i, Align: text.AlignRight})
	}
	t.SetColumnConfigs(rightAligned)
	t.Render()
	fmt.Fprintf(w, "Prefill: %.2f s of engine time, %.2f s wasted\n", r.PrefillSeconds, r.WastedSeconds)
	fmt.Fprintf(w, "Reservations: %d keys, %d runs, %d repeats refused\n", r.Reservations, r.Runs, r.RepeatsRefused)
}

func formatDuration(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
