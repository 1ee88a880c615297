package main

import (
	"fmt"
	"io"
	"runtime/debug"
)

var versionCommand = command{
	name:        "version",
	description: "print the version",
	run:         runVersion,
}

// version is the release number of this source tree.
const version = "0.1.0"

func runVersion(_ []string, stdout, _ io.Writer) int {
	build := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.GoVersion
	}
	fmt.Fprintf(stdout, "figtrack %s (%s)\n", version, build)
	return exitOK
}
