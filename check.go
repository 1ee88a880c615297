package main

import (
	"fmt"
	"io"
	"os"
	"regexp"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/parser"
)

var checkCommand = command{
	name:        "check",
	description: "check a settings or configuration file",
	run:         runCheck,
}

type checkOptions struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings or configuration file" required:"yes"`
	} `positional-args:"yes"`
}

func runCheck(args []string, stdout, stderr io.Writer) int {
	var o checkOptions
	if status, done := parseOptions("check", "FILE", &o, args, stdout, stderr); done {
		return status
	}
	line, err := checkFile(o.Args.File)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack check: %v\n", err)
		return exitUsage
	}
	fmt.Fprintln(stdout, line)
	return exitOK
}

// checkFile validates a settings or configuration file and returns a summary of
// it. Only a configuration has one of the keys that configurationKey matches.
func checkFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "give the path of a file, examples are in examples/")
	}
	if configurationKey.Match(text) {
		d, err := loadDocument(path)
		return fmt.Sprintf("%s: good configuration with %d classes, %d pools and %d upstreams",
			path, len(d.Classes), len(d.Pools), len(d.Upstreams)), err
	}
	s, err := parser.Load(path)
	return fmt.Sprintf("%s: good settings for %s of %s in %s", path, s.VM, s.Deployment, s.DataCentre), err
}

var configurationKey = regexp.MustCompile(`(?m)^(Classes|Pools|Upstreams):`)
