package limiter

import (
	"strings"
	"testing"
)

// TestHeadsAreRefusedByTheirLimitAndTheQuota guards against heads that are parsed though
// their lines take more memory than all heads may, and against a quota that isn't given back.
func TestHeadsAreRefusedByTheirLimitAndTheQuota(t *testing.T) {
	const limit = 16 << 10
	quota := Derive(32*Megabyte, 1024).Heads // The least that settings allow.
	cases := map[string]struct {
		text string
		want Verdict
	}{
		"ordinary":             {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", Accepted},
		"one-letter lines":     {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", limit/3), Accepted},
		"fields at the limit":  {"GET / HTTP/1.1\r\n" + strings.Repeat("x", limit), Accepted},
		"fields over it":       {"GET / HTTP/1.1\r\n" + strings.Repeat("x", limit+1), TooLarge},
		"request line over it": {strings.Repeat("x", limit+1), TooLarge},
		"more lines than fit":  {strings.Repeat("\n", limit), NoMemory},
	}
	for name, c := range cases {
		for _, size := range []int{1, 7, 4096, len(c.text)} {
			var h Head
			q, verdict := NewQuota(quota), Accepted
			for p := []byte(c.text); len(p) > 0 && verdict == Accepted; {
				n := min(size, len(p))
				verdict = h.Add(p[:n], limit, q)
				p = p[n:]
			}
			if verdict != c.want {
				t.Errorf("%s in pieces of %d: verdict %d, expected %d", name, size, verdict, c.want)
			}
			q.Release(h.Take())
			if left := q.Free(); left != quota {
				t.Errorf("%s in pieces of %d: %d bytes of the quota are left of %d", name, size, left, quota)
			}
		}
	}
}

// TestAnswerHeadsWithTooManyLinesAreRefused guards against a runner whose answers take more
// memory than their bytes, also by interim answers.
func TestAnswerHeadsWithTooManyLinesAreRefused(t *testing.T) {
	const status, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 102 Processing\r\n"
	cases := map[string]struct {
		text string
		want bool
	}{
		"few lines, then a body of lines": {status + "a: b\r\n\r\n" + strings.Repeat("x\n", 2*maxAnswerLines), true},
		"many lines":                      {status + strings.Repeat("a:\n", maxAnswerLines), false},
		"interim answers":                 {strings.Repeat(interim+"a: b\r\n\r\n", maxAnswerLines/3+1), false},
		"an interim answer and a body":    {interim + "\r\n" + status + "\r\n" + strings.Repeat("x\n", 2*maxAnswerLines), true},
	}
	for name, c := range cases {
		for _, size := range []int{1, 5, len(c.text)} {
			h, ok := answerHead{isOpen: true}, true
			for p := []byte(c.text); len(p) > 0 && ok; {
				n := min(size, len(p))
				ok = h.add(p[:n])
				p = p[n:]
			}
			if ok != c.want {
				t.Errorf("%s in pieces of %d: accepted %t", name, size, ok)
			}
		}
	}
}

// TestBoundsLeaveDescriptorsForOthers guards against callers that take the descriptors that
// their requests, the readiness check, the metrics and the store need.
func TestBoundsLeaveDescriptorsForOthers(t *testing.T) {
	for _, descriptors := range []int{64, 128, 1024, 20000, 1 << 20} {
		for _, memory := range []Bytes{0, 32 * Megabyte, 128 * Megabyte, 1 << 40} {
			b := Derive(memory, descriptors)
			if used := 2*b.Callers + 2*b.Control; used > descriptors-ownDescriptors || b.Callers < minConns || b.Control < minConns {
				t.Errorf("%d descriptors, %d bytes: %+v", descriptors, memory, b)
			}
			if memory > 0 && connCost*Bytes(b.Callers)+b.Heads > memory/2 {
				t.Errorf("%d descriptors, %d bytes: %+v", descriptors, memory, b)
			}
		}
	}
}
