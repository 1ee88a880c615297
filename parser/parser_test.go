package parser_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/parser"
)

const validSettings = `Deployment: himal
VM: vm-1
DataCentre: thamel-room
Callers: {Address: "127.0.0.1:0"}
VMs: {Address: "127.0.0.1:0"}
Store: {Endpoints: ["http://127.0.0.1:2379"]}
Keys: {Authorities: env:A, Certificate: env:B, Key: env:C}
`

func TestExamplesAreAccepted(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../examples/*/vm-*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(2))
	for _, file := range files {
		s, err := parser.Load(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.VMs.Peers).To(HaveLen(6))
	}
}

func TestParseErrors(t *testing.T) {
	cases := map[string]string{
		"unknown-key":    validSettings + "Colour: red\n",
		"repeated-key":   validSettings + "VM: vm-2\n",
		"bad-preference": validSettings + "Prefer: Speed\n",
		"bad-duration":   strings.Replace(validSettings, `{Address: "127.0.0.1:0"}`, `{Address: "127.0.0.1:0", HeaderTimeout: soon}`, 1),
		"short-timeout":  strings.Replace(validSettings, `{Address: "127.0.0.1:0"}`, "\n  Address: 127.0.0.1:0\n  HeaderTimeout: 1ms", 1),
		"bad-address":    strings.Replace(validSettings, `{Address: "127.0.0.1:0"}`, "\n  Address: here", 1),
		"missing-vm":     strings.Replace(validSettings, "VM: vm-1\n", "", 1),
		"malformed":      validSettings + "  : : [\n",
		"empty":          "\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := parser.Parse([]byte(text))
			NewWithT(t).Expect(err).To(HaveOccurred())
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestSettingsPageIsUpToDate(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).
		Assert(t, "SETTINGS", []byte(parser.SettingsPage()))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("Callers: [1, {}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := parser.Parse(text)
		if err == nil && s.VM == "" {
			t.Fatal("settings without a VM were accepted")
		}
	})
}

func TestPlatformSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := parser.Load("../examples/platform/router.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Platform.Contact).To(Equal(3 * time.Second))
	text, err := os.ReadFile("../examples/platform/router.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	for from, want := range map[string]string{
		`Ready: "10.1.0.38:8141"`: "Ready is missing",
		"Contact: 3000ms":         "Contact: 1ms is not allowed",
		"ApplyWithin: 2000ms":     "ApplyWithin: 2ms is not allowed",
		"RetryRatio: 0.2":         "RetryRatio: 7 is not allowed",
		"MemoryMB: 134":           "MemoryMB: 0 is not allowed",
	} {
		bad := map[string]string{"Contact": "Contact: 1ms", "ApplyWithin": "ApplyWithin: 2ms", "RetryRatio": "RetryRatio: 7", "MemoryMB": "MemoryMB: 0", "Ready": "Ready: \"\""}
		name, _, _ := strings.Cut(from, ":")
		_, err := parser.Parse([]byte(strings.Replace(string(text), from, bad[name], 1)))
		g.Expect(err).To(MatchError(ContainSubstring(want)), from)
	}
	_, err = parser.Parse([]byte(strings.Split(string(text), "Platform:")[0]))
	g.Expect(err).To(MatchError(ContainSubstring("Keys is missing")))
}
