package server_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/piper"
	"github.com/figtrack/figtrack/reclaimer"
)

// uplink is a VM's way to the upstreams, which can be cut.
type uplink struct {
	network *piper.Network
	mu      sync.Mutex
	down    bool
	conns   []net.Conn
}

// Dial opens a connection as long as the uplink is not cut.
func (u *uplink) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := u.network.Dial(ctx, network, address)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil && u.down {
		conn.Close()
		return nil, errors.New("the uplink is cut")
	}
	if err == nil {
		u.conns = append(u.conns, conn)
	}
	return conn, err
}

func (u *uplink) cut() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = true
	for _, conn := range u.conns {
		conn.Close()
	}
}

// TestMemoryOfACrashedVMIsReleased ends either VM in mid-stream without a
// word to the engines. The other one releases what it held, and goes on to
// serve.
func TestMemoryOfACrashedVMIsReleased(t *testing.T) {
	for vm := range 2 {
		t.Run(string(vmName(vm)), func(t *testing.T) {
			onSite(t, nil, func(s *site) {
				r := completion(`{"model":"timber-7b","prompt":"Hello.","max_tokens":20000,"stream":true}`)
				r.vm = vm
				got := make(chan reply, 1)
				go func() { got <- s.call(context.Background(), r) }()
				time.Sleep(time.Second)
				s.Expect(s.holds()).To(HaveLen(1))
				s.uplinks[vm].cut()
				s.servers[vm].Kill()
				text, done := s.text(<-got)
				s.Expect(done).To(BeFalse())
				s.Expect(answerTo("Hello.", 20000)).To(HavePrefix(text))
				s.Expect(s.holds()).To(HaveLen(1))
				time.Sleep(reclaimer.ReleaseSilentWithin)
				s.Expect(s.holds()).To(BeEmpty())
				again := crowdRequest(1 - vm)
				s.Expect(s.call(context.Background(), again).body).To(HaveSuffix("data: [DONE]\n\n"))
			})
		})
	}
}
