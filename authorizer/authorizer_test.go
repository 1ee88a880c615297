package authorizer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/authorizer"
	"github.com/figtrack/figtrack/identifier"
)

func newTable(t rapid.TB, all ...authorizer.Workspace) *authorizer.Table {
	table, err := authorizer.New(all)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func withKeys(id string, texts ...string) authorizer.Workspace {
	w := authorizer.Workspace{ID: identifier.Workspace(id)}
	for _, text := range texts {
		w.Keys = append(w.Keys, authorizer.NewKey(text))
	}
	return w
}

// TestLookupFindsExactlyTheKeysOfAWorkspace guards against a key that names another
// workspace, or one that is accepted without being listed.
func TestLookupFindsExactlyTheKeysOfAWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfNDistinct(rapid.StringN(1, 12, -1), 1, 60, rapid.ID).Draw(t, "keys")
		listed := rapid.IntRange(0, len(texts)).Draw(t, "listed")
		size := rapid.IntRange(1, 5).Draw(t, "size")
		var all []authorizer.Workspace
		owners := map[string]identifier.Workspace{}
		for keys := range slices.Chunk(texts[:listed], size) {
			w := withKeys(fmt.Sprint("w", len(all)), keys...)
			all = append(all, w)
			for _, text := range keys {
				owners[text] = w.ID
			}
		}
		table := newTable(t, all...)
		for _, text := range append(texts, "") {
			w, ok := table.Lookup(authorizer.NewKey(text))
			if owner, isListed := owners[text]; ok != isListed || w.ID != owner {
				t.Fatalf("key %q is found as %v of %q, expected of %q", text, ok, w.ID, owner)
			}
		}
		if n := len(slices.Collect(table.All())); n != len(all) {
			t.Fatalf("%d of %d workspaces", n, len(all))
		}
	})
}

// TestLookupDoesNotGrowWithTheTable guards against a search through all workspaces, which
// would show as allocations, or as time in BenchmarkLookup.
func TestLookupDoesNotGrowWithTheTable(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1, 3500} {
		table := newTable(t, workspaces(n)...)
		known, unknown := authorizer.NewKey(fmt.Sprint("key-", n-1)), authorizer.NewKey("other")
		g.Expect(testing.AllocsPerRun(100, func() {
			table.Lookup(known)
			table.Lookup(unknown)
		})).To(BeZero())
		w, ok := table.Lookup(known)
		g.Expect(ok).To(BeTrue())
		g.Expect(w.ID).To(Equal(identifier.Workspace(fmt.Sprint("w", n-1))))
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{1, 350, 3500, 35000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(b, workspaces(n)...)
			for i := 0; b.Loop(); i++ {
				table.Lookup(authorizer.NewKey(fmt.Sprint("key-", i%(2*n))))
			}
		})
	}
}

func workspaces(n int) (all []authorizer.Workspace) {
	for i := range n {
		all = append(all, withKeys(fmt.Sprint("w", i), fmt.Sprint("key-", i)))
	}
	return all
}

func TestAmbiguousTablesAreRefused(t *testing.T) {
	g := NewWithT(t)
	negative := withKeys("a")
	negative.Quota.Rate = -1
	unbounded := withKeys("a")
	unbounded.Quota.Burst = math.Inf(1)
	for _, c := range []struct {
		all   []authorizer.Workspace
		fault string
	}{
		{[]authorizer.Workspace{withKeys("a", "k1"), withKeys("b", "k2", "k1")}, `key 2 of workspace "b" is also a key of workspace "a"`},
		{[]authorizer.Workspace{withKeys("a", "k1"), withKeys("a", "k2")}, `workspace "a" is named twice`},
		{[]authorizer.Workspace{withKeys("", "k1")}, "workspace 1 has no name"},
		{[]authorizer.Workspace{withKeys("a", "")}, `key 1 of workspace "a" is empty`},
		{[]authorizer.Workspace{negative}, "at least 0"},
		{[]authorizer.Workspace{unbounded}, "at least 0"},
	} {
		_, err := authorizer.New(c.all)
		g.Expect(err).To(MatchError(ContainSubstring(c.fault)))
		g.Expect(fmt.Sprintf("%+v", err)).NotTo(ContainSubstring("k1"))
	}
	newTable(t, withKeys("a", "k1", "k1"), withKeys("b")) // Neither is ambiguous.
}

// TestKeysPrintAsRedacted guards against keys, or digests of them, in logs and errors.
func TestKeysPrintAsRedacted(t *testing.T) {
	g := NewWithT(t)
	k := authorizer.NewKey("secret")
	type outer struct {
		Key    authorizer.Key
		hidden authorizer.Key
		Keys   []authorizer.Key
		Map    map[string]authorizer.Key
		Ptr    *authorizer.Key
	}
	all := outer{k, k, []authorizer.Key{k}, map[string]authorizer.Key{"a": k}, &k}
	var text strings.Builder
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
		fmt.Fprintf(&text, verb+"\n", k)
		fmt.Fprintf(&text, verb+"\n", all)
		fmt.Fprintf(&text, verb+"\n", &all)
	}
	printed, err := json.Marshal(all)
	g.Expect(err).NotTo(HaveOccurred())
	text.Write(printed)
	printed, err = json.Marshal(map[authorizer.Key]int{k: 1})
	g.Expect(err).NotTo(HaveOccurred())
	text.Write(printed)
	var log bytes.Buffer
	l := zerolog.New(&log)
	l.Info().Interface("Key", k).Object("Object", k).Stringer("Text", k).Any("All", all).Msg(fmt.Sprint(k))
	text.Write(log.Bytes())
	g.Expect(strings.Count(text.String(), "redacted")).To(BeNumerically(">", 40))
	for _, form := range []string{"secret", "2bb80d53", "2BB80D53", "43, 184, 13", "43 184 13", "0x2b, 0xb8"} { // The digest of it; "0x2b" alone also begins heap addresses.
		g.Expect(text.String()).NotTo(ContainSubstring(form))
	}
}

// TestCost guards against requests that lower what their workspace uses.
func TestCost(t *testing.T) {
	g := NewWithT(t)
	tokens := authorizer.Quota{Unit: authorizer.UnitTokens, Plain: 200}
	for _, c := range []struct {
		q             authorizer.Quota
		input, output identifier.Tokens
		want          float64
	}{
		{tokens, 3200, 800, 4000},
		{tokens, 0, 800, 800},
		{tokens, 0, 0, 200},
		{tokens, -3200, 800, 800},
		{tokens, -5, -5, 200},
		{tokens, math.MaxInt, math.MaxInt, 2 * math.MaxInt},
		{authorizer.Quota{Unit: "request", Plain: 200}, 3200, 800, 1},
		{authorizer.Quota{}, 0, 0, 1},
	} {
		g.Expect(c.q.Cost(c.input, c.output)).To(Equal(c.want), "%+v", c)
	}
}
