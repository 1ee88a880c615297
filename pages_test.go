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
	// commandInPage finds a command line in a code span or block of a page.
	commandInPage = regexp.MustCompile("(?m)(?:`|^    |^- `)(?:go run \\. |figtrack )([a-z]+)([^`\\n]*)")
	optionInPage  = regexp.MustCompile(`--([a-z][a-z-]*)`)
	exampleInPage = regexp.MustCompile(`examples/[a-z]+/[a-z0-9-]+\.yaml`)
)

// TestPagesNameCommandsOptionsAndFilesThatExist runs the help of every command
// that a page shows and looks for each option that it is shown with.
func TestPagesNameCommandsOptionsAndFilesThatExist(t *testing.T) {
	g := NewWithT(t)
	pages, err := filepath.Glob("docs/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	pages = append(pages, "README.md", "CHANGELOG.md", "CONTRIBUTING.md")
	names := append(commandNames(), "completion")
	shown := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		for _, found := range commandInPage.FindAllStringSubmatch(string(text), -1) {
			g.Expect(slices.Contains(names, found[1])).To(BeTrue(), "%s: figtrack %s", page, found[1])
			shown++
			help, _, status := figtrack(found[1], "--help")
			g.Expect(status).To(Equal(exitOK), found[1])
			for _, option := range optionInPage.FindAllStringSubmatch(found[2], -1) {
				if option[1] != "help" {
					g.Expect(help).To(ContainSubstring("--"+option[1]), "%s: %s", page, strings.TrimSpace(found[0]))
				}
			}
		}
		for _, file := range exampleInPage.FindAllString(string(text), -1) {
			_, stderr, status := figtrack("check", file)
			g.Expect(status).To(Equal(exitOK), "%s: %s", page, stderr)
		}
	}
	g.Expect(shown).To(BeNumerically(">", 20))
}
