package main

import (
	"fmt"
	"io"
)

// Exit statuses of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(stderr, "figtrack: no command given, try figtrack --help")
		return exitUsage
	}
	fmt.Fprintf(stdout, "figtrack: unknown command %q, try figtrack --help\n", args[0])
	return exitUsage
}
