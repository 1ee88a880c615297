package main

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/operator"
)

var upstreamsCommand = command{
	name:        "upstreams",
	description: "list, add and retire upstreams",
	run:         runUpstreams,
}

type upstreamsOptions struct {
	remoteOptions
	Wait            bool   `long:"wait" description:"wait until the change is in force on all live VMs"`
	Pool            string `long:"pool" description:"pool of a new upstream"`
	Role            string `long:"role" choice:"Prefill" choice:"Decode" choice:"Plain" description:"role of a new upstream"`
	DataCentre      string `long:"data-centre" description:"data centre of a new upstream"`
	UpstreamAddress string `long:"at" value-name:"IP:PORT" description:"address of a new upstream"`
	Pieces          int    `long:"pieces" description:"memory of a new decode runner in pieces of 2,000 tokens"`
	Streams         int    `long:"streams" description:"most requests that a new decode runner runs at once"`
	Args            struct {
		Action string `positional-arg-name:"ACTION" description:"list, add, retire, restore or remove" default:"list"`
		Name   string `positional-arg-name:"UPSTREAM" description:"name of the upstream"`
	} `positional-args:"yes"`
}

func runUpstreams(args []string, stdout, stderr io.Writer) int {
	var o upstreamsOptions
	if status, done := parseOptions("upstreams", "[list | add NAME | retire NAME | restore NAME | remove NAME] [options]", &o, args, stdout, stderr); done {
		return status
	}
	return withClient("upstreams", o.remoteOptions, stderr, func(ctx context.Context, c *operator.Client) error {
		if o.Args.Action == "list" || o.Args.Action == "" {
			d, err := c.Configuration(ctx)
			if err != nil {
				return err
			}
			return listUpstreams(stdout, o.remoteOptions, d)
		}
		op, err := o.operation()
		if err != nil {
			return err
		}
		return submitChange(ctx, c, o.remoteOptions, o.Wait, stdout, op)
	})
}

// listUpstreams prints the upstreams as a table, or as JSON with --json.
func listUpstreams(w io.Writer, o remoteOptions, d configurer.Document) error {
	if o.JSON {
		return writeJSON(w, d.Upstreams)
	}
	t := newTable(w, "Upstream", "Pool", "Role", "Data centre", "Address", "State")
	for _, u := range d.Upstreams {
		state := "in use"
		if u.Retired {
			state = "retired"
		}
		t.AppendRow([]any{u.ID, u.Pool, u.Role, u.DataCentre, u.Address, state})
	}
	t.Render()
	return nil
}

// operation returns the operation for the requested action.
func (o upstreamsOptions) operation() (configurer.Operation, error) {
	id := identifier.Upstream(o.Args.Name)
	if id == "" {
		return nil, errors.Errorf("name the upstream to %s", o.Args.Action)
	}
	switch o.Args.Action {
	case "add":
		return configurer.AddUpstream{Upstream: configurer.Upstream{
			ID:         id,
			Address:    o.UpstreamAddress,
			Role:       identifier.Role(o.Role),
			Pool:       identifier.Pool(o.Pool),
			DataCentre: identifier.DataCentre(o.DataCentre),
			Pieces:     identifier.Pieces(o.Pieces),
			Streams:    o.Streams,
		}}, nil
	case "retire":
		return configurer.RetireUpstream{ID: id}, nil
	case "restore":
		return configurer.RestoreUpstream{ID: id}, nil
	case "remove":
		return configurer.RemoveUpstream{ID: id}, nil
	default:
		return nil, errors.Errorf("action %q is unknown; allowed: list, add, retire, restore, remove", o.Args.Action)
	}
}
