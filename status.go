package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/figtrack/figtrack/operator"
)

var statusCommand = command{
	name:        "status",
	description: "show the fleet, its classes and the store's calls",
	run:         runStatus,
}

func runStatus(args []string, stdout, stderr io.Writer) int {
	var o remoteOptions
	if status, done := parseOptions("status", "[options]", &o, args, stdout, stderr); done {
		return status
	}
	return withClient("status", o, stderr, func(ctx context.Context, c *operator.Client) error {
		statuses, err := c.Statuses(ctx)
		if err != nil {
			return err
		}
		if o.JSON {
			return writeJSON(stdout, statuses)
		}
		printStatuses(stdout, statuses)
		return nil
	})
}

// printStatuses prints the VMs, their classes, the impaired upstreams and the
// number of store calls for each purpose, summed over all VMs.
func printStatuses(w io.Writer, statuses []operator.Status) {
	vms := newTable(w, "VM", "Data centre", "State", "Revision", "Live", "Owns", "In flight", "Keys for")
	calls := make(map[string]uint64)
	for _, s := range statuses {
		if s.Problem != "" {
			vms.AppendRow([]any{s.VM, "", s.Problem})
			continue
		}
		state := "ready"
		if s.NotReady != "" {
			state = s.NotReady
		}
		keysValidFor := time.Until(s.KeysExpireAt).Round(time.Minute)
		vms.AppendRow([]any{s.VM, s.DataCentre, state, s.Revision, len(s.Live), len(s.Owned), s.InFlight, keysValidFor})
		for _, call := range s.StoreCalls {
			calls[call.Purpose] += call.Calls
		}
	}
	vms.Render()
	printClasses(w, statuses)
	for _, s := range statuses {
		for _, u := range s.Impaired {
			fmt.Fprintf(w, "%s sees upstream %s as %s\n", s.VM, u.Upstream, u.Health)
		}
	}
	for _, purpose := range sortedKeys(calls) {
		fmt.Fprintf(w, "store calls for %s: %d\n", purpose, calls[purpose])
	}
}

// printClasses prints the counters of each class, summed over all VMs.
func printClasses(w io.Writer, statuses []operator.Status) {
	totals := make(map[string]operator.ClassStatus)
	for _, s := range statuses {
		for _, c := range s.Classes {
			total := totals[string(c.Class)]
			total.Class = c.Class
			total.Requests += c.Requests
			total.Answered += c.Answered
			total.InTarget += c.InTarget
			total.PrefillSeconds += c.PrefillSeconds
			total.WastedSeconds += c.WastedSeconds
			totals[string(c.Class)] = total
		}
	}
	t := newTable(w, "Class", "Requests", "Answered", "In target", "Prefill s", "Wasted s")
	for _, name := range sortedKeys(totals) {
		c := totals[name]
		t.AppendRow([]any{
			c.Class, c.Requests, c.Answered, c.InTarget,
			fmt.Sprintf("%.2f", c.PrefillSeconds), fmt.Sprintf("%.2f", c.WastedSeconds),
		})
	}
	t.Render()
}
