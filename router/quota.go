package router

import "github.com/figtrack/figtrack/exchanger"

// Sections returns the sections of the exchange.
func (f *Fleet) Sections() []exchanger.Section { return nil }
