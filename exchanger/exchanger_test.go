package exchanger

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/coordinator"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/wire"
)

// counter is a section that counts the calls to it.
type counter struct {
	mu                       sync.Mutex
	isIdle, panics           bool
	collected                map[string]int
	applied, lost, reporting int
}

func (c *counter) IsActive(time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isIdle
}

func (c *counter) Report(_ time.Time, to *wire.ExchangeReport) {
	if c.panics {
		panic("planted")
	}
	to.Quotas = append(to.Quotas, &wire.QuotaRequest{Workspace: "w", Wanted: 1})
}

func (c *counter) Collect(_ time.Time, from *wire.ExchangeReport, answer *wire.ExchangeDigest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collected[from.GetVM()]++
	answer.Quotas = append(answer.Quotas, &wire.QuotaGrant{Workspace: "w", Granted: 1})
}

func (c *counter) Apply(_, _ time.Time, digest *wire.ExchangeDigest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied += len(digest.GetQuotas())
	c.reporting = int(digest.GetReporting())
}

func (c *counter) Lost(time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost++
}

func (c *counter) read(of func() int) func() int {
	return func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return of()
	}
}

func valueOf(c prometheus.Counter) float64 {
	var m dto.Metric
	_ = c.Write(&m)
	return m.GetCounter().GetValue()
}

// vm is a VM of a test: a shell on a socket of its own, which stop ends.
type vm struct {
	*counter
	name    identifier.VM
	conn    net.PacketConn
	shell   *Shell
	metrics *Metrics
	stop    context.CancelFunc
}

// start starts n VMs that know each other.
func start(t *testing.T, n int, isIdle bool) []*vm {
	g := NewWithT(t)
	vms := make([]*vm, n)
	roster := Roster{Count: n}
	for i := range vms {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		registry := prometheus.NewRegistry()
		v := &vm{counter: &counter{collected: map[string]int{}, isIdle: isIdle}, name: identifier.VM(rune('a' + i)), conn: conn, metrics: NewMetrics(registry)}
		secret := NewSecret()
		address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		faulty := &counter{panics: true, collected: map[string]int{}, isIdle: isIdle}
		v.shell = New(Self{v.name, 1, secret}, conn, []Section{faulty, v.counter}, stepper.New(registry, zerolog.Nop()), v.metrics, zerolog.Nop())
		v.shell.core = coordinator.New(v.shell.self, 0, 0) // No startup period.
		roster.Peers = append(roster.Peers, Peer{v.name, 1, address, secret})
		vms[i] = v
	}
	for _, v := range vms {
		v.shell.SetRoster(roster)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		v.stop = sync.OnceFunc(func() { cancel(); <-ended })
		go func() { v.shell.Run(ctx); close(ended) }()
		t.Cleanup(v.stop)
	}
	return vms
}

// coordinatorOf returns the VM to which all others report.
func coordinatorOf(g *WithT, vms []*vm) *vm {
	var found *vm
	g.Eventually(func() *vm {
		for _, v := range vms {
			if v.read(func() int { return len(v.collected) })() == len(vms) {
				found = v
			}
		}
		return found
	}).WithTimeout(5 * time.Second).ShouldNot(BeNil())
	return found
}

// TestVMsExchangeThroughOneCoordinatorAndTheNextOne guards against VMs that stay without a
// coordinator once the first one has died, and against a section whose panic takes the
// others with it.
func TestVMsExchangeThroughOneCoordinatorAndTheNextOne(t *testing.T) {
	g := NewWithT(t)
	vms := start(t, 3, false)
	first := coordinatorOf(g, vms)
	for _, v := range vms {
		g.Eventually(v.read(func() int { return v.reporting })).WithTimeout(5 * time.Second).Should(Equal(3))
	}
	first.stop()
	var rest []*vm
	for _, v := range vms {
		if v != first {
			clear(v.collected)
			rest = append(rest, v)
		}
	}
	second := coordinatorOf(g, rest)
	for _, v := range rest {
		applied := v.read(func() int { return v.applied })
		before := applied()
		g.Eventually(applied).WithTimeout(5 * time.Second).Should(BeNumerically(">", before+2))
		g.Expect(v.read(func() int { return v.lost })()).To(BeZero())
	}
	g.Expect(valueOf(second.metrics.digests)).To(BeNumerically(">", 0))
}

// TestIdleExchangeSendsNothing guards against datagrams of a fleet that exchanges nothing.
func TestIdleExchangeSendsNothing(t *testing.T) {
	g := NewWithT(t)
	vms := start(t, 2, true)
	sent := func() float64 { return valueOf(vms[0].metrics.bytes) + valueOf(vms[1].metrics.bytes) }
	g.Consistently(sent).WithTimeout(500 * time.Millisecond).Should(BeZero())
}

