package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/replayer"
	"github.com/figtrack/figtrack/tracer"
)

var replayCommand = command{
	name:        "replay",
	description: "replay a trace in virtual time and measure it",
	run:         runReplay,
}

type replayOptions struct {
	Settings string   `long:"settings" description:"settings file whose Prefer holds; else that of the trace"`
	Policy   string   `long:"policy" description:"policy that decides, figtrack if it is not given"`
	Compare  []string `long:"compare" description:"further policy to replay beside it, all for each baseline, routings for the VMs of the users' platform, or the JSON file of an earlier replay"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of the policy and the engines"`
	Header   string   `long:"header" description:"trace whose Header line stands for that of a log without one"`
	Logs     []string `long:"log" value-name:"FILE" description:"log of a VM on the users' platform in place of TRACE; may be given several times"`
	From     string   `long:"from" value-name:"TIME" description:"first moment of the logs to replay, as in 15:04:05.000"`
	To       string   `long:"to" value-name:"TIME" description:"end of the part of the logs to replay"`
	Save     string   `long:"save" value-name:"FILE" description:"write the trace that --log makes"`
	JSON     bool     `long:"json" description:"print the measures as JSON"`
	Plot     string   `long:"plot" description:"file for a plot over time, as in out.png"`
	All      bool     `long:"all" description:"replay every policy, or that of --policy, on the recorded traces of both sites"`
	Args     struct {
		Trace string `positional-arg-name:"TRACE" description:"trace, or log of a run"`
	} `positional-args:"yes"`
}

// runReplay replays a trace and prints the measured results.
func runReplay(args []string, stdout, stderr io.Writer) int {
	var options replayOptions
	if status, done := parseOptions("replay", "[options] TRACE", &options, args, stdout, stderr); done {
		return status
	}
	var tracePaths []string
	if options.Args.Trace != "" {
		tracePaths = append(tracePaths, options.Args.Trace)
	}
	if err := replay(options, tracePaths, stdout, stderr); err != nil {
		fmt.Fprintf(stderr, "figtrack replay: %v\n", err)
		return exitUsage
	}
	return exitOK
}

// replay replays the trace or logs under each selected policy and prints the
// results.
func replay(options replayOptions, tracePaths []string, stdout, stderr io.Writer) error {
	if options.All {
		return replayAll(options, tracePaths, stdout)
	}
	if (len(tracePaths) == 1) == (len(options.Logs) > 0) {
		return errors.New("give one TRACE; figtrack record makes one, or give the logs of VMs with --log")
	}
	policies, err := selectPolicies(options)
	if err != nil {
		return err
	}
	var trace *tracer.Trace
	if len(options.Logs) > 0 {
		trace, err = traceFromLogs(options, stderr)
	} else {
		trace, err = readTrace(tracePaths[0], options.Header)
	}
	if err != nil {
		return err
	}
	if trace.Skipped > 0 {
		fmt.Fprintf(stderr, "figtrack replay: %d lines of other kinds skipped\n", trace.Skipped)
	}
	if trace.Repeated > 0 {
		fmt.Fprintf(stderr, "figtrack replay: %d repeated arrivals left out\n", trace.Repeated)
	}
	var results []replayer.Result
	for _, policy := range policies {
		results = append(results, replayer.Run(trace, policy, options.Seed))
	}
	earlier, err := earlierResults(options.Compare, trace.Header)
	if err != nil {
		return err
	}
	results = append(results, earlier...)
	if options.Plot != "" {
		if err := replayer.WritePlot(options.Plot, results); err != nil {
			return err
		}
	}
	if options.JSON {
		return writeJSON(stdout, results)
	}
	replayer.WriteTable(stdout, results)
	return nil
}

// readTrace reads a trace. With a headerPath, the header of that trace stands in
// for a missing one.
func readTrace(path, headerPath string) (*tracer.Trace, error) {
	if headerPath == "" {
		return tracer.ReadFile(path, nil)
	}
	header, err := tracer.ReadHeader(headerPath)
	if err != nil {
		return nil, err
	}
	return tracer.ReadFile(path, header)
}

