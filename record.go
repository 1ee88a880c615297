package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/tracer"
)

var recordCommand = command{
	name:        "record",
	description: "make a trace of a site under load",
	run:         runRecord,
}

type recordOptions struct {
	Site     string  `long:"site" default:"himal" choice:"himal" choice:"tafelbaai" description:"site whose load is recorded"`
	Scenario string  `long:"scenario" default:"surge" description:"surge, hot-prefix, mixed, death, stall, cancel, uneven or links"`
	Load     float64 `long:"load" default:"1" description:"peak rate as a multiple of the site's capacity"`
	Seed     uint64  `long:"seed" default:"1" description:"seed of the trace"`
	Output   string  `short:"o" long:"output" description:"file to write; standard output if it is not given"`
}

// runRecord generates a trace of a site under load and writes it.
func runRecord(args []string, stdout, stderr io.Writer) int {
	var options recordOptions
	if status, done := parseOptions("record", "[options]", &options, args, stdout, stderr); done {
		return status
	}
	trace, err := tracer.Record(tracer.Plan{
		Site: options.Site, Scenario: options.Scenario, Load: options.Load, Seed: options.Seed,
	})
	if err != nil {
		fmt.Fprintf(stderr, "figtrack record: %v, try figtrack record --help\n", err)
		return exitUsage
	}
	if err := writeTrace(options.Output, stdout, trace); err != nil {
		fmt.Fprintf(stderr, "figtrack record: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// writeTrace writes a trace to the file at path, or to stdout without a path.
func writeTrace(path string, stdout io.Writer, trace *tracer.Trace) error {
	if path == "" {
		return tracer.Write(stdout, trace)
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "give a file that can be written with -o")
	}
	if err := tracer.Write(file, trace); err != nil {
		file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write trace")
}
