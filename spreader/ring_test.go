package spreader_test

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/spreader"
)

// ringGraph is a diamond ring of VMs 0 to n-1 with VM 0 as the root: a scatter
// tree, chains of centre VMs, and a mirrored gather tree.
type ringGraph struct{ next, previous [][]int }

// addEdge adds an edge unless it exists: empty centre chains share the edge from
// the last scatter VM to the first gather VM.
func (g *ringGraph) addEdge(a, b int) {
	if slices.Contains(g.next[a], b) {
		return
	}
	g.next[a] = append(g.next[a], b)
	g.previous[b] = append(g.previous[b], a)
}

// newGraph builds a ring of arity k. It has the smallest depth that leaves 0 to 2
// VMs for each centre chain.
func newGraph(n, k int) *ringGraph {
	g := &ringGraph{next: make([][]int, n), previous: make([][]int, n)}
	leaves, treeVMs := 1, 0
	for size := func(leaves, tree int) int { return 1 + 2*tree + leaves }; ; {
		if n <= size(leaves, treeVMs)+leaves {
			break
		}
		if leaves > 1 {
			treeVMs += leaves
		}
		leaves *= k
	}
	used := 1
	nextVM := func() int { used++; return used - 1 }
	scatter, gather := []int{0}, []int{0}
	for width := k; width < leaves; width *= k {
		down, up := make([]int, 0, width), make([]int, 0, width)
		for i := range width {
			s, t := nextVM(), nextVM()
			g.addEdge(scatter[i/k], s)
			g.addEdge(t, gather[i/k])
			down, up = append(down, s), append(up, t)
		}
		scatter, gather = down, up
	}
	centre := n - used
	for i := range leaves {
		length := (i+1)*centre/leaves - i*centre/leaves
		at := scatter[i*len(scatter)/leaves]
		for range length {
			c := nextVM()
			g.addEdge(at, c)
			at = c
		}
		if at != 0 {
			g.addEdge(at, gather[i*len(gather)/leaves])
		}
	}
	return g
}

// hop is a message on one edge that waits for its acknowledgement.
type hop struct {
	from, to int
	sends    int
	acked    bool
}

// ringSpread runs one diamond ring spread in a network. A VM forwards the payload
// when it has received it from all its predecessors. Each hop is acknowledged and
// repeated like a push of the tree. A failed hop is reported to the root, which
// then falls back to direct fan-out.
type ringSpread struct {
	net      *network
	graph    *ringGraph
	received []map[int]bool
	failed   bool
	begun    time.Time
	done     func(failed bool)
}

func (r *ringSpread) start() {
	r.received = make([]map[int]bool, len(r.graph.next))
	for i := range r.received {
		r.received[i] = map[int]bool{}
	}
	r.forward(0)
}

func (r *ringSpread) forward(from int) {
	for _, to := range r.graph.next[from] {
		r.sendHop(&hop{from: from, to: to})
	}
}

func (r *ringSpread) sendHop(h *hop) {
	if h.acked || r.failed {
		return
	}
	if h.sends >= spreader.MaxTries {
		r.net.send(h.from, 0, envelopeBytes, func() { r.fail() })
		r.net.after(h.from, spreader.RetryAfter, func() { r.sendHop(h) })
		return
	}
	h.sends++
	r.net.send(h.from, h.to, r.net.payload+envelopeBytes, func() { r.receive(h) })
	r.net.after(h.from, spreader.RetryAfter, func() { r.sendHop(h) })
}

func (r *ringSpread) receive(h *hop) {
	r.net.send(h.to, h.from, envelopeBytes, func() { h.acked = true })
	if r.received[h.to][h.from] {
		return
	}
	r.received[h.to][h.from] = true
	if len(r.received[h.to]) < len(r.graph.previous[h.to]) || r.failed {
		return
	}
	if h.to == 0 {
		r.done(false)
		return
	}
	r.forward(h.to)
}

func (r *ringSpread) fail() {
	if r.failed {
		return
	}
	r.failed = true
	r.done(true)
}
