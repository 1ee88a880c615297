package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/figtrack/figtrack/launcher"
)

// TestUnexpectedAnswerIsNotQuoted guards against API keys in the log: net/http quotes an
// answer that comes on an idle connection, such as a copy of the store's configuration.
func TestUnexpectedAnswerIsNotQuoted(t *testing.T) {
	g := NewWithT(t)
	out := gbytes.NewBuffer()
	former := log.Writer()
	defer log.SetOutput(former)
	log.SetOutput(launcher.NewUnquotedWriter(out))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	isRead := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c)) // The answer doesn't depend on it.
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-isRead
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nsecret-key")
	}()
	w, err := (&http.Client{Transport: &http.Transport{}}).Get("http://" + l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(w.Body)
	g.Expect(err).NotTo(HaveOccurred())
	w.Body.Close()
	time.AfterFunc(50*time.Millisecond, func() { close(isRead) }) // The connection is idle by then.
	g.Eventually(out).WithTimeout(5 * time.Second).Should(gbytes.Say("Unsolicited response received on idle HTTP channel"))
	g.Expect(string(out.Contents())).NotTo(ContainSubstring("secret-key"))
}
