package main

import (
	"fmt"
	"io"

	"github.com/figtrack/figtrack/parser"
)

var checkCommand = command{
	name:        "check",
	description: "check a settings file",
	run:         runCheck,
}

type checkOptions struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings file" required:"yes"`
	} `positional-args:"yes"`
}

func runCheck(args []string, stdout, stderr io.Writer) int {
	var o checkOptions
	if status, done := parse("check", "FILE", &o, args, stdout, stderr); done {
		return status
	}
	s, err := parser.Load(o.Args.File)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack check: %v\n", err)
		return exitUsage
	}
	fmt.Fprintf(stdout, "%s: good settings for %s of %s in %s\n", o.Args.File, s.VM, s.Deployment, s.DataCentre)
	return exitOK
}
