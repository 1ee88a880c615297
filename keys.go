package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/certifier"
)

var keysCommand = command{
	name:        "keys",
	description: "make an authority and certificates of VMs and operators",
	run:         runKeys,
}

type keysOptions struct {
	Deployment string        `long:"deployment" required:"yes" description:"name of the deployment, as in the settings"`
	Folder     string        `long:"folder" default:"keys" description:"where the authority is kept and certificates are written"`
	VMs        []string      `long:"vm" value-name:"NAME" description:"make a certificate for this VM; may be repeated"`
	Operators  []string      `long:"operator" value-name:"NAME" description:"make a certificate for this operator; may be repeated"`
	Life       time.Duration `long:"life" default:"168h" description:"how long the new certificates are valid"`
}

const (
	// authorityLife is how long a new authority is valid.
	authorityLife = 5 * 365 * 24 * time.Hour
	// privateMode lets only the owner read a key.
	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o700
)

func runKeys(args []string, stdout, stderr io.Writer) int {
	var o keysOptions
	if status, done := parse("keys", "--deployment NAME [--vm NAME...] [--operator NAME...]", &o, args, stdout, stderr); done {
		return status
	}
	if err := makeKeys(o, stdout); err != nil {
		fmt.Fprintf(stderr, "figtrack keys: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func makeKeys(o keysOptions, stdout io.Writer) error {
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return errors.Wrap(err, "give --folder a place that can be written")
	}
	authority, err := openAuthority(o, stdout)
	if err != nil {
		return err
	}
	for _, name := range o.VMs {
		if err := issue(o, stdout, authority, certifier.RoleVM, name); err != nil {
			return err
		}
	}
	for _, name := range o.Operators {
		if err := issue(o, stdout, authority, certifier.RoleOperator, name); err != nil {
			return err
		}
	}
	return nil
}

// openAuthority reads the folder's authority, or makes one.
func openAuthority(o keysOptions, stdout io.Writer) (*certifier.Authority, error) {
	base := filepath.Join(o.Folder, "authority")
	cert, err := os.ReadFile(base + ".pem")
	if err == nil {
		key, err := os.ReadFile(base + ".key")
		if err != nil {
			return nil, errors.Wrap(err, "the folder has an authority without its key")
		}
		return certifier.LoadAuthority(o.Deployment, certifier.Pair{Certificate: cert, Key: key})
	}
	authority, err := certifier.NewAuthority(o.Deployment, time.Now(), authorityLife)
	if err != nil {
		return nil, err
	}
	return authority, writePair(stdout, base, authority.Pair())
}

func issue(o keysOptions, stdout io.Writer, a *certifier.Authority, role certifier.Role, name string) error {
	pair, err := a.Issue(role, name, time.Now(), o.Life)
	if err != nil {
		return err
	}
	return writePair(stdout, filepath.Join(o.Folder, string(role)+"-"+name), pair)
}

func writePair(stdout io.Writer, base string, pair certifier.Pair) error {
	if err := os.WriteFile(base+".pem", pair.Certificate, publicMode); err != nil {
		return errors.Wrap(err, "write a certificate")
	}
	if err := os.WriteFile(base+".key", pair.Key, privateMode); err != nil {
		return errors.Wrap(err, "write a key")
	}
	fmt.Fprintf(stdout, "%s.pem %s.key\n", base, base)
	return nil
}
