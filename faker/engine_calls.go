package faker

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/poster"
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
	Prompt, Generated string
	MaxOutput         identifier.Tokens
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
	holds := driver.Holds{Incarnation: l.incarnation, TellsRead: true}
	for _, hold := range l.core.Holds() {
		if job := l.jobs[hold]; job != nil {
			holds.Holds = append(holds.Holds, driver.HoldState{Hold: hold, Pieces: job.pieces, Since: job.since, Read: job.read})
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

func (l *engineLife) prefill(order driver.PrefillOrder) (driver.HoldQuery, *driver.Refusal) {
	query := driver.HoldQuery{Hold: order.Hold}
	started, refusal := l.start(order.Hold, engineJob{prompt: order.Prompt, generated: order.Generated, most: order.MaxOutput})
	if started {
		l.step(StartPrefill{Hold: order.Hold, Prompt: order.Tokens, Prefix: order.Prefix, Priority: order.Priority})
	}
	return query, refusal
}

// importKV reserves memory and moves the KV cache, which must live from the
// start of the transfer to its end.
func (l *engineLife) importKV(order driver.ImportOrder) (driver.HoldQuery, *driver.Refusal) {
	query := driver.HoldQuery{Hold: order.Hold}
	started, refusal := l.start(order.Hold, engineJob{from: order.From, pieces: order.Pieces})
	if started {
		go l.pull(order.Hold, order.From, false, func(kv exportReply) {
			job := l.jobs[order.Hold]
			job.prompt, job.generated, job.most = kv.Prompt, kv.Generated, kv.MaxOutput
			l.step(StartImport{Hold: order.Hold, Tokens: order.Tokens, Pieces: order.Pieces})
		})
	}
	return query, refusal
}

func (l *engineLife) decode(order driver.DecodeOrder) (driver.HoldQuery, *driver.Refusal) {
	query := driver.HoldQuery{Hold: order.Hold, From: order.From}
	job := l.jobs[order.Hold]
	if job == nil || !job.done {
		return query, gone("no KV cache is here")
	}
	if job.length > 0 {
		return query, nil
	}
	length := AnswerLength(job.prompt, order.MaxOutput)
	if order.From >= length || strings.Join(Answer(job.prompt, order.From), "") != job.generated {
		return query, &driver.Refusal{Kind: driver.KindNotRun, Reason: "the KV cache does not end before the first token that is wanted"}
	}
	job.most, job.length, job.first, job.made = order.MaxOutput, length, order.From, order.From
	l.step(StartDecode{Hold: order.Hold, Output: length - order.From})
	return query, nil
}

func (l *engineLife) resume(query driver.HoldQuery) (driver.HoldQuery, *driver.Refusal) {
	if job := l.jobs[query.Hold]; job == nil || job.length == 0 {
		return query, gone("no such stream is here")
	}
	return query, nil
}

// release drops what is held for an attempt, at any stage.
func (l *engineLife) release(query driver.HoldQuery) (struct{}, *driver.Refusal) {
	l.drop(query.Hold, "the hold was released")
	return struct{}{}, nil
}

func (l *engineLife) drop(hold identifier.Hold, reason string) {
	l.fail(hold, driver.KindGone, reason)
	l.step(Release{Hold: hold})
}

func (l *engineLife) export(order exportOrder) (exportReply, *driver.Refusal) {
	job := l.jobs[order.Hold]
	if job == nil || !job.done {
		return exportReply{}, gone("no such result")
	}
	if order.Ended {
		l.drop(order.Hold, "the result was exported")
	}
	return exportReply{Prompt: job.prompt, Generated: job.generated, MaxOutput: job.most}, nil
}

// pull asks a prefill engine for a result. Then it runs next on the engine's
// goroutine, or drops the hold if there is no such result.
func (l *engineLife) pull(hold identifier.Hold, from string, ended bool, next func(exportReply)) {
	kv, err := l.ask(from, exportOrder{Hold: hold, Ended: ended})
	l.tell(func() {
		switch {
		case l.jobs[hold] == nil:
		case err != nil:
			l.drop(hold, err.Error())
		default:
			next(kv)
		}
	})
}

func (l *engineLife) ask(from string, order exportOrder) (exportReply, error) {
	var kv exportReply
	ctx, cancel := context.WithTimeout(l.ctx, exportTimeout)
	defer cancel()
	reply, _, err := poster.JSON(ctx, l.client, "http://"+from+pathExport, order)
	if err != nil {
		return kv, err
	}
	defer poster.Drain(reply.Body)
	if reply.StatusCode != http.StatusOK {
		return kv, errors.New("the prefill engine has no such result")
	}
	return kv, errors.WithStack(json.NewDecoder(reply.Body).Decode(&kv))
}
