package outcomer_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/outcomer"
)

func TestOutcomesPageIsUpToDate(t *testing.T) {
	var b bytes.Buffer
	b.WriteString("# What becomes of a request\n\n")
	b.WriteString("Made from the package outcomer by `go test ./outcomer -update`; don't edit it.\n\n")
	fmt.Fprintf(&b, "Each reply that is no answer has the header `%s` and a JSON body\n", outcomer.HeaderRan)
	b.WriteString("`{\"Error\":{\"Reason\",\"Ran\",\"Message\",\"Request\",\"RetryAfterSeconds\"}}`. `No` is said only where\n")
	b.WriteString("it is proved; where an earlier attempt of the request may have run, any refusal says\n")
	b.WriteString("`Unknown` or `Yes`. A stream that ends early has the same object as its last event.\n")
	fmt.Fprintf(&b, "A plain service's own answer has `%s: Unknown` beside 408, 421, 429 and 503, by which callers\n", outcomer.HeaderRan)
	b.WriteString("might take the call for not run, and none beside other statuses.\n\n")
	b.WriteString("| Reason | Status | Ran | Retry-After | Meaning | What the caller should do |\n|---|---|---|---|---|---|\n")
	for _, o := range outcomer.All() {
		r := outcomer.Describe(o)
		retry := "no"
		if r.RetryAfter {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %s |\n", r.Reason, r.Status, r.Ran, retry, r.Meaning, r.Advice)
	}
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "OUTCOMES", b.Bytes())
}

// TestEveryOutcomeIsListed checks that All returns each type of the package's
// source that embeds sealed or waiting.
func TestEveryOutcomeIsListed(t *testing.T) {
	g := NewWithT(t)
	listed := map[string]bool{}
	for _, o := range outcomer.All() {
		listed[strings.TrimPrefix(fmt.Sprintf("%T", o), "outcomer.")] = true
	}
	files, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(HaveOccurred())
	found := 0
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if ok && spec.Name.IsExported() && spec.Name.Name != "Following" && embedsOutcome(spec) {
				found++
				g.Expect(listed).To(HaveKey(spec.Name.Name))
			}
			return true
		})
	}
	// Following has the row of another outcome and is not listed.
	g.Expect(found).To(Equal(len(listed)))
}

func embedsOutcome(spec *ast.TypeSpec) bool {
	s, ok := spec.Type.(*ast.StructType)
	if !ok {
		return false
	}
	for _, field := range s.Fields.List {
		name, ok := field.Type.(*ast.Ident)
		if ok && len(field.Names) == 0 && (name.Name == "sealed" || name.Name == "waiting") {
			return true
		}
	}
	return false
}

func TestRefusalIsWritten(t *testing.T) {
	g := NewWithT(t)
	o := outcomer.FromClaim(claimer.Result{Verdict: claimer.VerdictUnavailable, Reason: claimer.ReasonStoreDown}, 1200*time.Millisecond)
	w := httptest.NewRecorder()
	g.Expect(outcomer.Write(w, "r1", o)).To(Succeed())
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d\n", w.Code)
	g.Expect(w.Header().Write(&b)).To(Succeed())
	b.Write(w.Body.Bytes())
	goldie.New(t).Assert(t, "refusal", b.Bytes())
}

func TestUpstreamFailureSaysNotRunOnlyWhenProved(t *testing.T) {
	g := NewWithT(t)
	proved := map[driver.Kind]bool{driver.KindNotRun: true, driver.KindFull: true, driver.KindLeaving: true}
	for _, kind := range []driver.Kind{driver.KindNotRun, driver.KindFull, driver.KindLeaving, driver.KindGone, driver.KindUnknown, "New"} {
		for _, sent := range []bool{false, true} {
			ran := outcomer.Describe(outcomer.FromUpstream(kind, sent, time.Second)).Ran
			g.Expect(ran == outcomer.RanNo).To(Equal(proved[kind] && !sent), "%s %v", kind, sent)
		}
	}
}

func TestLaterRefusalDoesNotDenyAnEarlierRun(t *testing.T) {
	g := NewWithT(t)
	for _, o := range outcomer.All() {
		alone := outcomer.Describe(o)
		g.Expect(outcomer.WithEarlier(outcomer.RanNo, o)).To(Equal(o))
		later := outcomer.Describe(outcomer.WithEarlier(outcomer.RanUnknown, o))
		g.Expect(later.Ran).NotTo(Equal(outcomer.RanNo))
		g.Expect(later.Status).To(Equal(alone.Status))
		g.Expect(outcomer.Describe(outcomer.WithEarlier(outcomer.RanYes, o)).Ran).To(Equal(outcomer.RanYes))
	}
}
