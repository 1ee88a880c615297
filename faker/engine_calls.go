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

func (l *engineLife) load(ctx context.Context, _ struct{}) (load driver.Load, _ *driver.Refusal) {
	l.do(ctx, func() {
		reading := l.core.Load(time.Now())
		load = driver.Load{
			Incarnation: l.incarnation,
			At:          reading.At,
			Running:     reading.Running,
			Queued:      reading.Queued,
			FreePieces:  reading.FreePieces,
			Leaving:     l.isLeaving(),
			Role:        l.serves.Role,
			Models:      l.serves.Models,
		}
	})
	return load, nil
}

func (l *engineLife) cacheEvents(ctx context.Context, query driver.CacheQuery) (events []driver.CacheEvent, _ *driver.Refusal) {
	l.do(ctx, func() {
		for _, event := range l.events {
			if event.Sequence > query.After {
				events = append(events, event)
			}
		}
	})
	return events, nil
}

func (l *engineLife) holds(ctx context.Context, _ struct{}) (holds driver.Holds, _ *driver.Refusal) {
	l.do(ctx, func() {
		holds.Incarnation = l.incarnation
		for _, hold := range l.core.Holds() {
			if job := l.jobs[hold]; job != nil {
				holds.Holds = append(holds.Holds, driver.HoldState{Hold: hold, Pieces: job.pieces, Since: job.since})
			}
		}
	})
	return holds, nil
}

// order applies an order. A new role starts an empty engine, so it is taken
// only when nothing is held.
func (l *engineLife) order(ctx context.Context, order driver.Order) (result driver.OrderResult, _ *driver.Refusal) {
	l.do(ctx, func() {
		if l.cfg.ChecksFence && order.Fence < l.serves.Highest {
			result = l.serves
			result.Refused = true
			return
		}
		l.apply(order)
		result = l.serves
	})
	return result, nil
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

func (l *engineLife) prefill(ctx context.Context, order driver.PrefillOrder) (reply driver.PrefillReply, refusal *driver.Refusal) {
	l.do(ctx, func() {
		if l.isLeaving() {
			refusal = &driver.Refusal{Kind: driver.KindLeaving, Reason: "no new work is taken"}
			return
		}
		if l.start(order.Hold, engineJob{prompt: order.Prompt, most: order.MaxOutput}) {
			l.step(StartPrefill{Hold: order.Hold, Prompt: order.Tokens, Prefix: order.Prefix, Priority: order.Priority})
		}
	})
	if refusal != nil {
		return reply, refusal
	}
	job, refusal := l.await(ctx, order.Hold, (*engineJob).isDone)
	reply.Hold, reply.Cached, reply.Took = order.Hold, job.cached, job.took
	return reply, refusal
}

func (l *engineLife) importKV(ctx context.Context, order driver.ImportOrder) (reply driver.ImportReply, refusal *driver.Refusal) {
	l.do(ctx, func() {
		if l.isLeaving() {
			refusal = &driver.Refusal{Kind: driver.KindLeaving, Reason: "no new work is taken"}
			return
		}
		if l.start(order.Hold, engineJob{pieces: order.Pieces}) {
			go l.pull(order)
		}
	})
	if refusal != nil {
		return reply, refusal
	}
	job, refusal := l.await(ctx, order.Hold, (*engineJob).isReleased)
	reply.Hold, reply.Took = order.Hold, job.took
	return reply, refusal
}

// pull reserves memory and moves the KV cache, which must live from the
// start of the transfer to its end.
func (l *engineLife) pull(order driver.ImportOrder) {
	kv, err := l.pullOnce(order, false)
	if err != nil {
		l.drop(order.Hold, err)
		return
	}
	l.do(l.ctx, func() {
		if job := l.jobs[order.Hold]; job != nil {
			job.prompt, job.most = kv.Prompt, kv.MaxOutput
			l.step(StartImport{Hold: order.Hold, Tokens: order.Tokens, Pieces: order.Pieces})
		}
	})
	defer func() { _ = recover() }()
	if _, refusal := l.await(l.ctx, order.Hold, (*engineJob).isDone); refusal != nil {
		return
	}
	if _, err := l.pullOnce(order, true); err != nil {
		l.drop(order.Hold, err)
		return
	}
	l.do(l.ctx, func() {
		if job := l.jobs[order.Hold]; job != nil {
			job.released = true
			job.signal()
		}
	})
}

func (l *engineLife) drop(hold identifier.Hold, cause error) {
	l.do(l.ctx, func() {
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

func (l *engineLife) export(ctx context.Context, order exportOrder) (kv exportReply, refusal *driver.Refusal) {
	l.do(ctx, func() {
		job := l.jobs[order.Hold]
		if job == nil || !job.done {
			refusal = &driver.Refusal{Kind: driver.KindGone, Reason: "no such result"}
			return
		}
		kv = exportReply{Prompt: job.prompt, MaxOutput: job.most}
		if order.Ended {
			l.fail(order.Hold, driver.KindGone, "the result was exported")
			l.step(Release{Hold: order.Hold})
		}
	})
	return kv, refusal
}

func (l *engineLife) startDecode(ctx context.Context, order driver.DecodeOrder) *driver.Refusal {
	job, refusal := l.await(ctx, order.Hold, (*engineJob).known)
	if refusal != nil || !job.done {
		return &driver.Refusal{Kind: driver.KindGone, Reason: "no KV cache is here"}
	}
	l.do(ctx, func() {
		job := l.jobs[order.Hold]
		if job == nil || job.length > 0 {
			return
		}
		job.most = order.MaxOutput
		job.length = AnswerLength(job.prompt, order.MaxOutput)
		l.step(StartDecode{Hold: order.Hold, Output: job.length})
	})
	return nil
}

// release drops what is held for an attempt, at any stage.
func (l *engineLife) release(ctx context.Context, query driver.HoldQuery) (none struct{}, _ *driver.Refusal) {
	l.do(ctx, func() {
		l.fail(query.Hold, driver.KindGone, "the hold was released")
		l.step(Release{Hold: query.Hold})
	})
	return none, nil
}
