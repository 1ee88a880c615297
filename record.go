package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/tracer"
)

type recordOptions struct {
	Site     string  `long:"site" default:"himal" choice:"himal" choice:"tafelbaai" description:"site whose load is recorded"`
	Scenario string  `long:"scenario" default:"surge" description:"surge, hot-prefix, mixed, death, stall, cancel, uneven or links"`
	Load     float64 `long:"load" default:"1" description:"peak rate as a multiple of the site's capacity"`
	Seed     uint64  `long:"seed" default:"1" description:"seed of the trace"`
	Output   string  `short:"o" long:"output" description:"file to write; standard output if it is not given"`
}

// runRecord makes a trace of a site under load.
func runRecord(args []string, stdout, stderr io.Writer) int {
	var options recordOptions
	p := flags.NewNamedParser("figtrack record", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &options); err != nil {
		panic(err)
	}
	rest, err := p.ParseArgs(args)
	if status, done := usage(err, stdout, stderr); done {
		return status
	}
	if len(rest) > 0 {
		fmt.Fprintf(stderr, "figtrack record: unexpected argument %q, try figtrack record --help\n", rest[0])
		return exitUsage
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

// usage handles what a parser of flags returns. It says whether the command
// is over and with which status.
func usage(err error, stdout, stderr io.Writer) (status int, done bool) {
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK, false
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagErr.Message)
		return exitOK, true
	default:
		fmt.Fprintf(stderr, "figtrack: %v, try --help\n", err)
		return exitUsage, true
	}
}
