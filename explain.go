package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

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
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"value of the header Figtrack-Request" required:"yes"`
	} `positional-args:"yes"`
}

func runExplain(args []string, stdout, stderr io.Writer) int {
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
