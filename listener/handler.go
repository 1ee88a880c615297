package listener

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/relayer"
)

func (l *Listener) completions(c *echo.Context) error {
	return l.complete(c, textFormat, completionBody.promptText)
}

func (l *Listener) chatCompletions(c *echo.Context) error {
	return l.complete(c, chatFormat, completionBody.chatPrompt)
}

func (l *Listener) complete(c *echo.Context, f responseFormat, promptOf func(completionBody) (string, error)) error {
	arrived := time.Now()
	if !l.tryAcquireSlot(c) {
		return nil
	}
	defer l.releaseSlot()
	body, err := l.readCompletion(c)
	if err != nil {
		refuseInvalid(c, err)
		return nil
	}
	job, ok := l.jobFor(c, body, promptOf)
	if !ok {
		return nil
	}
	job.Arrived = arrived
	c.Response().Header().Set(outcomer.HeaderRequest, string(job.Request))
	ctx, cancel := l.requestContext(c)
	defer cancel()
	one := response{responseFormat: f, request: job.Request, model: body.Model, created: arrived, promptTokens: job.Tokens}
	if body.Stream {
		l.streamAnswer(ctx, c, job, one, body.StreamOptions.IncludeUsage)
		return nil
	}
	l.collectAnswer(ctx, c, job, one)
	return nil
}

func (l *Listener) readCompletion(c *echo.Context) (completionBody, error) {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(l.cfg.BodyTimeout))
	body, err := readBody(http.MaxBytesReader(c.Response(), c.Request().Body, l.cfg.MaxBodyBytes))
	if err == nil {
		// Without a read deadline, the server detects that the caller
		// disconnects. After an error the deadline stays, to bound the wait for
		// the rest of the body.
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

func refuseInvalid(c *echo.Context, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		note := fmt.Sprintf("The body is larger than %d bytes, the limit of Callers.MaxBodyBytes.", large.Limit)
		refuse(c, "", outcomer.TooLarge{}, note)
		return
	}
	refuse(c, "", outcomer.Malformed{}, err.Error()+".")
}

func refuse(c *echo.Context, request identifier.Request, o outcomer.Outcome, notes ...string) {
	_ = outcomer.Write(c.Response(), request, o, notes...)
}

// jobFor builds the job of a request. If the request can't be run, it sends a
// refusal and returns false.
func (l *Listener) jobFor(c *echo.Context, body completionBody, promptOf func(completionBody) (string, error)) (relayer.Job, bool) {
	class, ok := l.classFor(c, identifier.Model(body.Model))
	if !ok {
		return relayer.Job{}, false
	}
	job, err := newJob(c.Request(), body, promptOf)
	if err != nil {
		refuseInvalid(c, err)
		return job, false
	}
	job.Class = class
	return job, true
}

func newJob(r *http.Request, body completionBody, promptOf func(completionBody) (string, error)) (relayer.Job, error) {
	prompt, err := promptOf(body)
	if err != nil {
		return relayer.Job{}, err
	}
	output, err := body.maxOutput()
	if err != nil {
		return relayer.Job{}, err
	}
	stops, err := body.stopSequences()
	if err != nil {
		return relayer.Job{}, err
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return relayer.Job{}, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return relayer.Job{}, err
	}
	return relayer.Job{
		Request:   identifier.Request(id.String()),
		Key:       key,
		Workspace: workspaceOf(r, body),
		Model:     identifier.Model(body.Model),
		Prompt:    prompt,
		Tokens:    estimateTokens(prompt),
		Prefix:    blockHashes(body.Model, prompt),
		MaxOutput: output,
		Stop:      stops,
	}, nil
}

// classFor returns the class named by the header, else the model's default
// class. If the model or the class is unknown, it sends a refusal and returns
// false.
func (l *Listener) classFor(c *echo.Context, m identifier.Model) (identifier.Class, bool) {
	models := l.classes.Models()
	if !slices.Contains(models, m) {
		refuse(c, "", outcomer.UnknownModel{}, fmt.Sprintf("Model %q is not served; models: %v.", m, models))
		return "", false
	}
	name := identifier.Class(c.Request().Header.Get(HeaderClass))
	if name == "" {
		name, _ = l.classes.ClassFor(m)
	}
	if _, ok := l.classes.Class(name); !ok {
		note := fmt.Sprintf("Class %q is unknown; set the header %s to one of %v.", name, HeaderClass, l.classes.ClassNames())
		refuse(c, "", outcomer.UnknownModel{}, note)
		return "", false
	}
	return name, true
}

func (l *Listener) collectAnswer(ctx context.Context, c *echo.Context, job relayer.Job, a response) {
	sink := &collector{response: a}
	switch out := l.runner.Run(ctx, job, sink).(type) {
	case outcomer.Answered:
		_ = c.JSON(http.StatusOK, sink.body())
	case outcomer.CallerGone:
		l.refuseEnded(ctx, c, job)
	default:
		refuse(c, job.Request, out)
	}
}

func (l *Listener) streamAnswer(ctx context.Context, c *echo.Context, job relayer.Job, a response, includeUsage bool) {
	sink := &streamer{
		response:     a,
		w:            c.Response(),
		control:      http.NewResponseController(c.Response()),
		includeUsage: includeUsage,
	}
	out := l.runner.Run(ctx, job, sink)
	switch out.(type) {
	case outcomer.Answered:
		sink.finish()
		return
	case outcomer.CallerGone:
		if !sink.isStarted {
			l.refuseEnded(ctx, c, job)
			return
		}
		out = l.cutOutcome()
	}
	if sink.isStarted {
		_ = sink.sendEvent(outcomer.NewRefusal(job.Request, out))
		return
	}
	refuse(c, job.Request, out)
}

// refuseEnded sends a refusal if the request was ended by a drain or by its
// timeout. A caller that has disconnected gets none.
func (l *Listener) refuseEnded(ctx context.Context, c *echo.Context, job relayer.Job) {
	switch {
	case l.cutCtx.Err() != nil:
		refuse(c, job.Request, outcomer.CutByDrain{})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refuse(c, job.Request, outcomer.UpstreamTimeout{})
	}
}

func (l *Listener) cutOutcome() outcomer.Outcome {
	if l.cutCtx.Err() != nil {
		return outcomer.CutByDrain{}
	}
	return outcomer.BrokenOff{}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     identifier.Model `json:"id"`
	Object string           `json:"object"`
}

func (l *Listener) listModels(c *echo.Context) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range l.classes.Models() {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model"})
	}
	return c.JSON(http.StatusOK, list)
}
