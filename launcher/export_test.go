package launcher

import "io"

// LoseCore reports a core that couldn't be rebuilt.
func (vm *VM) LoseCore() { vm.steps.GiveUp("View") }

// Busy returns the number of requests that are not completely answered.
func (vm *VM) Busy() int { return vm.callers.Busy() }

// NewUnquotedWriter returns what the standard log is written to.
func NewUnquotedWriter(to io.Writer) io.Writer { return unquotedWriter{to} }
