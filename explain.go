package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/operator"
)

var explainCommand = command{
	name:        "explain",
	description: "tell each decision made for a request",
	run:         runExplain,
}

type explainOptions struct {
	remoteOptions
	explainArgs
}

// explainArgs are the options that need no connection to a VM.
type explainArgs struct {
	Logs []string `long:"log" value-name:"FILE" description:"read the log of a VM in place of asking one, may be given several times; no other option is needed then"`
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"id of the request" required:"yes"`
	} `positional-args:"yes"`
}

// hasLogOption reports whether args contain --log, so that the request is explained
// from log files instead of by a VM. It runs before the options are parsed, because
// those for the connection to a VM are required only without --log.
func hasLogOption(args []string) bool {
	return slices.ContainsFunc(args, func(arg string) bool { return strings.HasPrefix(arg, "--log") })
}

// explainLogs explains a request from the log files that --log names.
func explainLogs(args []string, stdout, stderr io.Writer) int {
	var o explainArgs
	if status, done := parseOptions("explain", "--log FILE... REQUEST", &o, args, stdout, stderr); done {
		return status
	}
	return printFromLogs("explain", o.Logs, stdout, stderr, func(logs []io.Reader) ([]string, error) {
		return explainer.Story(o.Args.Request, logs...)
	})
}

func runExplain(args []string, stdout, stderr io.Writer) int {
	if hasLogOption(args) {
		return explainLogs(args, stdout, stderr)
	}
	var o explainOptions
	if status, done := parseOptions("explain", "[options] REQUEST", &o, args, stdout, stderr); done {
		return status
	}
	return withClient("explain", o.remoteOptions, stderr, func(ctx context.Context, c *operator.Client) error {
		lines, err := c.Explain(ctx, identifier.Request(o.Args.Request))
		if err != nil {
			return err
		}
		if o.JSON {
			return writeJSON(stdout, lines)
		}
		sentences, err := explainer.DescribeLines(lines)
		for _, sentence := range sentences {
			fmt.Fprintln(stdout, sentence)
		}
		return err
	})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
