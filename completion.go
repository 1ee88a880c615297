package main

import (
	"fmt"
	"io"
	"strings"
)

var completionCommand = command{
	name:        "completion",
	description: "print the completion of commands for bash or zsh",
	run:         runCompletion,
}

type completionOptions struct {
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash or zsh" required:"yes"`
	} `positional-args:"yes"`
}

func runCompletion(args []string, stdout, stderr io.Writer) int {
	var o completionOptions
	if status, done := parseOptions("completion", "bash|zsh", &o, args, stdout, stderr); done {
		return status
	}
	words := strings.Join(append(commandNames(), "completion"), " ")
	switch o.Args.Shell {
	case "bash":
		fmt.Fprintf(stdout, "complete -o default -W %q figtrack\n", words)
	case "zsh":
		fmt.Fprintf(stdout, "compctl -k \"(%s)\" -f figtrack\n", words)
	default:
		fmt.Fprintf(stderr, "figtrack completion: shell %q is unknown; allowed: bash, zsh\n", o.Args.Shell)
		return exitUsage
	}
	return exitOK
}

func commandNames() []string {
	var names []string
	for _, c := range commands() {
		names = append(names, c.name)
	}
	return names
}
