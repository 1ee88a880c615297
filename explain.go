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

type explainArgs struct {
	Log  []string `long:"log" value-name:"FILE" description:"read the log of a VM in place of asking one, may be given several times; no other option is needed then"`
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"id of the request" required:"yes"`
	} `positional-args:"yes"`
}

// readsLogs says that the story is told from files.
func readsLogs(args []string) bool {
	return slices.ContainsFunc(args, func(arg string) bool { return strings.HasPrefix(arg, "--log") })
}

func explainFromLogs(args []string, stdout, stderr io.Writer) int {
	var o explainArgs
	if status, done := parse("explain", "--log FILE... REQUEST", &o, args, stdout, stderr); done {
		return status
	}
	return fromLogs("explain", o.Log, stdout, stderr, func(logs []io.Reader) ([]string, error) {
		return explainer.Story(o.Args.Request, logs...)
	})
}

func runExplain(args []string, stdout, stderr io.Writer) int {
	if readsLogs(args) {
		return explainFromLogs(args, stdout, stderr)
	}
	var o explainOptions
	if status, done := parse("explain", "[options] REQUEST", &o, args, stdout, stderr); done {
		return status
	}
	return remote("explain", o.remoteOptions, stderr, func(ctx context.Context, c *operator.Client) error {
		lines, err := c.Explain(ctx, identifier.Request(o.Args.Request))
		if err != nil {
			return err
		}
		if o.JSON {
			return writeJSON(stdout, lines)
		}
		words, err := explainer.Words(lines)
		for _, one := range words {
			fmt.Fprintln(stdout, one)
		}
		return err
	})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
