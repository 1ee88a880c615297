package messenger

import "github.com/figtrack/figtrack/identifier"

const (
	// windowMessages is how far behind the newest message one may arrive.
	windowMessages = 4096
	wordBits       = 64
)

// window remembers which sequence numbers of one peer have been seen.
type window struct {
	incarnation identifier.Incarnation
	// highest is the highest number seen in incarnation.
	highest identifier.Sequence
	// bits has one bit for each of the last windowMessages numbers.
	bits [windowMessages / wordBits]uint64
}

// add records a message. It returns false for a message that was seen before,
// is too old to tell, or comes from an earlier start of the peer.
func (w *window) add(incarnation identifier.Incarnation, n identifier.Sequence) bool {
	if incarnation < w.incarnation || n == 0 {
		return false
	}
	if incarnation > w.incarnation {
		*w = window{incarnation: incarnation}
	}
	if n+windowMessages <= w.highest {
		return false
	}
	w.advance(n)
	word, bit := place(n)
	if w.bits[word]&bit != 0 {
		return false
	}
	w.bits[word] |= bit
	return true
}

// advance clears the places of the numbers that the window moves over.
func (w *window) advance(n identifier.Sequence) {
	if n <= w.highest {
		return
	}
	if n-w.highest >= windowMessages {
		w.bits = [windowMessages / wordBits]uint64{}
		w.highest = n
		return
	}
	for w.highest < n {
		w.highest++
		word, bit := place(w.highest)
		w.bits[word] &^= bit
	}
}

func place(n identifier.Sequence) (word int, bit uint64) {
	i := n % windowMessages
	return int(i / wordBits), 1 << (i % wordBits)
}
