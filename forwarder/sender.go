package forwarder

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/splitter"
	"github.com/figtrack/figtrack/verifier"
)

// tryResult is the result of one try. Its values are logged.
type tryResult string

const (
	// tryNotSent means that no byte of the call was sent to the upstream.
	tryNotSent tryResult = "NotSent"
	// tryNoAnswer means that a connection was made but no answer arrived: the
	// call may have run.
	tryNoAnswer tryResult = "NoAnswer"
	// tryAnswered means that the whole answer was copied to the caller.
	tryAnswered tryResult = "Answered"
	// tryBrokenAnswer means that the upstream ended the answer too early.
	tryBrokenAnswer tryResult = "BrokenAnswer"
	// tryUnread means that the caller closed its connection during the answer.
	tryUnread tryResult = "Unread"
)

// outcome returns the outcome of a call whose last try had this result, or nil
// after a whole answer. ran is whether the call may have run in any of its
// tries.
func (s tryResult) outcome(ran outcomer.Ran) outcomer.Outcome {
	switch s {
	case tryNotSent:
		if ran != outcomer.RanNo {
			return outcomer.UpstreamLost{}
		}
		return noUpstream()
	case tryNoAnswer:
		return outcomer.UpstreamLost{}
	case tryBrokenAnswer:
		return outcomer.BrokenOff{}
	case tryUnread:
		return outcomer.CallerGone{}
	default:
		return nil
	}
}

func noUpstream() outcomer.Outcome {
	return outcomer.FromAdmission(admitter.ReasonNoUpstream, retryAfter)
}

// readBody reads the whole body of the call into memory.
func (c *call) readBody() ([]byte, outcomer.Outcome) {
	body, err := io.ReadAll(io.LimitReader(c.r.Body, c.maxBodyBytes+1))
	if err != nil {
		return nil, outcomer.Malformed{}
	}
	if int64(len(body)) > c.maxBodyBytes {
		return nil, outcomer.TooLarge{}
	}
	return body, nil
}

// sendTo sends the call to an upstream and copies the answer to the caller.
func (c *call) sendTo(w http.ResponseWriter, u registrar.Upstream) tryResult {
	var connected atomic.Bool
	out := c.newRequest(u, &connected)
	answer, err := verifier.RoundTrip(c.transport, out)
	if err != nil && connected.Load() {
		return tryNoAnswer
	}
	if err != nil {
		return tryNotSent
	}
	defer answer.Body.Close()
	return c.copyAnswer(w, answer)
}

// newRequest returns the request for an upstream. connected is set before the
// first byte can be written.
func (c *call) newRequest(u registrar.Upstream, connected *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := c.r.Clone(httptrace.WithClientTrace(c.r.Context(), trace))
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = u.Address
	out.Header = endToEndHeaders(c.r.Header)
	out.Close = false
	// The server fills in this map when the body has ended, so it must be the
	// same map, not a copy.
	out.Trailer = c.r.Trailer
	if c.r.UserAgent() == "" {
		// Without an entry the transport sends its own User-Agent.
		out.Header["User-Agent"] = nil
	}
	// The transport retries a request by itself if it has no body or one that
	// can be rewound. Retries are decided in run only, so every request gets a
	// body that can't be rewound.
	out.GetBody = nil
	switch {
	case c.body != nil:
		out.Body = &onceBody{Reader: bytes.NewReader(c.body)}
		out.ContentLength = int64(len(c.body))
		if len(c.r.Trailer) > 0 {
			// Only a chunked body can have trailers.
			out.ContentLength = -1
		}
	case c.r.ContentLength == 0:
		out.Body = &onceBody{Reader: bytes.NewReader(nil)}
		out.ContentLength = -1
	}
	return out
}

// onceBody is a body that can't be rewound.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (*onceBody) Close() error { return nil }

// copyAnswer copies the answer to the caller, including its trailers.
func (c *call) copyAnswer(w http.ResponseWriter, answer *http.Response) tryResult {
	dropOwnHeaders(answer.Trailer)
	header := endToEndHeaders(answer.Header)
	dropOwnHeaders(header)
	addHeaders(w.Header(), header)
	for name := range answer.Trailer {
		w.Header().Add("Trailer", name)
	}
	if outcomer.MeansNotRun(answer.StatusCode) {
		w.Header().Set(outcomer.HeaderRan, string(outcomer.RanUnknown))
	}
	// A service may answer while the caller still sends the body. Without full
	// duplex the server closes the body at the first byte of the answer.
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.WriteHeader(answer.StatusCode)
	// Send the header without waiting for the first part of the body.
	_ = control.Flush()
	var events *splitter.Scanner
	if isEventStream(answer) {
		events = &splitter.Scanner{}
	}
	body := &countingReader{Reader: answer.Body}
	if result := copyFlushing(w, body, events); result != tryAnswered {
		return result
	}
	if events != nil && isCutOff(answer, events) || body.read == 0 && lacksBody(answer) {
		return tryBrokenAnswer
	}
	dropOwnHeaders(answer.Trailer) // The transport fills it in at the end of the body.
	for name, values := range answer.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
	return tryAnswered
}

// copyBufferBytes is the size of the buffer of copyFlushing.
const copyBufferBytes = 32 << 10

// isEventStream reports whether an answer is a stream of server-sent events.
func isEventStream(answer *http.Response) bool {
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && answer.StatusCode < http.StatusMultipleChoices
}

// isCutOff reports whether a stream of events that was read to its end is
// incomplete. An upstream that crashes may close the connection of an answer
// without a length or chunks, which reads like the end of the body.
func isCutOff(answer *http.Response, events *splitter.Scanner) bool {
	return events.IsInsideEvent() || isUnframed(answer) && !events.HasEvent()
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	read int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	return n, err
}

// lacksBody reports whether an answer of which no body was read is incomplete: its
// upstream may have crashed after the head. One without a body says so.
func lacksBody(answer *http.Response) bool {
	return isUnframed(answer) && answer.StatusCode < http.StatusMultipleChoices &&
		answer.StatusCode != http.StatusNoContent && answer.Request.Method != http.MethodHead
}

func isUnframed(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

// copyFlushing copies a body and flushes after each read, so that a streamed
// answer reaches the caller without delay. events follows the bytes, unless it is
// nil.
func copyFlushing(w http.ResponseWriter, r io.Reader, events *splitter.Scanner) tryResult {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if events != nil {
				events.Scan(buffer[:n])
			}
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return tryUnread
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return tryAnswered
		}
		if err != nil {
			return tryBrokenAnswer
		}
	}
}
