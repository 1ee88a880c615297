package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/figtrack/figtrack/registrar"
)

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd copies the headers that go on to the next hop.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

func addAll(to, from http.Header) {
	for name, values := range from {
		for _, v := range values {
			to.Add(name, v)
		}
	}
}

// identity is what must be equal in two calls with the same key.
func identity(r *http.Request, body []byte) []byte {
	out := append([]byte(r.Method), ' ')
	out = append(out, r.URL.RequestURI()...)
	out = append(out, '\n')
	return append(out, body...)
}

// repeatable says whether the pool's configuration allows the call to run
// twice.
func (c *call) repeatable() bool { return Repeatable(c.pool, c.r.Method, c.r.URL.Path) }

// Repeatable says whether a call may run twice. A call that the configuration
// does not name may not.
func Repeatable(pool registrar.Pool, method, path string) bool {
	rest := "/" + strings.TrimPrefix(strings.TrimPrefix(path, strings.TrimSuffix(pool.Prefix, "/")), "/")
	for _, rule := range pool.Repeatable {
		wantMethod, wantPath, _ := strings.Cut(rule, " ")
		if wantMethod == method && within(rest, wantPath) {
			return true
		}
	}
	return false
}

func within(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
