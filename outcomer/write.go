package outcomer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Headers of a refusal.
const (
	HeaderRan     = "Figtrack-Ran"
	HeaderRequest = "Figtrack-Request"
)

// Refusal is the body of a reply that figtrack itself makes in place of an
// answer.
type Refusal struct {
	// OpenAI is the part that OpenAI clients read and show.
	OpenAI OpenAIError `json:"error"`
	Detail
}

// OpenAIError has the field names of errors in OpenAI's API.
type OpenAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Detail describes the outcome of a request in figtrack's own terms.
type Detail struct {
	Reason  string
	Ran     Ran
	Message string
	// Request is the key of the request, under which it is logged.
	Request identifier.Request
	// RetryAfterSeconds is 0 if a later attempt would not help.
	RetryAfterSeconds int
}

// NewRefusal returns the body for an outcome. It is also sent as the last
// event of a stream that ends early. Notes say what is wrong with this request
// and stand between the outcome's meaning and the advice.
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

// Write sends an outcome as a complete reply. It must not be called after a
// byte of an answer was sent.
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
