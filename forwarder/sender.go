package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/registrar"
)

// sent is how far one try came.
type sent string

const (
	// sentNothing means that no byte of the call went to the upstream.
	sentNothing sent = "NotSent"
	// sentNoAnswer means that the call may have run.
	sentNoAnswer sent = "NoAnswer"
	// sentAnswered means that the answer was passed on to its end.
	sentAnswered sent = "Answered"
	// sentBrokenAnswer means that the answer broke off.
	sentBrokenAnswer sent = "BrokenAnswer"
	// sentUnread means that the caller did not take the answer to its end.
	sentUnread sent = "Unread"
)

// outcome is what the last try came to; ran is what is known of all tries. It
// is nil after a whole answer.
func (s sent) outcome(ran outcomer.Ran) outcomer.Outcome {
	switch s {
	case sentNothing:
		if ran != outcomer.RanNo {
			return outcomer.UpstreamLost{}
		}
		return noUpstream()
	case sentNoAnswer:
		return outcomer.UpstreamLost{}
	case sentBrokenAnswer:
		return outcomer.BrokenOff{}
	case sentUnread:
		return outcomer.CallerGone{}
	default:
		return nil
	}
}

func noUpstream() outcomer.Outcome {
	return outcomer.FromAdmission(admitter.ReasonNoUpstream, retryAfter)
}

// read takes the whole body of a call into memory.
func (c *call) read() ([]byte, outcomer.Outcome) {
	body, err := io.ReadAll(io.LimitReader(c.r.Body, c.maxBody+1))
	if err != nil {
		return nil, outcomer.Malformed{}
	}
	if int64(len(body)) > c.maxBody {
		return nil, outcomer.TooLarge{}
	}
	return body, nil
}

// send makes one try on an upstream.
func (c *call) send(w http.ResponseWriter, u registrar.Upstream) sent {
	var connected atomic.Bool
	out := c.request(u, &connected)
	answer, err := c.transport().RoundTrip(out)
	if err != nil && connected.Load() {
		return sentNoAnswer
	}
	if err != nil {
		return sentNothing
	}
	defer answer.Body.Close()
	return c.pass(w, answer)
}

// transport gives a call that may not be repeated a connection of its own: on
// a kept one, a lost answer and a connection that had already ended look the
// same.
func (c *call) transport() http.RoundTripper {
	if c.repeatable() {
		return c.transports.Kept
	}
	return c.transports.Fresh
}

// request makes the request for an upstream. connected is set before the
// first byte can be written.
func (c *call) request(u registrar.Upstream, connected *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := c.r.Clone(httptrace.WithClientTrace(c.r.Context(), trace))
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = u.Address
	out.Header = endToEnd(c.r.Header)
	out.Close = false
	// The server fills the caller's own map when the body has ended.
	out.Trailer = c.r.Trailer
	if c.r.UserAgent() == "" {
		// Without an entry the transport writes its own name.
		out.Header["User-Agent"] = nil
	}
	// The transport repeats a request by itself where it has no body or can
	// rewind it. Only this package decides on a second run, so every request
	// gets a body that can't be rewound.
	out.GetBody = nil
	switch {
	case c.body != nil:
		out.Body = &onceBody{Reader: bytes.NewReader(c.body)}
		out.ContentLength = int64(len(c.body))
		if len(c.r.Trailer) > 0 {
			// Only a chunked body has trailers.
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

// pass copies the answer to the caller, with its trailers.
func (c *call) pass(w http.ResponseWriter, answer *http.Response) sent {
	addAll(w.Header(), endToEnd(answer.Header))
	for name := range answer.Trailer {
		w.Header().Add("Trailer", name)
	}
	// A service may answer while the caller's body still comes. Without this
	// the server closes the body at the first byte of the answer.
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.WriteHeader(answer.StatusCode)
	// The header goes out before the first part of the body comes.
	_ = control.Flush()
	if result := copyFlushing(w, answer.Body); result != sentAnswered {
		return result
	}
	for name, values := range answer.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
	return sentAnswered
}

const copyBuffer = 32 << 10

// copyFlushing copies a body and flushes each part, so that a streamed answer
// reaches the caller as it comes.
func copyFlushing(w http.ResponseWriter, r io.Reader) sent {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return sentUnread
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return sentAnswered
		}
		if err != nil {
			return sentBrokenAnswer
		}
	}
}
