package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var (
	// commandPattern matches a command line in a code span or block of a page.
	commandPattern = regexp.MustCompile("(?m)(?:`|^    |^- `)(?:go run \\. |figtrack )([a-z]+)([^`\\n]*)")
	optionPattern  = regexp.MustCompile(`--([a-z][a-z-]*)`)
	examplePattern = regexp.MustCompile(`examples/[a-z]+/[a-z0-9-]+\.yaml`)
)

// TestDocumentedCommandsOptionsAndFilesExist checks each command line in the
// documentation against the --help output of its command, and each example file
// named there with figtrack check.
func TestDocumentedCommandsOptionsAndFilesExist(t *testing.T) {
	g := NewWithT(t)
	pages, err := filepath.Glob("docs/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	pages = append(pages, "README.md", "CHANGELOG.md", "CONTRIBUTING.md")
	names := append(commandNames(), "completion")
	commandCount := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		for _, match := range commandPattern.FindAllStringSubmatch(string(text), -1) {
			g.Expect(slices.Contains(names, match[1])).To(BeTrue(), "%s: figtrack %s", page, match[1])
			commandCount++
			help, _, status := figtrack(match[1], "--help")
			g.Expect(status).To(Equal(exitOK), match[1])
			for _, option := range optionPattern.FindAllStringSubmatch(match[2], -1) {
				if option[1] != "help" {
					g.Expect(help).To(ContainSubstring("--"+option[1]), "%s: %s", page, strings.TrimSpace(match[0]))
				}
			}
		}
		for _, file := range examplePattern.FindAllString(string(text), -1) {
			_, stderr, status := figtrack("check", file)
			g.Expect(status).To(Equal(exitOK), "%s: %s", page, stderr)
		}
	}
	g.Expect(commandCount).To(BeNumerically(">", 20))
}
