package messenger

import "github.com/figtrack/figtrack/identifier"

const (
	// windowMessages is the size of the replay window: a message is refused if
	// its sequence number is this much below the highest one, or more.
	windowMessages = 4096
	wordBits       = 64
)

// replayWindow records which sequence numbers of one peer have
// been received.
type replayWindow struct {
	incarnation identifier.Incarnation
	// highest is the highest sequence number received in incarnation.
	highest identifier.Sequence
	// bits has one bit for each of the windowMessages numbers up to highest, set
	// once the number was received.
	bits [windowMessages / wordBits]uint64
}

// add records a sequence number as received. It returns false if the number was
// received before, is 0 or below the window, or belongs to an earlier
// incarnation of the peer.
func (w *replayWindow) add(incarnation identifier.Incarnation, n identifier.Sequence) bool {
	if incarnation < w.incarnation || n == 0 {
		return false
	}
	if incarnation > w.incarnation {
		*w = replayWindow{incarnation: incarnation}
	}
	if n+windowMessages <= w.highest {
		return false
	}
	w.advance(n)
	word, bit := bitPosition(n)
	if w.bits[word]&bit != 0 {
		return false
	}
	w.bits[word] |= bit
	return true
}

// advance moves the window up to n, if that is higher, and clears the bits of
// the numbers that enter it.
func (w *replayWindow) advance(n identifier.Sequence) {
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
		word, bit := bitPosition(w.highest)
		w.bits[word] &^= bit
	}
}

// bitPosition returns the position of a number's bit in replayWindow.bits.
func bitPosition(n identifier.Sequence) (word int, bit uint64) {
	i := n % windowMessages
	return int(i / wordBits), 1 << (i % wordBits)
}
