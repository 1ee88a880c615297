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
	Validity   time.Duration `long:"life" default:"168h" description:"how long the new certificates are valid"`
}

const (
	// authorityValidity is how long the certificate of a new authority is valid.
	authorityValidity = 5 * 365 * 24 * time.Hour
	// privateFileMode lets only the owner read a private key.
	privateFileMode = 0o600
	publicFileMode  = 0o644
	keysFolderMode  = 0o700
)

func runKeys(args []string, stdout, stderr io.Writer) int {
	var o keysOptions
	if status, done := parseOptions("keys", "--deployment NAME [--vm NAME...] [--operator NAME...]", &o, args, stdout, stderr); done {
		return status
	}
	if err := createKeys(o, stdout); err != nil {
		fmt.Fprintf(stderr, "figtrack keys: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func createKeys(o keysOptions, stdout io.Writer) error {
	if err := os.MkdirAll(o.Folder, keysFolderMode); err != nil {
		return errors.Wrap(err, "give --folder a place that can be written")
	}
	authority, err := openAuthority(o, stdout)
	if err != nil {
		return err
	}
	for _, name := range o.VMs {
		if err := issueCertificate(o, stdout, authority, certifier.RoleVM, name); err != nil {
			return err
		}
	}
	for _, name := range o.Operators {
		if err := issueCertificate(o, stdout, authority, certifier.RoleOperator, name); err != nil {
			return err
		}
	}
	return nil
}

// openAuthority loads the authority from the folder, or creates and writes a new
// one.
func openAuthority(o keysOptions, stdout io.Writer) (*certifier.Authority, error) {
	basePath := filepath.Join(o.Folder, "authority")
	cert, err := os.ReadFile(basePath + ".pem")
	if err == nil {
		key, err := os.ReadFile(basePath + ".key")
		if err != nil {
			return nil, errors.Wrap(err, "the folder has an authority without its key")
		}
		return certifier.LoadAuthority(o.Deployment, certifier.Pair{Certificate: cert, Key: key})
	}
	authority, err := certifier.NewAuthority(o.Deployment, time.Now(), authorityValidity)
	if err != nil {
		return nil, err
	}
	return authority, writePair(stdout, basePath, authority.Pair())
}

// issueCertificate creates a certificate and its key for a VM or an operator and
// writes them to the folder.
func issueCertificate(o keysOptions, stdout io.Writer, authority *certifier.Authority, role certifier.Role, name string) error {
	pair, err := authority.Issue(role, name, time.Now(), o.Validity)
	if err != nil {
		return err
	}
	return writePair(stdout, filepath.Join(o.Folder, string(role)+"-"+name), pair)
}

// writePair writes a certificate and its key to basePath with the extensions .pem
// and .key, and prints both paths.
func writePair(stdout io.Writer, basePath string, pair certifier.Pair) error {
	if err := os.WriteFile(basePath+".pem", pair.Certificate, publicFileMode); err != nil {
		return errors.Wrap(err, "write a certificate")
	}
	if err := os.WriteFile(basePath+".key", pair.Key, privateFileMode); err != nil {
		return errors.Wrap(err, "write a key")
	}
	fmt.Fprintf(stdout, "%s.pem %s.key\n", basePath, basePath)
	return nil
}
