// Package limiter bounds what clients cost a process: the memory of request heads, counted
// before they are parsed, and the number of connections.
package limiter

import (
	"bytes"
	"sync/atomic"
	"syscall"
)

// Bytes is an amount of memory.
type Bytes int64

// Megabyte is the unit of memory in the settings.
const Megabyte Bytes = 1 << 20

const (
	// freeBytes and freeLines are the size of a head that takes nothing of the quota: it is
	// part of the memory of its connection, and heads of ordinary callers are smaller. A
	// quota that is used up refuses only what is larger.
	freeBytes, freeLines = 4 << 10, 32
	// byteCost is the memory for a byte of a head: the copy that is searched for its framing,
	// whose buffer doubles, and that of net/http.
	byteCost Bytes = 3
	// lineCost is the memory for a line. A head of 3,000 distinct names took 240 bytes a line
	// with its handler waiting, and each call to a runner copies the fields.
	lineCost Bytes = 512
	// connCost is the memory for a connection with a head of the free size.
	connCost Bytes = 32 << 10
	// headRatio and connRatio are the ratios of the memory of the process for the heads
	// beyond their free size and for callers' connections.
	headRatio, connRatio = 0.1, 0.25
	// defaultHeadMemory is the memory for heads if that of the process isn't set.
	defaultHeadMemory Bytes = 16 << 20
	// callerRatio and controlRatio are the ratios of the descriptors, less ownDescriptors,
	// for callers' connections and for each listener of another kind. Each request of a
	// caller may need a connection to a runner.
	callerRatio, controlRatio = 0.4, 1.0 / 16
	// ownDescriptors is for files, listeners and the connections to the store.
	ownDescriptors = 32
	// maxControlConns bounds the connections of a listener that isn't for callers.
	maxControlConns = 64
	// minConns is the lowest bound on the connections of a listener.
	minConns = 4
)

// Bounds are the bounds of a process.
type Bounds struct {
	// Heads is the memory for the heads of requests, beyond their free size.
	Heads Bytes
	// Callers and Control bound the connections of callers and those of each other listener.
	Callers, Control int
}

// Derive returns the bounds of a process with the given memory, zero if it isn't set, and
// descriptor limit.
func Derive(memory Bytes, descriptors int) Bounds {
	left := float64(max(0, descriptors-ownDescriptors))
	b := Bounds{
		Heads:   defaultHeadMemory,
		Callers: max(minConns, int(callerRatio*left)),
		Control: max(minConns, min(maxControlConns, int(controlRatio*left))),
	}
	if memory > 0 {
		b.Heads = Bytes(headRatio * float64(memory))
		b.Callers = max(minConns, min(b.Callers, int(connRatio*float64(memory/connCost))))
	}
	return b
}

// WithSettings returns the bounds with those that are set; zero for those that aren't.
func (b Bounds) WithSettings(heads Bytes, callers int) Bounds {
	if heads > 0 {
		b.Heads = heads
	}
	if callers > 0 {
		b.Callers = callers
	}
	return b
}

// assumedDescriptors is the descriptor limit if the system doesn't tell it.
const assumedDescriptors = 1024

// Descriptors returns the descriptor limit of this process.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// Quota is the memory that the heads on all connections share. A nil Quota has no bound.
type Quota struct{ free atomic.Int64 }

// NewQuota returns a quota of n bytes.
func NewQuota(n Bytes) *Quota {
	q := &Quota{}
	q.free.Store(int64(n))
	return q
}

func (q *Quota) tryAcquire(n Bytes) bool {
	if q == nil || n == 0 {
		return true
	}
	if q.free.Add(int64(-n)) < 0 {
		q.free.Add(int64(n))
		return false
	}
	return true
}

// Free returns the memory that is left.
func (q *Quota) Free() Bytes { return Bytes(q.free.Load()) }

// Release gives memory back.
func (q *Quota) Release(n Bytes) {
	if q != nil {
		q.free.Add(int64(n))
	}
}

// Verdict is what becomes of a head.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota
	// TooLarge means that the head is longer than its limit.
	TooLarge
	// NoMemory means that the quota has no memory for the head.
	NoMemory
)

// Head is the size of one request head, as far as it was read.
type Head struct {
	// first is the length of the request line, fields the length of the lines after it.
	first, fields int
	// lines counts the ends of lines.
	lines int
	// acquired is what the head has taken of the quota.
	acquired Bytes
}

// Add counts bytes of the head. Neither its request line nor its fields may be longer than
// limit; zero for no limit.
func (h *Head) Add(p []byte, limit int, q *Quota) Verdict {
	if h.lines == 0 {
		n := bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			n = len(p)
		} else {
			h.lines++
		}
		h.first, p = h.first+n, p[n:]
	}
	h.fields += len(p)
	h.lines += bytes.Count(p, []byte{'\n'})
	if limit > 0 && max(h.first, h.fields) > limit {
		return TooLarge
	}
	more := h.cost() - h.acquired
	if !q.tryAcquire(more) {
		return NoMemory
	}
	h.acquired += more
	return Accepted
}

func (h *Head) cost() Bytes {
	return byteCost*Bytes(max(0, h.first+h.fields-freeBytes)) + lineCost*Bytes(max(0, h.lines-freeLines))
}

// Take returns what the head has taken of the quota, for its caller to release, and begins
// the next head.
func (h *Head) Take() Bytes {
	n := h.acquired
	*h = Head{}
	return n
}
