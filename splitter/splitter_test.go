package splitter

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "32") }

// TestSplitterFindsAnUnfinishedEvent covers the ends of streams, with and
// without carriage returns.
func TestSplitterFindsAnUnfinishedEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"":                                    false,
		"id: 1\ndata: a\n\n":                  false,
		"id: 1\ndata: a\n\n\n":                false,
		"id: 1\ndata: a\n\n: ping\n":          false,
		"id: 1\r\ndata: a\r\n\r\n":            false,
		"id: 1\ndata: a\n\n: pi":              true,
		"id: 1\ndata: a\n":                    true,
		"id: 1\ndata: a\n\nid: 2\nda":         true,
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\n":   true,
		"id: 1\ndata: a\n\n: ping\ndata: b\n": true,
	} {
		var s Splitter
		s.Push([]byte(text))
		if got := s.IsInsideEvent(); got != want {
			t.Errorf("IsInsideEvent is %v after %q", got, text)
		}
	}
}

// TestSplitterPassesOnWholeEvents pushes a stream in parts that end at
// arbitrary places.
func TestSplitterPassesOnWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole strings.Builder
		n := rapid.IntRange(0, 12).Draw(t, "events")
		for i := 1; i <= n; i++ {
			fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", i, rapid.StringMatching(`[a-z ]{0,20}`).Draw(t, "data"))
		}
		text := whole.String() + rapid.SampledFrom([]string{"", "id: 99\nda", "\n"}).Draw(t, "rest")
		var s Splitter
		var got strings.Builder
		for left := text; left != ""; {
			k := rapid.IntRange(1, len(left)).Draw(t, "cut")
			part := s.Push([]byte(left[:k]))
			if len(part) > 0 && !strings.HasSuffix(string(part), "\n\n") {
				t.Fatalf("Push returned an incomplete event: %q", part)
			}
			got.Write(part)
			left = left[k:]
		}
		if n > 0 && s.LastID() != fmt.Sprint(n) {
			t.Fatalf("id of the last event is %q, want %d", s.LastID(), n)
		}
		if got.String()+string(s.Remainder()) != text {
			t.Fatalf("stream %q was passed on as %q", text, got.String()+string(s.Remainder()))
		}
	})
}

// TestSplitterPassesOnCommentsAtOnce covers comments that keep a connection open.
func TestSplitterPassesOnCommentsAtOnce(t *testing.T) {
	var s Splitter
	if got := string(s.Push([]byte(": ping\n\nid: 1\n"))); got != ": ping\n\n" || s.HasEvent() {
		t.Errorf("Push returned %q, HasEvent %v", got, s.HasEvent())
	}
}
