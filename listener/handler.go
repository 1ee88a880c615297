package listener

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
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
		refuse(c, bodyRefusal(err))
		return nil
	}
	job, bad := l.job(c, body, text)
	if bad != nil {
		refuse(c, *bad)
		return nil
	}
	job.Arrived = arrived
	c.Response().Header().Set(HeaderRequest, string(job.Request))
	ctx, cancel := context.WithTimeout(c.Request().Context(), l.cfg.RequestTimeout)
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
	_ = control.SetReadDeadline(time.Time{})
	return body, err
}

func bodyRefusal(err error) refusal {
	var large *http.MaxBytesError
	if !errors.As(err, &large) {
		return invalid(err.Error())
	}
	r := invalid(fmt.Sprintf("the body is larger than %d bytes, the limit of Callers.MaxBodyBytes", large.Limit))
	r.status = http.StatusRequestEntityTooLarge
	r.reason = "BodyTooLarge"
	return r
}

// job makes the job of a request, or the refusal of one that can't be run.
func (l *Listener) job(c *echo.Context, body completionBody, text func(completionBody) (string, error)) (relayer.Job, *refusal) {
	prompt, err := text(body)
	if err != nil {
		return bad(err)
	}
	output, err := body.maxOutput()
	if err != nil {
		return bad(err)
	}
	stops, err := body.stops()
	if err != nil {
		return bad(err)
	}
	key, given, err := requestKey(c.Request())
	if err != nil {
		return bad(err)
	}
	class, refused := l.class(c, identifier.Model(body.Model))
	if refused != nil {
		return relayer.Job{}, refused
	}
	return relayer.Job{
		Request:   key,
		Keyed:     given,
		Class:     class,
		Workspace: workspaceOf(c.Request(), body),
		Model:     identifier.Model(body.Model),
		Prompt:    prompt,
		Tokens:    tokensOf(prompt),
		Prefix:    blocksOf(body.Model, prompt),
		MaxOutput: output,
		Stop:      stops,
	}, nil
}

func bad(err error) (relayer.Job, *refusal) {
	r := invalid(err.Error())
	return relayer.Job{}, &r
}

// class takes the class of the header, else that of the model.
func (l *Listener) class(c *echo.Context, m identifier.Model) (identifier.Class, *refusal) {
	models := l.classes.Models()
	if !slices.Contains(models, m) {
		r := invalid(fmt.Sprintf("model %q is not served; models: %v", m, models))
		r.status = http.StatusNotFound
		r.reason = "UnknownModel"
		return "", &r
	}
	name := identifier.Class(c.Request().Header.Get(HeaderClass))
	if name == "" {
		name, _ = l.classes.ClassFor(m)
	}
	if _, ok := l.classes.Class(name); !ok {
		r := invalid(fmt.Sprintf("class %q is unknown; set the header %s to one of %v", name, HeaderClass, l.classes.ClassNames()))
		r.reason = "UnknownClass"
		return "", &r
	}
	return name, nil
}

func (l *Listener) collect(ctx context.Context, c *echo.Context, job relayer.Job, a answer) {
	sink := &collector{answer: a}
	result := l.runner.Run(ctx, job, sink)
	if r := refusalOf(job.Request, result); r != nil {
		refuse(c, *r)
		return
	}
	if _, ok := result.(relayer.Answered); ok {
		_ = c.JSON(http.StatusOK, sink.body())
	}
}

func (l *Listener) stream(ctx context.Context, c *echo.Context, job relayer.Job, a answer, includeUsage bool) {
	sink := &streamer{
		answer:       a,
		w:            c.Response(),
		control:      http.NewResponseController(c.Response()),
		writeTimeout: l.cfg.WriteTimeout,
		includeUsage: includeUsage,
	}
	result := l.runner.Run(ctx, job, sink)
	r := refusalOf(job.Request, result)
	switch {
	case r != nil && sink.started:
		_ = sink.event(r.body())
	case r != nil:
		refuse(c, *r)
	default:
		if _, ok := result.(relayer.Answered); ok {
			sink.finish()
		}
	}
}

// refusalOf returns the refusal of a result, or nil for one that has none.
func refusalOf(request identifier.Request, result relayer.Result) *refusal {
	switch result := result.(type) {
	case relayer.Refused:
		return &refusal{
			status:     http.StatusServiceUnavailable,
			request:    request,
			ran:        RanNo,
			reason:     result.Reason,
			message:    "the request was not run: " + result.Reason,
			retryAfter: result.RetryAfter,
		}
	case relayer.Broken:
		return &refusal{
			status:  http.StatusBadGateway,
			request: request,
			ran:     RanUnknown,
			reason:  result.Reason,
			message: "the answer could not be finished: " + result.Reason,
		}
	default:
		return nil
	}
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
