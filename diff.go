package main

import (
	"context"
	"fmt"
	"io"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/operator"
)

var diffCommand = command{
	name:        "diff",
	description: "show what apply would change",
	run:         runDiff,
}

type diffOptions struct {
	remoteOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration file" required:"yes"`
	} `positional-args:"yes"`
}

func runDiff(args []string, stdout, stderr io.Writer) int {
	var o diffOptions
	if status, done := parseOptions("diff", "FILE", &o, args, stdout, stderr); done {
		return status
	}
	wanted, err := loadDocument(o.Args.File)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack diff: %v\n", err)
		return exitUsage
	}
	return withClient("diff", o.remoteOptions, stderr, func(ctx context.Context, c *operator.Client) error {
		present, err := c.Configuration(ctx)
		if err != nil {
			return err
		}
		lines := configurer.Diff(present, wanted)
		if o.JSON {
			return writeJSON(stdout, lines)
		}
		for _, line := range lines {
			fmt.Fprintln(stdout, line)
		}
		if len(lines) == 0 {
			fmt.Fprintf(stdout, "no difference to revision %d\n", present.Revision)
		}
		return nil
	})
}
