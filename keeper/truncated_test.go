package keeper_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/piper"
)

// TestTruncatedReplyIsAnError cuts replies of the store in each framing. A list of part of the
// entries would remove the others, and half a reply to a write proves nothing.
func TestTruncatedReplyIsAnError(t *testing.T) {
	half := listReply[:len(listReply)/2]
	for _, rest := range []string{
		"Connection: close\r\n\r\n",
		"Connection: close\r\n\r\n" + half,
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(listReply), half),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(half), half),
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var network piper.Network
			l, err := network.Listen("")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+rest)
					}
					c.Close()
				}
			}()
			client := network.Client()
			defer client.CloseIdleConnections()
			store := keeper.New(keeper.Settings{
				Endpoints: []string{"http://" + l.Addr().String()}, Timeout: time.Second, Client: client,
				Shares: map[keeper.Purpose]keeper.Share{purpose: {1000, 1000, 1000, 1000}},
			}, keeper.NewMetrics())
			_, err = store.List(t.Context(), purpose, "a")
			g.Expect(kindOf(err)).To(Equal(keeper.KindNotDone), rest)
			_, _, err = store.Swap(t.Context(), purpose, "a", 0, nil)
			g.Expect(kindOf(err)).To(Equal(keeper.KindUnknown), rest)
		})
	}
}
