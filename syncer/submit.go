package syncer

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// submit is a change on its way into the store. Only the first of the queue
// makes calls.
type submit struct {
	Submit
	// until is set when the change gets its turn.
	until    time.Time
	retryAt  time.Time
	failures int
	// raced counts the swaps that met another version, up to MaxRaced.
	raced int
	// calling says that a swap was sent and not answered.
	calling bool
	// uncertain says that a swap may have taken effect unseen.
	uncertain bool
	// read asks for a read before the next swap.
	read bool
}

// submit queues a change.
func (c *Core) submit(e Submit) {
	if len(c.submits) >= MaxSubmits {
		c.emit(Submitted{Token: e.Token, Result: ResultBusy})
		return
	}
	c.submits = append(c.submits, &submit{Submit: e})
}

// advanceSubmits moves the first change of the queue on.
func (c *Core) advanceSubmits(now time.Time) {
	for len(c.submits) > 0 {
		s := c.submits[0]
		if s.until.IsZero() {
			s.until = now.Add(SubmitTimeout)
			s.read = !c.known
		}
		if s.calling || c.mending {
			return
		}
		if !now.Before(s.until) {
			c.expireSubmit(s)
			continue
		}
		if now.Before(s.retryAt) || !c.trySubmit(now, s) {
			return
		}
	}
}

// trySubmit sends the next call of a change, or ends it without one. It
// returns whether the change has ended.
func (c *Core) trySubmit(now time.Time, s *submit) bool {
	if s.read {
		c.readForSubmit(now)
		return false
	}
	if c.document.Accepted(s.Change.ID) {
		c.accepted(now, s)
		return true
	}
	next, conflict := configurer.ApplyChange(c.document, s.Change)
	if conflict != nil {
		c.endSubmit(Submitted{Token: s.Token, Result: ResultConflict, Conflict: conflict})
		return true
	}
	value, err := configurer.Encode(next)
	if err != nil {
		c.endSubmit(Submitted{Token: s.Token, Result: ResultConflict, Conflict: tooLong(err)})
		return true
	}
	s.calling = true
	c.emit(SwapStore{Expected: c.version, Value: value})
	return false
}

func tooLong(err error) *configurer.Conflict {
	return &configurer.Conflict{
		Kind: configurer.ConflictInvalid, Field: "Document", Theirs: err.Error(),
		Next: "remove retired upstreams or unused classes first",
	}
}

// readForSubmit brings the next read forward.
func (c *Core) readForSubmit(now time.Time) {
	if c.poll.readAt.After(now) {
		c.poll.readAt = now
	}
}

// submitRead goes on after a read that succeeded.
func (c *Core) submitRead(now time.Time) {
	if len(c.submits) == 0 {
		return
	}
	s := c.submits[0]
	s.read = false
	s.retryAt = now
}

// submitUnread puts the next read of a change off after one that failed.
func (c *Core) submitUnread(now time.Time) {
	if len(c.submits) > 0 && c.submits[0].read {
		c.putOff(now, c.submits[0])
	}
}

// putOff waits before the next call of a change, which is a read.
func (c *Core) putOff(now time.Time, s *submit) {
	s.read = true
	s.failures++
	s.retryAt = now.Add(c.backoff(SubmitBackoff, WatcherPollEvery, s.failures))
}

// storeSwapped takes in the answer of a swap. A swap that was not written,
// or whose reply was lost, may still have taken effect earlier: the change's
// id in the document says so.
func (c *Core) storeSwapped(now time.Time, e StoreSwapped) {
	if c.mending {
		c.mended(now, e)
		return
	}
	if len(c.submits) == 0 || !c.submits[0].calling {
		return
	}
	s := c.submits[0]
	s.calling = false
	switch {
	case e.Err != nil:
		s.uncertain = s.uncertain || mayHaveTakenEffect(e.Err)
		c.putOff(now, s)
	case !e.Written:
		s.retryAt = now.Add(SubmitBackoff * time.Duration(s.raced) * c.within(time.Second) / time.Second)
		s.raced = min(s.raced+1, MaxRaced)
		c.fromStore(now, e.Entry)
	default:
		c.written(now, e.Entry)
	}
}

func mayHaveTakenEffect(err error) bool {
	return keeper.KindOf(err) == keeper.KindUnknown
}

// written puts a document that this VM wrote into force.
func (c *Core) written(now time.Time, e keeper.Entry) {
	c.known = true
	c.version = e.Version
	d, err := configurer.Decode(e.Value)
	if err != nil {
		c.emit(Rejected{Err: err})
		return
	}
	c.submits[0].retryAt = now
	c.adopt(d, e.Value, OriginSubmit)
}

// accepted answers a change that stands in the document in force.
func (c *Core) accepted(now time.Time, s *submit) {
	c.endSubmit(Submitted{Token: s.Token, Result: ResultAccepted, Revision: c.document.Revision})
	c.spreadAt = time.Time{}
	id := c.begin(now)
	if s.Wait {
		c.wait(now, s.Token, id)
	}
}

// expireSubmit ends a change whose time is over.
func (c *Core) expireSubmit(s *submit) {
	result := ResultStoreDown
	if s.uncertain {
		result = ResultUnknown
	}
	c.endSubmit(Submitted{Token: s.Token, Result: result})
}

func (c *Core) endSubmit(o Submitted) {
	c.submits = c.submits[1:]
	c.emit(o)
}

// submitAt is when the first change needs a wake.
func (c *Core) submitAt() time.Time {
	if len(c.submits) == 0 || c.submits[0].calling || c.mending {
		return time.Time{}
	}
	s := c.submits[0]
	if s.retryAt.After(s.until) || (s.read && c.poll.reading) {
		return s.until
	}
	return s.retryAt
}

// revisionOf reads the revision of an encoded document.
func revisionOf(value []byte) identifier.Revision {
	d, err := configurer.Decode(value)
	if err != nil {
		return 0
	}
	return d.Revision
}
