package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/messenger"
	"github.com/figtrack/figtrack/wire"
)

// testTimeout ends a test that hangs. No test waits for it to pass.
const testTimeout = 30 * time.Second

// vm is a messenger and the address that its peers use.
type vm struct {
	*messenger.Messenger
	messenger.Peer
}

// newVM returns a messenger on a free port, with a certificate of authority a
// for the role and name.
func newVM(g *WithT, a *certifier.Authority, deployment string, role certifier.Role, name identifier.VM, authorities []byte) vm {
	pair, err := a.Issue(role, string(name), time.Now(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	ring, err := certifier.NewKeyring(deployment, pair, authorities, time.Now)
	g.Expect(err).NotTo(HaveOccurred())
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	m := messenger.New(name, deployment, 1, ring, conn, zerolog.Nop())
	return vm{m, messenger.Peer{VM: name, Address: conn.LocalAddr().String()}}
}

func TestCallsAndSendsReachThePeer(t *testing.T) {
	g := NewWithT(t)
	a, err := certifier.NewAuthority("himal", time.Now(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	one := newVM(g, a, "himal", certifier.RoleVM, "vm-1", a.Pair().Certificate)
	two := newVM(g, a, "himal", certifier.RoleVM, "vm-2", a.Pair().Certificate)
	got := make(chan *wire.Envelope, 10)
	peers := []messenger.Peer{one.Peer, two.Peer}
	g.Expect(one.Start(func(context.Context, identifier.VM, *wire.Envelope) *wire.Envelope { return nil }, peers)).To(Succeed())
	g.Expect(two.Start(func(_ context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
		g.Expect(from).To(Equal(identifier.VM("vm-1")))
		got <- e
		return &wire.Envelope{Body: &wire.Envelope_Claim{Claim: &wire.Claim{}}}
	}, peers)).To(Succeed())
	defer one.Close()
	defer two.Close()

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := one.Call(ctx, "vm-2", &wire.Envelope{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.GetFrom()).To(Equal("vm-2"))
	g.Expect(answer.GetClaim()).NotTo(BeNil())
	for range 3 {
		g.Expect(one.Send("vm-2", &wire.Envelope{})).To(BeTrue())
	}
	var last uint64
	for range 4 {
		e := <-got
		g.Expect(e.GetSequence()).To(BeNumerically(">", last))
		last = e.GetSequence()
	}
	g.Expect(one.Send("vm-9", &wire.Envelope{})).To(BeFalse())
}

func TestUnknownPeersAreRefused(t *testing.T) {
	a, err := certifier.NewAuthority("himal", time.Now(), time.Hour)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	b, err := certifier.NewAuthority("tafelbaai", time.Now(), time.Hour)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	both := append(a.Pair().Certificate, b.Pair().Certificate...)
	cases := []struct {
		name       string
		authority  *certifier.Authority
		deployment string
		role       certifier.Role
		vm         identifier.VM
	}{
		{"other deployment", b, "tafelbaai", certifier.RoleVM, "vm-2"},
		{"wrong role", a, "himal", certifier.RoleOperator, "vm-2"},
		{"unknown VM", a, "himal", certifier.RoleVM, "vm-3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			own := newVM(g, a, "himal", certifier.RoleVM, "vm-1", both)
			stranger := newVM(g, c.authority, c.deployment, c.role, c.vm, both)
			handle := func(context.Context, identifier.VM, *wire.Envelope) *wire.Envelope {
				t.Error("a message of an unknown peer was handled")
				return nil
			}
			g.Expect(own.Start(handle, []messenger.Peer{{VM: "vm-2", Address: stranger.Address}})).To(Succeed())
			g.Expect(stranger.Start(handle, []messenger.Peer{own.Peer})).To(Succeed())
			defer own.Close()
			defer stranger.Close()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_, err := stranger.Call(ctx, "vm-1", &wire.Envelope{})
			g.Expect(err).To(HaveOccurred())
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
		})
	}
}
