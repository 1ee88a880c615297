package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/launcher"
	"github.com/figtrack/figtrack/parser"
)

// servePlatform runs a VM on the users' platform until a signal stops it. The exit
// status is exitFailed if answers were cut off.
func servePlatform(path string, cfg parser.Settings, stdout, stderr io.Writer) int {
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitUsage
	}
	w, closeLog := launcher.NewWriter(stdout)
	defer closeLog()
	stops, hangups, ignoreSignals := notifySignals()
	defer ignoreSignals()
	zerolog.SetGlobalLevel(level)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	limiter := launcher.NewLimiter()
	vm, err := launcher.New(path, cfg, launcher.NewLog(w, cfg, limiter), limiter)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitFailed
	}
	cutOff, err := vm.Run(stops, hangups)
	if err != nil {
		fmt.Fprintf(stderr, "figtrack serve: %v\n", err)
		return exitFailed
	}
	if cutOff > 0 {
		return exitFailed
	}
	return exitOK
}
