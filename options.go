package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// parseOptions parses the options of a command into v. If done is true, it has
// printed help or an error and the command must return status.
func parseOptions(name, usage string, v any, args []string, stdout, stderr io.Writer) (status int, done bool) {
	p := flags.NewNamedParser("figtrack "+name, flags.HelpFlag|flags.PassDoubleDash)
	p.Usage = usage
	if _, err := p.AddGroup("Options", "", v); err != nil {
		panic(err)
	}
	rest, err := p.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
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
