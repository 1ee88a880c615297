package main

import (
	"fmt"
	"io"

	"github.com/figtrack/figtrack/accounter"
	"github.com/figtrack/figtrack/explainer"
)

var accountCommand = command{
	name:        "account",
	description: "sum up from logs what became of requests, and what the late ones waited for",
	run:         runAccount,
}

type accountOptions struct {
	Logs []string `long:"log" required:"yes" value-name:"FILE" description:"log of a VM; may be given several times"`
	By   []string `long:"by" default:"route" choice:"route" choice:"centre" choice:"second" choice:"size" choice:"workspace" description:"what requests are summed up by; may be given several times"`
	Plot string   `long:"plot" value-name:"FILE" description:"file for a plot by second, as in out.svg"`
}

func runAccount(args []string, stdout, stderr io.Writer) int {
	var o accountOptions
	if status, done := parseOptions("account", "[--by WHAT...] [--plot FILE] --log FILE...", &o, args, stdout, stderr); done {
		return status
	}
	logs, closeLogs, err := openLogs(o.Logs)
	defer closeLogs()
	if err != nil {
		fmt.Fprintf(stderr, "figtrack account: %v; give the path of a VM's log\n", err)
		return exitUsage
	}
	entries, err := explainer.ReadLogs(logs)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack account: %v\n", err)
		return exitFailed
	}
	requests := accounter.Read(entries)
	if len(requests) == 0 {
		fmt.Fprintln(stderr, "figtrack account: the logs have no request; give the logs of all VMs")
		return exitFailed
	}
	for _, by := range o.By {
		accounter.WriteTable(stdout, accounter.Grouping(by), accounter.Sums(requests, accounter.Grouping(by)))
	}
	if o.Plot == "" {
		return exitOK
	}
	if err := accounter.WritePlot(o.Plot, requests); err != nil {
		fmt.Fprintf(stderr, "figtrack account: %v\n", err)
		return exitFailed
	}
	return exitOK
}
