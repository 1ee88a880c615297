package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// answerTwice answers each request on a connection with its query, and sends each answer
// once more after the next request on the connection was read.
func answerTwice(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for copied := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := r.URL.RawQuery
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if _, err := io.WriteString(c, copied+answer); err != nil {
			return
		}
		copied = answer
	}
}

// TestLateCopyOfAnAnswerReachesNoOtherCaller guards against a service's answer that is given
// to the next caller whose call uses the connection.
func TestLateCopyOfAnAnswerReachesNoOtherCaller(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		withSite(t, []instance{{conn: answerTwice}}, func(s *site) {
			for _, caller := range []string{"caller=1", "caller=2", "caller=3"} {
				answer := s.do(method, "/orders/stock?"+caller, "", nil)
				text, err := io.ReadAll(answer.Body)
				answer.Body.Close()
				s.Expect(err).NotTo(HaveOccurred())
				s.Expect(string(text)).To(Equal(caller), method)
			}
		})
	}
}
