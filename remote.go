package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/operator"
	"github.com/figtrack/figtrack/syncer"
)

// remoteOptions reach the operators' side of a VM.
type remoteOptions struct {
	Address     string `long:"address" env:"FIGTRACK_ADDRESS" required:"yes" value-name:"IP:PORT" description:"operators' address of any VM"`
	Authorities string `long:"authorities" env:"FIGTRACK_AUTHORITIES_FILE" default:"keys/authority.pem" description:"file of the authority's certificate"`
	Certificate string `long:"certificate" env:"FIGTRACK_OPERATOR_CERTIFICATE" required:"yes" description:"file of the operator's certificate"`
	Key         string `long:"key" env:"FIGTRACK_OPERATOR_KEY" required:"yes" description:"file of the operator's key"`
	JSON        bool   `long:"json" description:"print JSON"`
}

// remoteTimeout bounds one command.
const remoteTimeout = 40 * time.Second

func (o remoteOptions) client() (*operator.Client, error) {
	var pair certifier.Pair
	var authorities []byte
	for path, to := range map[string]*[]byte{o.Authorities: &authorities, o.Certificate: &pair.Certificate, o.Key: &pair.Key} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "make keys with figtrack keys, or name their files")
		}
		*to = text
	}
	holder, err := certifier.HolderOf(pair)
	if err != nil {
		return nil, err
	}
	ring, err := certifier.NewKeyring(holder.Deployment, pair, authorities, time.Now)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(o.Address, ring), nil
}

// remote runs an action with a client and turns its error into a status.
func remote(name string, o remoteOptions, stderr io.Writer, action func(ctx context.Context, c *operator.Client) error) int {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	c, err := o.client()
	if err == nil {
		err = action(ctx, c)
	}
	if err != nil {
		fmt.Fprintf(stderr, "figtrack %s: %v\n", name, err)
		return exitFailed
	}
	return exitOK
}

// submit sends operations as one change and prints what became of it.
func submit(ctx context.Context, c *operator.Client, o remoteOptions, wait bool, stdout io.Writer, ops ...configurer.Operation) error {
	change := configurer.Change{ID: configurer.ChangeID(uuid.NewString()), By: os.Getenv("USER"), Operations: ops}
	out, err := c.Submit(ctx, change, wait)
	if err != nil {
		return err
	}
	if o.JSON {
		if err := writeJSON(stdout, out); err != nil {
			return err
		}
	}
	return describe(out, o, stdout, wait)
}

func describe(out operator.Submission, o remoteOptions, stdout io.Writer, wait bool) error {
	switch out.Result {
	case syncer.ResultAccepted:
	case syncer.ResultConflict:
		return out.Conflict
	case syncer.ResultUnknown:
		return errors.New("the store did not answer in time: the change may stand; look with figtrack classes or upstreams")
	default:
		return errors.Errorf("nothing was changed: %s; try again", out.Result)
	}
	if len(out.Behind) > 0 {
		return errors.Errorf("revision %d is accepted; not yet in force on %v", out.Revision, out.Behind)
	}
	if o.JSON {
		return nil
	}
	if wait {
		fmt.Fprintf(stdout, "revision %d is in force on all live VMs\n", out.Revision)
		return nil
	}
	fmt.Fprintf(stdout, "revision %d is accepted\n", out.Revision)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "print")
}

func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Options.DrawBorder = false
	t.Style().Options.SeparateColumns = false
	t.SetAllowedRowLength(tableWidth)
	t.AppendHeader(header)
	return t
}

// tableWidth is the most columns of text in a table.
const tableWidth = 80
