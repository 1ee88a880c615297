package main

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// platformNamePattern matches names of the protocol of the users' platform. Only
// its adapter, the package platform, may contain them.
var platformNamePattern = regexp.MustCompile(`X-(Tenant|Kv|Stage|Expect|Not-Executed|Response-Seal|Deadline-Ms|Token-Usage|Prompt-Prefix|Pin-Ms|Length-Hint|Weight-Versions|Request-Priority)` +
	`|/-/(kv|hold|order|report|readiness)|op/config|"servers/|kvCapacity|fencingToken|backend"|sloMs|maxAttempts"|coldLeftMs|tombstone|createRev|asOf"|apiKeys|ratePerS|token_stream`)

func TestPlatformsNamesStayInItsAdapter(t *testing.T) {
	g := NewWithT(t)
	out, err := exec.Command("git", "ls-files", "*.go").Output()
	g.Expect(err).NotTo(HaveOccurred())
	files := strings.Fields(string(out))
	g.Expect(len(files)).To(BeNumerically(">", 100))
	for _, file := range files {
		if strings.HasPrefix(file, "platform/") || file == "names_test.go" {
			continue
		}
		text, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(platformNamePattern.FindAllString(string(text), -1)).To(BeEmpty(), file)
	}
}