// traceFromLogs makes a trace of the logs of VMs on the users' platform, limited to
// the time range of --from and --to, and writes it to the file of --save.
func traceFromLogs(options replayOptions, stderr io.Writer) (*tracer.Trace, error) {
	logs, closeLogs, err := openLogs(options.Logs)
	defer closeLogs()
	if err != nil {
		return nil, errors.Wrap(err, "give the path of a VM's log")
	}
	trace, counts, err := tracer.FromLogs(tracer.LogSelection{From: options.From, To: options.To}, logs...)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(stderr, "in the logs: %d requests, %d answered, %d of them with the first byte in time, %d refused, %d other\n",
		counts.Requests, counts.Answered, counts.InTarget, counts.Refused, counts.Other)
	if options.Save == "" {
		return trace, nil
	}
	f, err := os.Create(options.Save)
	if err != nil {
		return nil, errors.Wrap(err, "--save can't be written")
	}
	defer f.Close()
	return trace, tracer.Write(f, trace)
}

// selectPolicies returns the policies that --policy and --compare name.
func selectPolicies(options replayOptions) ([]replayer.PolicyFactory, error) {
	if options.Policy == "" {
		options.Policy = replayer.FigtrackPolicy("").Name
	}
	first, err := replayer.FindPolicy(options.Policy)
	if err != nil {
		return nil, err
	}
	if options.Settings != "" {
		if first, err = policyWithSettings(options); err != nil {
			return nil, err
		}
	}
	policies := []replayer.PolicyFactory{first}
	for _, name := range options.Compare {
		switch name {
		case "all":
			policies = append(policies, replayer.BaselinePolicies()...)
			continue
		case "routings":
			policies = append(policies, replayer.RoutingPolicies()...)
			continue
		}
		if isResultsFile(name) {
			continue
		}
		other, err := replayer.FindPolicy(name)
		if err != nil {
			return nil, err
		}
		policies = append(policies, other)
	}
	return policies, nil
}

// policyWithSettings returns the policy figtrack with the value of Prefer in the
// settings file. No other policy uses this setting.
func policyWithSettings(options replayOptions) (replayer.PolicyFactory, error) {
	if options.Policy != replayer.FigtrackPolicy("").Name {
		return replayer.PolicyFactory{}, errors.Errorf("--settings holds for the policy figtrack only, not for %q", options.Policy)
	}
	settings, err := parser.Load(options.Settings)
	return replayer.FigtrackPolicy(settings.Prefer), err
}

// isResultsFile reports whether a value of --compare is a file of results.
func isResultsFile(name string) bool { return filepath.Ext(name) == ".json" }

// earlierResults reads the results of earlier replays of the trace with this
// header from the files among the values of --compare.
func earlierResults(compared []string, header tracer.Header) ([]replayer.Result, error) {
	var earlier []replayer.Result
	for _, name := range compared {
		if !isResultsFile(name) {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "give the output of figtrack replay --json")
		}
		var results []replayer.Result
		if err := json.Unmarshal(text, &results); err != nil {
			return nil, errors.Wrapf(err, "%s is no output of figtrack replay --json", name)
		}
		for _, r := range results {
			if !r.MatchesTrace(header) {
				continue
			}
			r.Policy += " in " + filepath.Base(name)
			earlier = append(earlier, r)
		}
		if len(earlier) == 0 {
			return nil, errors.Errorf("%s holds no replay of this trace", name)
		}
	}
	return earlier, nil
}

// replayAll replays every policy, or that of --policy, on generated traces of both
// sites and prints a summary.
func replayAll(options replayOptions, tracePaths []string, stdout io.Writer) error {
	if len(tracePaths) > 0 {
		return errors.Errorf("--all makes its own traces, leave out %q", tracePaths[0])
	}
	if options.Plot != "" || len(options.Compare) > 0 || options.Settings != "" || options.Header != "" {
		return errors.New("--all goes with --policy, --seed and --json only")
	}
	policies := replayer.ComparedPolicies()
	if options.Policy != "" {
		only, err := replayer.FindPolicy(options.Policy)
		if err != nil {
			return err
		}
		policies = []replayer.PolicyFactory{only}
	}
	results, err := replayer.RunAll(options.Seed, policies)
	if err != nil {
		return err
	}
	if options.JSON {
		return writeJSON(stdout, results)
	}
	replayer.WriteSummary(stdout, results)
	return nil
}
