package spreader_test

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/spreader"
)

// graph is a diamond ring of VMs 0 to n-1 with VM 0 as the root: a tree that
// scatters, chains of centre VMs, and the mirrored tree that gathers.
type graph struct{ next, previous [][]int }

// edge adds an edge once: where a centre chain is empty, several chains
// share the edge from the last scatter VM to the first gather VM.
func (g *graph) edge(a, b int) {
	if slices.Contains(g.next[a], b) {
		return
	}
	g.next[a] = append(g.next[a], b)
	g.previous[b] = append(g.previous[b], a)
}

// newGraph builds the ring of arity k with the depth that fits n best. What
// is left over goes into the centre chains, of 0 to 2 VMs each.
func newGraph(n, k int) *graph {
	g := &graph{next: make([][]int, n), previous: make([][]int, n)}
	leaves, tree := 1, 0
	for size := func(leaves, tree int) int { return 1 + 2*tree + leaves }; ; {
		if n <= size(leaves, tree)+leaves {
			break
		}
		if leaves > 1 {
			tree += leaves
		}
		leaves *= k
	}
	used := 1
	take := func() int { used++; return used - 1 }
	scatter, gather := []int{0}, []int{0}
	for width := k; width < leaves; width *= k {
		down, up := make([]int, 0, width), make([]int, 0, width)
		for i := range width {
			s, t := take(), take()
			g.edge(scatter[i/k], s)
			g.edge(t, gather[i/k])
			down, up = append(down, s), append(up, t)
		}
		scatter, gather = down, up
	}
	centre := n - used
	for i := range leaves {
		length := (i+1)*centre/leaves - i*centre/leaves
		at := scatter[i*len(scatter)/leaves]
		for range length {
			c := take()
			g.edge(at, c)
			at = c
		}
		if at != 0 {
			g.edge(at, gather[i*len(gather)/leaves])
		}
	}
	return g
}

// hop is one message on an edge that waits for its acknowledgement.
type hop struct {
	from, to int
	tries    int
	acked    bool
}

// ring runs one diamond ring spread in a network. A VM passes the payload on
// when all VMs before it have passed it. Each hop is acknowledged and
// repeated like a push of the tree; a hop that fails is told to the root,
// which then spreads directly.
type ring struct {
	net    *network
	graph  *graph
	heard  []map[int]bool
	failed bool
	begun  time.Time
	done   func(failed bool)
}

func (r *ring) start() {
	r.heard = make([]map[int]bool, len(r.graph.next))
	for i := range r.heard {
		r.heard[i] = map[int]bool{}
	}
	r.forward(0)
}

func (r *ring) forward(from int) {
	for _, to := range r.graph.next[from] {
		r.try(&hop{from: from, to: to})
	}
}

func (r *ring) try(h *hop) {
	if h.acked || r.failed {
		return
	}
	if h.tries >= spreader.Tries {
		r.net.send(h.from, 0, envelopeBytes, func() { r.fail() })
		r.net.after(h.from, spreader.RetryAfter, func() { r.try(h) })
		return
	}
	h.tries++
	r.net.send(h.from, h.to, r.net.payload+envelopeBytes, func() { r.receive(h) })
	r.net.after(h.from, spreader.RetryAfter, func() { r.try(h) })
}

func (r *ring) receive(h *hop) {
	r.net.send(h.to, h.from, envelopeBytes, func() { h.acked = true })
	if r.heard[h.to][h.from] {
		return
	}
	r.heard[h.to][h.from] = true
	if len(r.heard[h.to]) < len(r.graph.previous[h.to]) || r.failed {
		return
	}
	if h.to == 0 {
		r.done(false)
		return
	}
	r.forward(h.to)
}

func (r *ring) fail() {
	if r.failed {
		return
	}
	r.failed = true
	r.done(true)
}
