package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// exportTimeout is the deadline of a call from engine to engine.
const exportTimeout = 2 * time.Second

// exportOrder asks a prefill engine for a result that must live.
type exportOrder struct {
	Hold identifier.Hold
	// Ended says that the KV cache is over and the result is not needed.
	Ended bool
}

// exportReply stands for the KV cache: all that the stand-in needs of it.
type exportReply struct {
	Prompt    string
	MaxOutput identifier.Tokens
}

func (l *engineLife) load(struct{}) (driver.Load, *driver.Refusal) {
	reading := l.core.Load(time.Now())
	return driver.Load{
		Incarnation: l.incarnation,
		At:          reading.At,
		Running:     reading.Running,
		Queued:      reading.Queued,
		FreePieces:  reading.FreePieces,
		Leaving:     l.isLeaving(),
		Role:        l.serves.Role,
		Models:      l.serves.Models,
	}, nil
}

func (l *engineLife) cacheEvents(query driver.CacheQuery) ([]driver.CacheEvent, *driver.Refusal) {
	events := make([]driver.CacheEvent, 0, len(l.events))
	for _, event := range l.events {
		if event.Sequence > query.After {
			events = append(events, event)
		}
	}
	return events, nil
}

func (l *engineLife) holds(struct{}) (driver.Holds, *driver.Refusal) {
	holds := driver.Holds{Incarnation: l.incarnation}
	for _, hold := range l.core.Holds() {
		if job := l.jobs[hold]; job != nil {
			holds.Holds = append(holds.Holds, driver.HoldState{Hold: hold, Pieces: job.pieces, Since: job.since})
		}
	}
	return holds, nil
}

// order applies an order. A new role starts an empty engine, so it is taken
// only when nothing is held.
func (l *engineLife) order(order driver.Order) (driver.OrderResult, *driver.Refusal) {
	if l.cfg.ChecksFence && order.Fence < l.serves.Highest {
		refused := l.serves
		refused.Refused = true
		return refused, nil
	}
	l.apply(order)
	return l.serves, nil
}

func (l *engineLife) apply(order driver.Order) {
	if l.cfg.ChecksFence {
		l.serves.Highest = order.Fence
	}
	if order.Models != nil {
		l.serves.Models = slices.Clone(order.Models)
	}
	if order.Version != "" {
		l.serves.Version = order.Version
	}
	if order.Role != "" && order.Role != l.serves.Role && len(l.core.Holds()) == 0 {
		cfg := l.cfg
		cfg.Role = order.Role
		l.serves.Role = order.Role
		l.core = NewEngine(cfg, l.core.rng)
	}
}

func (l *engineLife) prefill(order driver.PrefillOrder) *driver.Refusal {
	if l.isLeaving() {
		return leavingRefusal()
	}
	if l.start(order.Hold, engineJob{prompt: order.Prompt, most: order.MaxOutput}) {
		l.step(StartPrefill{Hold: order.Hold, Prompt: order.Tokens, Prefix: order.Prefix, Priority: order.Priority})
	}
	return nil
}

func (l *engineLife) importKV(order driver.ImportOrder) *driver.Refusal {
	if l.isLeaving() {
		return leavingRefusal()
	}
	if l.start(order.Hold, engineJob{pieces: order.Pieces}) {
		go l.pull(order)
	}
	return nil
}

func leavingRefusal() *driver.Refusal {
	return &driver.Refusal{Kind: driver.KindLeaving, Reason: "no new work is taken"}
}

// pull reserves memory and moves the KV cache, which must live from the
// start of the transfer to its end.
func (l *engineLife) pull(order driver.ImportOrder) {
	kv, err := l.pullOnce(order, false)
	if err != nil {
		l.drop(order.Hold, err)
		return
	}
	l.tell(func() {
		if job := l.jobs[order.Hold]; job != nil {
			job.prompt, job.most = kv.Prompt, kv.MaxOutput
			l.step(StartImport{Hold: order.Hold, Tokens: order.Tokens, Pieces: order.Pieces})
		}
	})
	if _, refusal := l.await(l.ctx, order.Hold, (*engineJob).hasArrived); refusal != nil {
		return
	}
	if _, err := l.pullOnce(order, true); err != nil {
		l.drop(order.Hold, err)
		return
	}
	l.tell(func() {
		if job := l.jobs[order.Hold]; job != nil {
			job.done = true
			job.signal()
		}
	})
}

func (l *engineLife) drop(hold identifier.Hold, cause error) {
	l.tell(func() {
		l.fail(hold, driver.KindGone, cause.Error())
		l.step(Release{Hold: hold})
	})
}

func (l *engineLife) pullOnce(order driver.ImportOrder, ended bool) (exportReply, error) {
	var kv exportReply
	payload, err := json.Marshal(exportOrder{Hold: order.Hold, Ended: ended})
	if err != nil {
		return kv, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(l.ctx, exportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.From+pathExport, bytes.NewReader(payload))
	if err != nil {
		return kv, errors.WithStack(err)
	}
	reply, err := l.client.Do(r)
	if err != nil {
		return kv, errors.WithStack(err)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return kv, errors.New("the prefill engine has no such result")
	}
	return kv, errors.WithStack(json.NewDecoder(reply.Body).Decode(&kv))
}

func (l *engineLife) export(order exportOrder) (exportReply, *driver.Refusal) {
	job := l.jobs[order.Hold]
	if job == nil || !job.done {
		return exportReply{}, gone("no such result")
	}
	if order.Ended {
		l.fail(order.Hold, driver.KindGone, "the result was exported")
		l.step(Release{Hold: order.Hold})
	}
	return exportReply{Prompt: job.prompt, MaxOutput: job.most}, nil
}

func (l *engineLife) startDecode(order driver.DecodeOrder) *driver.Refusal {
	job := l.jobs[order.Hold]
	if job == nil || !job.done {
		return gone("no KV cache is here")
	}
	if job.length == 0 {
		job.most = order.MaxOutput
		job.length = AnswerLength(job.prompt, order.MaxOutput)
		l.step(StartDecode{Hold: order.Hold, Output: job.length})
	}
	return nil
}

// release drops what is held for an attempt, at any stage.
func (l *engineLife) release(query driver.HoldQuery) (struct{}, *driver.Refusal) {
	l.fail(query.Hold, driver.KindGone, "the hold was released")
	l.step(Release{Hold: query.Hold})
	return struct{}{}, nil
}
