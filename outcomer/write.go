package outcomer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// The headers of a refusal.
const (
	HeaderRan     = "Figtrack-Ran"
	HeaderRequest = "Figtrack-Request"
)

// Refusal is the body of a reply that is no answer.
type Refusal struct {
	// OpenAI is what OpenAI clients read and show.
	OpenAI OpenAIError `json:"error"`
	Detail
}

// OpenAIError has the field names that OpenAI clients read.
type OpenAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Detail says what became of a request.
type Detail struct {
	Reason  string
	Ran     Ran
	Message string
	// Request is the key under which the request is logged.
	Request identifier.Request
	// RetryAfterSeconds is 0 where there is no use in waiting.
	RetryAfterSeconds int
}

// NewRefusal returns the body for an outcome. It is also the last event of a
// stream that ends early. Notes name what is wrong with this very request.
func NewRefusal(request identifier.Request, o Outcome, notes ...string) Refusal {
	r := Describe(o)
	words := append(append([]string{r.Meaning}, notes...), r.Advice)
	message := strings.Join(words, " ")
	return Refusal{
		OpenAI: OpenAIError{Message: message, Type: errorType(r.Status), Code: r.Reason},
		Detail: Detail{
			Reason:            r.Reason,
			Ran:               r.Ran,
			Message:           message,
			Request:           request,
			RetryAfterSeconds: int(RetryAfter(o) / time.Second),
		},
	}
}

func errorType(status int) string {
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

// Write sends an outcome as a whole reply. It must not be used once a byte
// of an answer has been sent.
func Write(w http.ResponseWriter, request identifier.Request, o Outcome, notes ...string) error {
	r := Describe(o)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRan, string(r.Ran))
	w.Header().Set(HeaderRequest, string(request))
	if r.RetryAfter {
		w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter(o)/time.Second)))
	}
	w.WriteHeader(r.Status)
	return json.NewEncoder(w).Encode(NewRefusal(request, o, notes...))
}
