package main

import (
	"fmt"
	"io"

	"github.com/figtrack/figtrack/signaler"
)

// Exit statuses of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is a subcommand of figtrack. Its run function returns the exit status.
type command struct {
	name        string
	description string
	run         func(args []string, stdout, stderr io.Writer) int
}

// commands returns all commands but completion, in the order of the help text.
// completion lists these names itself, so including it would be an initialization
// cycle.
func commands() []command {
	return []command{
		serveCommand,
		checkCommand,
		demoCommand,
		fakeCommand,
		statusCommand,
		classesCommand,
		upstreamsCommand,
		applyCommand,
		diffCommand,
		explainCommand,
		timelineCommand,
		accountCommand,
		drainCommand,
		keysCommand,
		recordCommand,
		replayCommand,
		versionCommand,
	}
}

// run runs the command that args[0] names and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printHelp(stderr)
		return exitUsage
	}
	for _, c := range append(commands(), completionCommand) {
		if c.name == args[0] {
			if c.name != serveCommand.name {
				signaler.Reset()
			}
			return c.run(args[1:], stdout, stderr)
		}
	}
	if args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		printHelp(stdout)
		return exitOK
	}
	fmt.Fprintf(stderr, "figtrack: unknown command %q; see figtrack --help\n", args[0])
	return exitUsage
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "figtrack routes requests to separate prefill and decode pools.")
	fmt.Fprintln(w, "\nUsage: figtrack COMMAND [options]")
	fmt.Fprintln(w, "\nCommands:")
	for _, c := range append(commands(), completionCommand) {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.description)
	}
	fmt.Fprintln(w, "\nfigtrack COMMAND --help tells more. Exit statuses: 0 done, 1 failed, 2 wrong usage or settings.")
}
