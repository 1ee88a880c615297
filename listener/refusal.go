package listener

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/figtrack/figtrack/identifier"
)

// Ran says whether any of a request may have run.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "No"
	RanUnknown Ran = "Unknown"
)

// refusal is a final answer other than the caller's own.
type refusal struct {
	status     int
	request    identifier.Request
	ran        Ran
	reason     string
	message    string
	retryAfter time.Duration
}

// refusalBody is the JSON of a refusal. Its first field is the one that
// OpenAI clients show.
type refusalBody struct {
	Error   openAIError        `json:"error"`
	Reason  string             `json:"Reason"`
	Ran     Ran                `json:"Ran"`
	Request identifier.Request `json:"Request,omitempty"`
	// RetryAfterMilliseconds is absent where a retry would not help.
	RetryAfterMilliseconds int64 `json:"RetryAfterMilliseconds,omitempty"`
}

type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (r refusal) body() refusalBody {
	return refusalBody{
		Error:                  openAIError{Message: r.message, Type: r.kind(), Code: r.reason},
		Reason:                 r.reason,
		Ran:                    r.ran,
		Request:                r.request,
		RetryAfterMilliseconds: r.retryAfter.Milliseconds(),
	}
}

func (r refusal) kind() string {
	if r.status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

// refuse sends a refusal as the whole answer.
func refuse(c *echo.Context, r refusal) {
	h := c.Response().Header()
	h.Set(HeaderRan, string(r.ran))
	if r.request != "" {
		h.Set(HeaderRequest, string(r.request))
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	_ = c.JSON(r.status, r.body())
}

func invalid(message string) refusal {
	return refusal{status: http.StatusBadRequest, ran: RanNo, reason: "BadRequest", message: message}
}

func busy(message string) refusal {
	return refusal{
		status:     http.StatusServiceUnavailable,
		ran:        RanNo,
		reason:     "Busy",
		message:    message + "; try again after Retry-After",
		retryAfter: time.Second,
	}
}
