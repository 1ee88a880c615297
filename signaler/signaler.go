// Package signaler handles the signals that make a VM reload. It depends on little, so that
// it is initialized before most packages: a SIGHUP ends a process that doesn't handle it yet.
package signaler

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups receives the signals that make a VM reload. One is enough, as it stands for all
// that arrive before it is handled.
var hangups = notifyHangups()

func notifyHangups() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Hangups returns the signals that make a VM reload, those since the start of the process
// included.
func Hangups() <-chan os.Signal { return hangups }

// Reset lets a SIGHUP end the process.
func Reset() { signal.Stop(hangups) }
