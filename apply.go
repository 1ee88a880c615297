package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/operator"
	"github.com/figtrack/figtrack/parser"
)

var applyCommand = command{
	name:        "apply",
	description: "bring a whole configuration into force",
	run:         runApply,
}

type applyOptions struct {
	remoteOptions
	Wait bool `long:"wait" description:"wait until the change is in force on all live VMs"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration file, see examples/" required:"yes"`
	} `positional-args:"yes"`
}

func runApply(args []string, stdout, stderr io.Writer) int {
	var o applyOptions
	if status, done := parseOptions("apply", "FILE [--wait]", &o, args, stdout, stderr); done {
		return status
	}
	wanted, err := loadDocument(o.Args.File)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack apply: %v\n", err)
		return exitUsage
	}
	return withClient("apply", o.remoteOptions, stderr, func(ctx context.Context, c *operator.Client) error {
		present, err := c.Configuration(ctx)
		if err != nil {
			return err
		}
		ops := configurer.Plan(present, wanted)
		if len(ops) == 0 {
			fmt.Fprintf(stdout, "nothing to change at revision %d\n", present.Revision)
			return nil
		}
		return submitChange(ctx, c, o.remoteOptions, o.Wait, stdout, ops...)
	})
}

// loadDocument reads a configuration file and validates it.
func loadDocument(path string) (configurer.Document, error) {
	var d configurer.Document
	text, err := os.ReadFile(path)
	if err != nil {
		return d, errors.Wrap(err, "give the path of a configuration file, examples are in examples/")
	}
	if err := parser.Decode(text, &d); err != nil {
		return d, errors.WithMessage(err, path)
	}
	d = configurer.Normalise(d)
	if _, conflict := configurer.ApplyChange(configurer.Document{}, configurer.Change{ID: "check", Operations: configurer.Plan(configurer.Document{}, d)}); conflict != nil {
		return d, errors.WithMessage(conflict, path)
	}
	return d, nil
}
