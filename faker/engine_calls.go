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

// exportTimeout bounds a call from a decode engine to a prefill engine.
const exportTimeout = 2 * time.Second

// exportOrder is a request to a prefill engine to export a result. It fails if the
// result was evicted.
type exportOrder struct {
	Hold identifier.Hold
	// Ended is true if the transfer has ended, so that the prefill engine can
	// release the result.
	Ended bool
}

// exportReply replaces the KV cache. It has all that a fake engine needs to
// generate the answer.
type exportReply struct {
	Prompt, Generated string
	MaxOutput         identifier.Tokens
}

func (l *engineProcess) load(struct{}) (driver.Load, *driver.Refusal) {
	reading := l.core.Load(time.Now())
	return driver.Load{
		Incarnation: l.incarnation,
		At:          reading.At,
		Running:     reading.Running,
		Queued:      reading.Queued,
		FreePieces:  reading.FreePieces,
		Leaving:     l.isLeaving(),
		Role:        l.serving.Role,
		Models:      l.serving.Models,
	}, nil
}

func (l *engineProcess) cacheEvents(query driver.CacheEventsQuery) ([]driver.CacheEvent, *driver.Refusal) {
	events := make([]driver.CacheEvent, 0, len(l.events))
	for _, event := range l.events {
		if event.Sequence > query.After {
			events = append(events, event)
		}
	}
	return events, nil
}

func (l *engineProcess) holds(struct{}) (driver.Holds, *driver.Refusal) {
	holds := driver.Holds{Incarnation: l.incarnation, TellsRead: true}
	for _, hold := range l.core.Holds() {
		if job := l.jobs[hold]; job != nil {
			holds.Holds = append(holds.Holds, driver.HoldState{Hold: hold, Pieces: job.pieces, Since: job.since, Read: job.lastRead})
		}
	}
	return holds, nil
}

// order applies an order, or refuses one with an old fencing number.
func (l *engineProcess) order(order driver.Order) (driver.OrderResult, *driver.Refusal) {
	if l.cfg.ChecksFence && order.Fence < l.serving.Highest {
		refused := l.serving
		refused.Refused = true
		return refused, nil
	}
	l.applyOrder(order)
	return l.serving, nil
}

// applyOrder applies an order. As a change of the role discards the engine's state,
// it is ignored unless nothing is held.
func (l *engineProcess) applyOrder(order driver.Order) {
	if l.cfg.ChecksFence {
		l.serving.Highest = order.Fence
	}
	if order.Models != nil {
		l.serving.Models = slices.Clone(order.Models)
	}
	if order.Version != "" {
		l.serving.Version = order.Version
	}
	if order.Role != "" && order.Role != l.serving.Role && len(l.core.Holds()) == 0 {
		cfg := l.cfg
		cfg.Role = order.Role
		l.serving.Role = order.Role
		l.core = NewEngine(cfg, l.core.rng)
	}
}

// prefill queues a prefill.
func (l *engineProcess) prefill(order driver.PrefillRequest) (driver.HoldQuery, *driver.Refusal) {
	query := driver.HoldQuery{Hold: order.Hold}
	started, refusal := l.addJob(order.Hold, engineJob{prompt: order.Prompt, generated: order.Generated, maxOutput: order.MaxOutput})
	if started {
		l.step(StartPrefill{Hold: order.Hold, PromptTokens: order.Tokens, Prefix: order.Prefix, Priority: order.Priority})
	}
	return query, refusal
}

// importKV reserves memory and imports the KV cache. The prefill engine must have
// the result both at the start and at the end of the transfer.
func (l *engineProcess) importKV(order driver.ImportRequest) (driver.HoldQuery, *driver.Refusal) {
	query := driver.HoldQuery{Hold: order.Hold}
	started, refusal := l.addJob(order.Hold, engineJob{from: order.From, pieces: order.Pieces})
	if started {
		go l.fetchResult(order.Hold, order.From, false, func(kv exportReply) {
			job := l.jobs[order.Hold]
			job.prompt, job.generated, job.maxOutput = kv.Prompt, kv.Generated, kv.MaxOutput
			l.step(StartImport{Hold: order.Hold, Tokens: order.Tokens, Pieces: order.Pieces})
		})
	}
	return query, refusal
}

