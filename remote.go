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

// remoteOptions are the options of each command that connects to a VM as an
// operator.
type remoteOptions struct {
	Address     string `long:"address" env:"FIGTRACK_ADDRESS" required:"yes" value-name:"IP:PORT" description:"operators' address of any VM"`
	Authorities string `long:"authorities" env:"FIGTRACK_AUTHORITIES_FILE" default:"keys/authority.pem" description:"file of the authority's certificate"`
	Certificate string `long:"certificate" env:"FIGTRACK_OPERATOR_CERTIFICATE" required:"yes" description:"file of the operator's certificate"`
	Key         string `long:"key" env:"FIGTRACK_OPERATOR_KEY" required:"yes" description:"file of the operator's key"`
	JSON        bool   `long:"json" description:"print JSON"`
}

// remoteTimeout bounds all calls of one command together.
const remoteTimeout = 40 * time.Second

// newClient returns a client that authenticates with the key files of the options.
func (o remoteOptions) newClient() (*operator.Client, error) {
	var pair certifier.Pair
	var authorities []byte
	for path, value := range map[string]*[]byte{o.Authorities: &authorities, o.Certificate: &pair.Certificate, o.Key: &pair.Key} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "make keys with figtrack keys, or name their files")
		}
		*value = text
	}
	holder, err := certifier.PairIdentity(pair)
	if err != nil {
		return nil, err
	}
	ring, err := certifier.NewKeyring(holder.Deployment, pair, authorities, time.Now)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(o.Address, ring), nil
}

// withClient runs an action with a client, prints its error and returns the exit
// status.
func withClient(name string, o remoteOptions, stderr io.Writer, action func(ctx context.Context, c *operator.Client) error) int {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	c, err := o.newClient()
	if err == nil {
		err = action(ctx, c)
	}
	if err != nil {
		fmt.Fprintf(stderr, "figtrack %s: %v\n", name, err)
		return exitFailed
	}
	return exitOK
}

// submitChange sends operations as one change and prints the result.
func submitChange(ctx context.Context, c *operator.Client, o remoteOptions, wait bool, stdout io.Writer, ops ...configurer.Operation) error {
	change := configurer.Change{ID: configurer.ChangeID(uuid.NewString()), By: os.Getenv("USER"), Operations: ops}
	submission, err := c.Submit(ctx, change, wait)
	if err != nil {
		return err
	}
	if o.JSON {
		if err := writeJSON(stdout, submission); err != nil {
			return err
		}
	}
	return printSubmission(submission, o, stdout, wait)
}

// printSubmission prints the result of a change. It returns an error unless the
// change was accepted and, if the client waited for it, is in force on all live VMs.
func printSubmission(submission operator.Submission, o remoteOptions, stdout io.Writer, wait bool) error {
	switch submission.Result {
	case syncer.ResultAccepted:
	case syncer.ResultConflict:
		return submission.Conflict
	case syncer.ResultUnknown:
		return errors.New("the store did not answer in time: the change may stand; look with figtrack classes or upstreams")
	default:
		return errors.Errorf("nothing was changed: %s; try again", submission.Result)
	}
	if len(submission.Behind) > 0 {
		return errors.Errorf("revision %d is accepted; not yet in force on %v", submission.Revision, submission.Behind)
	}
	if o.JSON {
		return nil
	}
	if wait {
		fmt.Fprintf(stdout, "revision %d is in force on all live VMs\n", submission.Revision)
		return nil
	}
	fmt.Fprintf(stdout, "revision %d is accepted\n", submission.Revision)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "print")
}

// newTable returns a table without borders that renders to w.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Options.DrawBorder = false
	t.Style().Options.SeparateColumns = false
	t.SetAllowedRowLength(maxTableWidth)
	t.AppendHeader(header)
	return t
}

// maxTableWidth is the maximum width of a table row in characters.
const maxTableWidth = 80
