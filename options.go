package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// parse reads a command's options into v. The status is for the caller to
// return where done is true.
func parse(name, usage string, v any, args []string, stdout, stderr io.Writer) (status int, done bool) {
	p := flags.NewNamedParser("figtrack "+name, flags.HelpFlag|flags.PassDoubleDash)
	p.Usage = usage
	if _, err := p.AddGroup("Options", "", v); err != nil {
		panic(err)
	}
	rest, err := p.ParseArgs(args)
	var known *flags.Error
	if errors.As(err, &known) && known.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		return exitOK, true
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintf(stderr, "figtrack %s: %v; see figtrack %s --help\n", name, err, name)
		return exitUsage, true
	}
	return exitOK, false
}
