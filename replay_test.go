package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/replayer"
)

func TestRecordThenReplay(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	trace, plot := filepath.Join(dir, "trace.jsonl"), filepath.Join(dir, "out.png")
	var stdout, stderr bytes.Buffer
	status := runRecord([]string{"--scenario", "stall", "--load", "0.2", "-o", trace}, &stdout, &stderr)
	g.Expect(status).To(Equal(exitOK), stderr.String())

	status = runReplay([]string{trace, "--compare", "least-load", "--json", "--plot", plot}, &stdout, &stderr)
	g.Expect(status).To(Equal(exitOK), stderr.String())
	var results []replayer.Result
	g.Expect(json.Unmarshal(stdout.Bytes(), &results)).To(Succeed())
	g.Expect(results).To(HaveLen(2))
	g.Expect(results[0].Policy).To(Equal("figtrack"))
	g.Expect(results[0].Whole.Lost).To(BeZero())
	g.Expect(results[0].Whole.Requests).To(Equal(results[1].Whole.Requests))
	g.Expect(plot).To(BeARegularFile())

	earlier := filepath.Join(dir, "before.json")
	g.Expect(os.WriteFile(earlier, stdout.Bytes(), 0o600)).To(Succeed())
	stdout.Reset()
	status = runReplay([]string{trace, "--compare", earlier}, &stdout, &stderr)
	g.Expect(status).To(Equal(exitOK), stderr.String())
	g.Expect(stdout.String()).To(ContainSubstring("figtrack in before.json"))
}

func TestReplayAndRecordRejectBadInput(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.jsonl")
	NewWithT(t).Expect(os.WriteFile(broken, []byte("{\"Kind\":\"Header\"}\n"), 0o600)).To(Succeed())
	const trace = "replayer/testdata/small.jsonl"
	for _, c := range []struct {
		run  func([]string, *bytes.Buffer) int
		args []string
		want string
	}{
		{replayInto, []string{}, "give one TRACE; figtrack record makes one"},
		{replayInto, []string{"none.jsonl"}, "no such file"},
		{replayInto, []string{broken}, "line 1: Header: At is missing"},
		{replayInto, []string{trace, "--policy", "best"}, "unknown policy \"best\", allowed are [figtrack"},
		{replayInto, []string{trace, "--compare", "best"}, "unknown policy"},
		{replayInto, []string{trace, "--compare", "none.json"}, "give the output of figtrack replay --json"},
		{replayInto, []string{trace, "--settings", "none.yaml"}, "give the path of a settings file"},
		{replayInto, []string{trace, "--policy", "least-load", "--settings", "none.yaml"}, "holds for the policy figtrack only"},
		{replayInto, []string{trace, "--plot", "out.txt"}, "allowed are names such as out.png"},
		{replayInto, []string{trace, "--fast"}, "unknown flag `fast'; see figtrack replay --help"},
		{replayInto, []string{"--all", trace}, "leave out"},
		{replayInto, []string{"--all", "--plot", "out.png"}, "--all goes with --policy, --seed and --json only"},
		{recordInto, []string{"--site", "paris"}, "Allowed values are: himal or tafelbaai"},
		{recordInto, []string{"--scenario", "flood"}, "unknown scenario \"flood\", allowed are"},
		{recordInto, []string{"--load", "0"}, "allowed is above 0"},
		{recordInto, []string{"extra"}, "unexpected argument"},
	} {
		g := NewWithT(t)
		var stderr bytes.Buffer
		g.Expect(c.run(c.args, &stderr)).To(Equal(exitUsage), c.want)
		g.Expect(stderr.String()).To(ContainSubstring(c.want))
		g.Expect(stderr.String()).NotTo(ContainSubstring("goroutine"))
	}
}

func replayInto(args []string, stderr *bytes.Buffer) int {
	return runReplay(args, &bytes.Buffer{}, stderr)
}

func recordInto(args []string, stderr *bytes.Buffer) int {
	return runRecord(args, &bytes.Buffer{}, stderr)
}
