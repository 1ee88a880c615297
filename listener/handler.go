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
	return l.complete(c, plainForm, completionBody.prompt)
}

func (l *Listener) chatCompletions(c *echo.Context) error {
	return l.complete(c, chatForm, completionBody.chat)
}

func (l *Listener) complete(c *echo.Context, f form, text func(completionBody) (string, error)) error {
	arrived := time.Now()
	if !l.enter(c) {
		return nil
	}
	defer l.leave()
	body, err := l.read(c)
	if err != nil {
		refuseBody(c, err)
		return nil
	}
	job, ok := l.job(c, body, text)
	if !ok {
		return nil
	}
	job.Arrived = arrived
	c.Response().Header().Set(outcomer.HeaderRequest, string(job.Request))
	ctx, cancel := l.bounded(c)
	defer cancel()
	one := answer{form: f, request: job.Request, model: body.Model, created: arrived, prompt: job.Tokens}
	if body.Stream {
		l.stream(ctx, c, job, one, body.StreamOptions.IncludeUsage)
		return nil
	}
	l.collect(ctx, c, job, one)
	return nil
}

func (l *Listener) read(c *echo.Context) (completionBody, error) {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(l.cfg.BodyTimeout))
	body, err := readBody(http.MaxBytesReader(c.Response(), c.Request().Body, l.cfg.MaxBodyBytes))
	if err == nil {
		// Without a deadline the server notices when the caller leaves. After
		// an error it bounds the wait for the rest of the body.
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

func refuseBody(c *echo.Context, err error) {
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

// job makes the job of a request. It returns false after the refusal of one
// that can't be run.
func (l *Listener) job(c *echo.Context, body completionBody, text func(completionBody) (string, error)) (relayer.Job, bool) {
	class, ok := l.class(c, identifier.Model(body.Model))
	if !ok {
		return relayer.Job{}, false
	}
	job, err := newJob(c.Request(), body, text)
	if err != nil {
		refuseBody(c, err)
		return job, false
	}
	job.Class = class
	return job, true
}

func newJob(r *http.Request, body completionBody, text func(completionBody) (string, error)) (relayer.Job, error) {
	prompt, err := text(body)
	if err != nil {
		return relayer.Job{}, err
	}
	output, err := body.maxOutput()
	if err != nil {
		return relayer.Job{}, err
	}
	stops, err := body.stops()
	if err != nil {
		return relayer.Job{}, err
	}
	key, err := keyOf(r)
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
		Tokens:    tokensOf(prompt),
		Prefix:    blocksOf(body.Model, prompt),
		MaxOutput: output,
		Stop:      stops,
	}, nil
}

// class takes the class of the header, else that of the model. It returns
// false after a refusal.
func (l *Listener) class(c *echo.Context, m identifier.Model) (identifier.Class, bool) {
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

func (l *Listener) collect(ctx context.Context, c *echo.Context, job relayer.Job, a answer) {
	sink := &collector{answer: a}
	switch out := l.runner.Run(ctx, job, sink).(type) {
	case outcomer.Answered:
		_ = c.JSON(http.StatusOK, sink.body())
	case outcomer.CallerGone:
		l.timedOut(ctx, c, job)
	default:
		refuse(c, job.Request, out)
	}
}

func (l *Listener) stream(ctx context.Context, c *echo.Context, job relayer.Job, a answer, includeUsage bool) {
	sink := &streamer{
		answer:       a,
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
		if !sink.started {
			l.timedOut(ctx, c, job)
			return
		}
		out = l.whyCut()
	}
	if sink.started {
		_ = sink.event(outcomer.NewRefusal(job.Request, out))
		return
	}
	refuse(c, job.Request, out)
}

// timedOut tells a caller who still waits why the request was ended.
func (l *Listener) timedOut(ctx context.Context, c *echo.Context, job relayer.Job) {
	switch {
	case l.cutting.Err() != nil:
		refuse(c, job.Request, outcomer.CutByDrain{})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refuse(c, job.Request, outcomer.UpstreamTimeout{})
	}
}

func (l *Listener) whyCut() outcomer.Outcome {
	if l.cutting.Err() != nil {
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

func (l *Listener) models(c *echo.Context) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range l.classes.Models() {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model"})
	}
	return c.JSON(http.StatusOK, list)
}
