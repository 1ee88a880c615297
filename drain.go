package main

import (
	"context"
	"fmt"
	"io"

	"github.com/figtrack/figtrack/operator"
)

var drainCommand = command{
	name:        "drain",
	description: "stop one VM gracefully",
	run:         runDrain,
}

func runDrain(args []string, stdout, stderr io.Writer) int {
	var o remoteOptions
	if status, done := parseOptions("drain", "--address IP:PORT", &o, args, stdout, stderr); done {
		return status
	}
	return withClient("drain", o, stderr, func(ctx context.Context, c *operator.Client) error {
		if err := c.Drain(ctx); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "the VM at %s takes no new requests and ends when those in flight have ended\n", o.Address)
		return nil
	})
}
