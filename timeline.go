package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/figtrack/figtrack/explainer"
)

var timelineCommand = command{
	name:        "timeline",
	description: "tell from logs what VMs believed of the fleet",
	run:         runTimeline,
}

type timelineOptions struct {
	Logs        []string      `long:"log" required:"yes" value-name:"FILE" description:"log of a VM; may be given several times"`
	At          string        `long:"at" value-name:"TIME" description:"what each VM believed at a moment, as in 15:04:05.000, and where they differed"`
	Differences bool          `long:"differences" description:"each time that VMs differed on the configuration, the store or a runner"`
	MinDuration time.Duration `long:"longer" default:"1s" description:"shortest difference that is told"`
}

func runTimeline(args []string, stdout, stderr io.Writer) int {
	var o timelineOptions
	if status, done := parseOptions("timeline", "[--at TIME | --differences] --log FILE...", &o, args, stdout, stderr); done {
		return status
	}
	return printFromLogs("timeline", o.Logs, stdout, stderr, func(logs []io.Reader) ([]string, error) {
		switch {
		case o.At != "":
			return explainer.ViewsAt(o.At, logs...)
		case o.Differences:
			return explainer.Differences(o.MinDuration, logs...)
		}
		return explainer.Timeline(logs...)
	})
}

// printFromLogs opens log files, prints the lines that describe returns for them
// and returns the exit status.
func printFromLogs(name string, files []string, stdout, stderr io.Writer, describe func(logs []io.Reader) ([]string, error)) int {
	logs, closeLogs, err := openLogs(files)
	defer closeLogs()
	if err != nil {
		fmt.Fprintf(stderr, "figtrack %s: %v; give the path of a VM's log\n", name, err)
		return exitUsage
	}
	lines, err := describe(logs)
	for _, line := range lines {
		fmt.Fprintln(stdout, line)
	}
	if err != nil {
		fmt.Fprintf(stderr, "figtrack %s: %v\n", name, err)
		return exitFailed
	}
	if len(lines) == 0 {
		fmt.Fprintf(stderr, "figtrack %s: the logs have no such line; give the logs of all VMs\n", name)
		return exitFailed
	}
	return exitOK
}

// openLogs opens log files. The caller must call closeLogs, also after an error.
func openLogs(files []string) (logs []io.Reader, closeLogs func(), err error) {
	var opened []*os.File
	closeLogs = func() {
		for _, f := range opened {
			f.Close()
		}
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, closeLogs, err
		}
		opened, logs = append(opened, f), append(logs, f)
	}
	return logs, closeLogs, nil
}
