package main

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/operator"
)

var classesCommand = command{
	name:        "classes",
	description: "list, add, change and remove classes of work",
	run:         runClasses,
}

type classesOptions struct {
	remoteOptions
	Wait       bool   `long:"wait" description:"wait until the change is in force on all live VMs"`
	FirstToken string `long:"first-token" value-name:"DURATION" description:"target from arrival to the first token"`
	PerToken   string `long:"per-token" value-name:"DURATION" description:"target between later tokens"`
	Patience   string `long:"patience" value-name:"DURATION" description:"how long past its target a late answer is still wanted"`
	Args       struct {
		Action string `positional-arg-name:"ACTION" description:"list, add, set or remove" default:"list"`
		Name   string `positional-arg-name:"CLASS" description:"name of the class"`
	} `positional-args:"yes"`
}

func runClasses(args []string, stdout, stderr io.Writer) int {
	var o classesOptions
	if status, done := parseOptions("classes", "[list | add CLASS | set CLASS | remove CLASS] [options]", &o, args, stdout, stderr); done {
		return status
	}
	return withClient("classes", o.remoteOptions, stderr, func(ctx context.Context, c *operator.Client) error {
		d, err := c.Configuration(ctx)
		if err != nil {
			return err
		}
		if o.Args.Action == "list" || o.Args.Action == "" {
			return listClasses(stdout, o.remoteOptions, d)
		}
		ops, err := o.operations(d)
		if err != nil {
			return err
		}
		return submitChange(ctx, c, o.remoteOptions, o.Wait, stdout, ops...)
	})
}

// listClasses prints the classes as a table, or as JSON with --json.
func listClasses(w io.Writer, o remoteOptions, d configurer.Document) error {
	if o.JSON {
		return writeJSON(w, d.Classes)
	}
	t := newTable(w, "Class", "First token", "Per token", "Patience")
	for _, c := range d.Classes {
		t.AppendRow([]any{c.Name, c.FirstToken, c.PerToken, c.Patience})
	}
	t.Render()
	return nil
}

// operations returns the operations for the requested action. They carry the
// values in d as the ones that the operator saw, so that a change made since then
// is reported as a conflict.
func (o classesOptions) operations(d configurer.Document) ([]configurer.Operation, error) {
	name := identifier.Class(o.Args.Name)
	if name == "" {
		return nil, errors.Errorf("name the class to %s", o.Args.Action)
	}
	present, _ := d.Class(name)
	present.Name = name
	wanted, err := o.withTargets(present)
	if err != nil {
		return nil, err
	}
	switch o.Args.Action {
	case "add":
		return []configurer.Operation{configurer.AddClass{Class: wanted}}, nil
	case "remove":
		return []configurer.Operation{configurer.RemoveClass{Was: present}}, nil
	case "set":
		return changedTargets(present, wanted), nil
	default:
		return nil, errors.Errorf("action %q is unknown; allowed: list, add, set, remove", o.Args.Action)
	}
}

// withTargets returns c with the targets that the options set.
func (o classesOptions) withTargets(c configurer.Class) (configurer.Class, error) {
	for _, option := range []struct {
		text  string
		value *configurer.Duration
	}{{o.FirstToken, &c.FirstToken}, {o.PerToken, &c.PerToken}, {o.Patience, &c.Patience}} {
		if option.text == "" {
			continue
		}
		if err := option.value.UnmarshalText([]byte(option.text)); err != nil {
			return c, err
		}
	}
	return c, nil
}

// changedTargets returns one operation for each target that differs.
func changedTargets(was, wanted configurer.Class) []configurer.Operation {
	var ops []configurer.Operation
	for _, field := range []struct {
		target      configurer.Target
		was, wanted configurer.Duration
	}{
		{configurer.TargetFirstToken, was.FirstToken, wanted.FirstToken},
		{configurer.TargetPerToken, was.PerToken, wanted.PerToken},
		{configurer.TargetPatience, was.Patience, wanted.Patience},
	} {
		if field.was != field.wanted {
			ops = append(ops, configurer.SetTarget{Class: was.Name, Target: field.target, Was: field.was, Value: field.wanted})
		}
	}
	return ops
}
