package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/registrar"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers, including
// those that Connection names.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

func addHeaders(to, from http.Header) {
	for name, values := range from {
		for _, v := range values {
			to.Add(name, v)
		}
	}
}

// dropOwnHeaders removes what only figtrack says of a call.
func dropOwnHeaders(h http.Header) {
	h.Del(outcomer.HeaderRan)
	h.Del(outcomer.HeaderRequest)
}

// requestIdentity returns what must be equal in two calls with the same key:
// method, URI and body.
func requestIdentity(r *http.Request, body []byte) []byte {
	out := append([]byte(r.Method), ' ')
	out = append(out, r.URL.RequestURI()...)
	out = append(out, '\n')
	return append(out, body...)
}

// isRepeatable reports whether the pool's configuration allows the call to run
// twice.
func (c *call) isRepeatable() bool { return IsRepeatable(c.pool, c.r.Method, c.r.URL.Path) }

// IsRepeatable reports whether a call may run twice: whether a rule of the pool
// has its method and a prefix of its path below the pool's prefix. A call that
// no rule names may not.
func IsRepeatable(pool registrar.Pool, method, path string) bool {
	rest := "/" + strings.TrimPrefix(strings.TrimPrefix(path, strings.TrimSuffix(pool.Prefix, "/")), "/")
	for _, rule := range pool.Repeatable {
		wantMethod, wantPath, _ := strings.Cut(rule, " ")
		if wantMethod == method && hasPathPrefix(rest, wantPath) {
			return true
		}
	}
	return false
}

// hasPathPrefix reports whether prefix is a prefix of path in whole path
// segments.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
