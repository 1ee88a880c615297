package reaper

import (
	"container/list"
	"net"
)

// Accept accepts a connection of l that the reaper ends. Others may embed it. While MaxConns
// are open it ends one that has no request, or else closes the new one.
func (r *Reaper) Accept(l net.Listener) (*Conn, error) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return nil, err
		}
		if c := r.wrap(raw); r.admit() {
			return c, nil
		}
		r.count(ReasonNoConnection)
		_ = raw.Close() // Nothing was read or written.
	}
}

// admit counts a connection, and reports whether there is room for it.
func (r *Reaper) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.MaxConns > 0 && r.open >= r.cfg.MaxConns && !r.evictLocked() {
		return false
	}
	r.open++
	return true
}

// evictLocked ends a connection without a request: one that never had any, or else an idle
// one. r.mu must be held.
func (r *Reaper) evictLocked() bool {
	for r.fresh.Len() > 0 {
		c := r.unqueueLocked(r.fresh.Front().Value.(*Conn))
		if c.framing.cut() {
			_ = c.Close() // The read that waits for its first request fails.
			r.forgetLocked(c)
			r.count(ReasonEvictedUnused)
			return true
		}
	}
	for r.idle.Len() > 0 {
		c := r.unqueueLocked(r.idle.Front().Value.(*Conn))
		c.step(evicted{})
		if !c.isUnsettled() {
			r.forgetLocked(c)
			r.count(ReasonEvictedIdle)
			return true
		}
	}
	return false
}

// forgetLocked stops counting a connection that is about to end. r.mu must be held.
func (r *Reaper) forgetLocked(c *Conn) {
	if !c.isForgotten {
		c.isForgotten = true
		r.open--
	}
}

// remove forgets a connection that has ended.
func (r *Reaper) remove(c *Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unqueueLocked(c)
	r.forgetLocked(c)
	delete(r.conns, c)
}

func (r *Reaper) queue(c *Conn, q *list.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueLocked(c, q)
}

func (r *Reaper) queueLocked(c *Conn, q *list.List) {
	r.unqueueLocked(c)
	c.queue, c.element = q, q.PushBack(c)
}

func (r *Reaper) unqueue(c *Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unqueueLocked(c)
}

func (r *Reaper) unqueueLocked(c *Conn) *Conn {
	if c.element != nil {
		c.queue.Remove(c.element)
		c.queue, c.element = nil, nil
	}
	return c
}

func (r *Reaper) count(by Reason) {
	if r.cfg.Counter != nil {
		r.cfg.Counter.Refused(by)
	}
}
