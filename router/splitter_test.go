package router

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
		var s splitter
		s.push([]byte(text))
		if got := s.isInsideEvent(); got != want {
			t.Errorf("isInsideEvent is %v after %q", got, text)
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
		var s splitter
		var got strings.Builder
		for left := text; left != ""; {
			k := rapid.IntRange(1, len(left)).Draw(t, "cut")
			part := s.push([]byte(left[:k]))
			if len(part) > 0 && !strings.HasSuffix(string(part), "\n\n") {
				t.Fatalf("push returned an incomplete event: %q", part)
			}
			got.Write(part)
			left = left[k:]
		}
		if n > 0 && s.lastID != fmt.Sprint(n) {
			t.Fatalf("id of the last event is %q, want %d", s.lastID, n)
		}
		if got.String()+string(s.remainder()) != text {
			t.Fatalf("stream %q was passed on as %q", text, got.String()+string(s.remainder()))
		}
	})
}