// TestOnlyAuthenticReportsAreCollectedOnce sends a VM datagrams that are forged, replayed,
// truncated, too large or for another VM.
func TestOnlyAuthenticReportsAreCollectedOnce(t *testing.T) {
	report := func(v *vm, sequence uint64) *wire.ExchangeReport {
		return &wire.ExchangeReport{VM: "z", Incarnation: 1, Sequence: sequence, Coordinator: string(v.name), CoordinatorIncarnation: 1, Share: 1}
	}
	sealed := func(v *vm, m *wire.ExchangeReport) []byte {
		d, err := seal(v.shell.secret, kindReport, m)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return d
	}
	cases := []struct {
		name      string
		datagrams func(v *vm) [][]byte
		reason    string
		collected int
	}{
		{"repeated", func(v *vm) [][]byte { d := sealed(v, report(v, 1)); return [][]byte{d, d} }, "", 1},
		{"replayed", func(v *vm) [][]byte { return [][]byte{sealed(v, report(v, 2)), sealed(v, report(v, 1))} }, "Outdated", 1},
		{"forged", func(v *vm) [][]byte {
			d := sealed(v, report(v, 1))
			d[len(d)-1] ^= 1
			return [][]byte{d}
		}, "Unauthenticated", 0},
		{"other secret", func(v *vm) [][]byte {
			d, _ := seal(NewSecret(), kindReport, report(v, 1))
			return [][]byte{d}
		}, "Unauthenticated", 0},
		{"other kind", func(v *vm) [][]byte {
			d := sealed(v, report(v, 1))
			d[0] = byte(kindDigest)
			return [][]byte{d}
		}, "Unauthenticated", 0},
		{"truncated", func(v *vm) [][]byte {
			d := sealed(v, report(v, 1))
			return [][]byte{d[:len(d)-1], d[:headSize], d[:3], {}}
		}, "Unauthenticated", 0},
		{"oversized", func(*vm) [][]byte { return [][]byte{make([]byte, MaxDatagram+1), make([]byte, 60_000)} }, "TooLarge", 0},
		{"malformed", func(v *vm) [][]byte {
			m := report(v, 1)
			m.Share = 2
			return [][]byte{sealed(v, m)}
		}, "Malformed", 0},
		{"to another start", func(v *vm) [][]byte {
			m := report(v, 1)
			m.CoordinatorIncarnation = 2
			return [][]byte{sealed(v, m)}
		}, "Misdirected", 0},
		{"of an earlier start", func(v *vm) [][]byte {
			m := report(v, 1)
			m.Incarnation = 0
			return [][]byte{sealed(v, m)}
		}, "UnknownSender", 0},
		{"of a later start than the roster has", func(v *vm) [][]byte {
			m := report(v, 1)
			m.Incarnation = 2
			return [][]byte{sealed(v, m)}
		}, "", 1},
		{"of no member", func(v *vm) [][]byte {
			m := report(v, 1)
			m.VM = "y"
			return [][]byte{sealed(v, m)}
		}, "UnknownSender", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			v := start(t, 1, true)[0]
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			secret := NewSecret()
			v.shell.SetRoster(Roster{Count: 2, Peers: []Peer{{"z", 1, conn.LocalAddr().(*net.UDPAddr).AddrPort(), secret}}})
			g.Eventually(func() int { return len(v.shell.rosters) }).Should(BeZero())
			time.Sleep(20 * time.Millisecond) // The loop takes the roster in.
			for _, d := range c.datagrams(v) {
				_, err := conn.WriteTo(d, v.conn.LocalAddr())
				g.Expect(err).NotTo(HaveOccurred())
			}
			if c.reason != "" {
				g.Eventually(func() float64 { return valueOf(v.metrics.drops.WithLabelValues(c.reason)) }).Should(BeNumerically(">", 0))
			}
			g.Eventually(v.read(func() int { return v.collected["z"] })).Should(Equal(c.collected))
			g.Consistently(v.read(func() int { return v.collected["z"] })).WithTimeout(50 * time.Millisecond).Should(Equal(c.collected))
			if c.name != "repeated" {
				return
			}
			var answers []string
			for range 2 {
				buffer := make([]byte, MaxDatagram)
				g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				n, _, err := conn.ReadFrom(buffer)
				g.Expect(err).NotTo(HaveOccurred())
				m, err := open(secret, buffer[:n])
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(m.(*wire.ExchangeDigest).GetSequence()).To(Equal(uint64(1)))
				answers = append(answers, string(buffer[:n]))
			}
			g.Expect(answers[0]).To(Equal(answers[1]))
		})
	}
}

// FuzzDecode checks that no message makes the decoder or a VM panic.
func FuzzDecode(f *testing.F) {
	for _, m := range []string{"", "\x0a\x01z\x10\x01\x18\x01", "\x18\x01\x22\x0a\x0a\x01w\x11\x00\x00\x00\x00\x00\x00\xf8\x7f", strings.Repeat("\x2a\x00", 300)} {
		f.Add(byte(kindReport), []byte(m))
		f.Add(byte(kindDigest), []byte(m))
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { conn.Close() })
	registry := prometheus.NewRegistry()
	shell := New(Self{"a", 1, NewSecret()}, conn, []Section{&counter{collected: map[string]int{}}}, stepper.New(registry, zerolog.Nop()), NewMetrics(registry), zerolog.Nop())
	shell.setRoster(Roster{Count: 2, Peers: []Peer{{"z", 1, conn.LocalAddr().(*net.UDPAddr).AddrPort(), NewSecret()}}})
	f.Fuzz(func(t *testing.T, k byte, message []byte) {
		shell.handle(append(append([]byte{k}, sum(shell.secret, kind(k), message)...), message...))
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() == "figtrack_core_panics_total" {
				t.Fatal("a step panicked: ", family)
			}
		}
	})
}