// decode starts the stream of an imported hold, or reads it if it was started
// before.
func (l *engineProcess) decode(order driver.DecodeRequest) (driver.HoldQuery, *driver.Refusal) {
	query := driver.HoldQuery{Hold: order.Hold, From: order.From}
	job := l.jobs[order.Hold]
	if job == nil || !job.done {
		return query, goneRefusal("no KV cache is here")
	}
	if job.answerLength > 0 {
		return query, nil
	}
	length := AnswerLength(job.prompt, order.MaxOutput)
	if order.From >= length || strings.Join(Answer(job.prompt, order.From), "") != job.generated {
		return query, &driver.Refusal{Kind: driver.KindNotRun, Reason: "the KV cache does not end before the first token that is wanted"}
	}
	job.maxOutput, job.answerLength, job.firstIndex, job.nextIndex = order.MaxOutput, length, order.From, order.From
	l.step(StartDecode{Hold: order.Hold, OutputTokens: length - order.From})
	return query, nil
}

// resume checks that the stream exists.
func (l *engineProcess) resume(query driver.HoldQuery) (driver.HoldQuery, *driver.Refusal) {
	if job := l.jobs[query.Hold]; job == nil || job.answerLength == 0 {
		return query, goneRefusal("no such stream is here")
	}
	return query, nil
}

// release frees all that is held for an attempt, at any stage.
func (l *engineProcess) release(query driver.HoldQuery) (struct{}, *driver.Refusal) {
	l.dropHold(query.Hold, "the hold was released")
	return struct{}{}, nil
}

// dropHold fails a job with KindGone and frees all that is held for it.
func (l *engineProcess) dropHold(hold identifier.Hold, reason string) {
	l.failJob(hold, driver.KindGone, reason)
	l.step(Release{Hold: hold})
}

// export returns a prefill result, and releases it if its transfer has ended.
func (l *engineProcess) export(order exportOrder) (exportReply, *driver.Refusal) {
	job := l.jobs[order.Hold]
	if job == nil || !job.done {
		return exportReply{}, goneRefusal("no such result")
	}
	if order.Ended {
		l.dropHold(order.Hold, "the result was exported")
	}
	return exportReply{Prompt: job.prompt, Generated: job.generated, MaxOutput: job.maxOutput}, nil
}

// fetchResult requests a result from a prefill engine. Then it runs next on the
// engine's goroutine, or drops the hold if the request failed.
func (l *engineProcess) fetchResult(hold identifier.Hold, from string, ended bool, next func(exportReply)) {
	kv, err := l.requestExport(from, exportOrder{Hold: hold, Ended: ended})
	l.enqueue(func() {
		switch {
		case l.jobs[hold] == nil:
		case err != nil:
			l.dropHold(hold, err.Error())
		default:
			next(kv)
		}
	})
}

// requestExport sends an export request to the prefill engine at an address.
func (l *engineProcess) requestExport(from string, order exportOrder) (exportReply, error) {
	var kv exportReply
	ctx, cancel := context.WithTimeout(l.ctx, exportTimeout)
	defer cancel()
	reply, _, err := poster.PostJSON(ctx, l.client, "http://"+from+pathExport, nil, order)
	if err != nil {
		return kv, err
	}
	defer poster.DrainBody(reply.Body)
	if reply.StatusCode != http.StatusOK {
		return kv, errors.New("the prefill engine has no such result")
	}
	return kv, errors.WithStack(json.NewDecoder(reply.Body).Decode(&kv))
}
