package exchanger

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/coordinator"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/wire"
)

const (
	// idleInterval is the interval at which an idle exchange asks its sections whether
	// they are active.
	idleInterval = 100 * time.Millisecond
	// maxQueued bounds the received datagrams that wait. A coordinator of 300 VMs receives
	// at most 50 reports from each a second; further ones are dropped and counted.
	maxQueued = 1024
	// readPause is the pause after a failed read of the socket.
	readPause = 10 * time.Millisecond
)

// Names of the core and of the sections' part in it.
const (
	coreExchange stepper.Core = "Exchange"
	coreSections stepper.Core = "ExchangeSections"
)

// Peer is a VM of the roster.
type Peer struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
	// Address is invalid if the VM takes no datagrams. Secret authenticates those to it.
	Address netip.AddrPort
	Secret  []byte
}

// Roster holds the VMs that a VM knows. It is immutable.
type Roster struct {
	Peers []Peer
	// Count is the number of VMs that share quotas, at least that of Peers.
	Count int
	// IsResumed is that of coordinator.RosterChanged. Secret is that of the earlier start
	// then, which others use until they know this one; nil if there was none.
	IsResumed bool
	Secret    []byte
}

// Self describes this VM's own start.
type Self struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
	Secret      []byte
}

// Shell performs the outcomes of one core. SetRoster and Request are safe for concurrent
// use.
type Shell struct {
	self     coordinator.Member
	secret   []byte
	conn     net.PacketConn
	sections []Section
	clock    clocker.Clock
	steps    *stepper.Stepper
	metrics  *Metrics
	log      zerolog.Logger

	// rosters holds the newest roster that the loop hasn't taken in, requests whether a
	// report was requested, received the datagrams that wait.
	rosters  chan Roster
	requests chan struct{}
	received chan []byte

	// The loop owns what follows. core is replaced after a panic.
	core *coordinator.Core
	// members is the roster as the core has it, peers holds the same VMs by name.
	members coordinator.RosterChanged
	peers   map[identifier.VM]Peer
	// report is the datagram of the latest report, which was made at reportedAt; nil if it
	// could not be made. reportedAt has the readings of both clocks.
	report     []byte
	reportedAt time.Time
	// answers holds the latest digest to each VM.
	answers map[identifier.VM]answer
}

type answer struct {
	sequence identifier.Sequence
	datagram []byte
}

// New returns a shell that sends and receives on conn once it has a roster. Its sections are called by the
// goroutine of Run.
func New(self Self, conn net.PacketConn, sections []Section, steps *stepper.Stepper, metrics *Metrics, log zerolog.Logger) *Shell {
	member := coordinator.Member{VM: self.VM, Incarnation: self.Incarnation, IsReachable: true}
	return &Shell{
		self: member, secret: self.Secret, conn: conn, sections: sections, clock: clocker.New(time.Now()),
		steps: steps, metrics: metrics, log: log, rosters: make(chan Roster, 1), requests: make(chan struct{}, 1),
		received: make(chan []byte, maxQueued), core: coordinator.New(member, 0, coordinator.StartupPeriod), peers: map[identifier.VM]Peer{}, answers: map[identifier.VM]answer{},
	}
}

// SetRoster replaces the roster. It never blocks.
func (s *Shell) SetRoster(r Roster) {
	for {
		select {
		case s.rosters <- r:
			return
		default:
		}
		select {
		case <-s.rosters:
		default:
		}
	}
}

// Request asks for a report soon. It never blocks.
func (s *Shell) Request() {
	select {
	case s.requests <- struct{}{}:
	default:
	}
}

// Run exchanges reports and digests until ctx is canceled, then closes the socket.
func (s *Shell) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	go s.read(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.requests:
			s.step(coordinator.Requested{})
		case r := <-s.rosters:
			s.setRoster(r)
		case datagram := <-s.received:
			s.handle(datagram)
		}
		timer.Reset(s.wake())
	}
}

// read queues datagrams until ctx is canceled.
func (s *Shell) read(ctx context.Context) {
	buffer := make([]byte, MaxDatagram+1)
	for ctx.Err() == nil {
		n, _, err := s.conn.ReadFrom(buffer)
		if err != nil {
			time.Sleep(readPause) // An ICMP error of an earlier send, or the end.
			continue
		}
		select {
		case s.received <- append([]byte(nil), buffer[:n]...):
		default:
			s.metrics.drop(reasonQueueFull)
		}
	}
}

// wake handles what is due and returns the time until the next wake.
func (s *Shell) wake() time.Duration {
	now := time.Now()
	isActive := false
	for _, section := range s.sections {
		s.steps.Call(coreSections, "IsActive", func() { isActive = section.IsActive(now) || isActive })
	}
	s.step(coordinator.Wake{IsActive: isActive})
	if !isActive {
		return idleInterval
	}
	// A core in which nothing can be sent isn't woken in a loop.
	return min(max(s.core.NextWake(s.clock.At(time.Now())), time.Millisecond), idleInterval)
}

func (s *Shell) setRoster(r Roster) {
	if len(r.Secret) == SecretSize {
		s.secret = r.Secret
	}
	former := s.peers
	s.peers = map[identifier.VM]Peer{}
	members := make([]coordinator.Member, 0, len(r.Peers))
	for _, p := range r.Peers {
		s.peers[p.VM] = p
		members = append(members, coordinator.Member{VM: p.VM, Incarnation: p.Incarnation, IsReachable: p.Address.IsValid() && len(p.Secret) == SecretSize})
	}
	s.members = coordinator.RosterChanged{Members: members, Count: r.Count, IsResumed: r.IsResumed}
	s.step(s.members)
	for vm, p := range former {
		if _, ok := s.peers[vm]; !ok && s.core.Knows(vm) {
			s.peers[vm] = p
		}
	}
	for vm := range s.answers {
		if !s.core.Knows(vm) {
			delete(s.answers, vm)
		}
	}
}

// step calls a step of the core and performs its outcomes except those of a received
// message, which it returns.
func (s *Shell) step(e coordinator.Event) (received []coordinator.Outcome) {
	var outcomes []coordinator.Outcome
	if !s.steps.Call(coreExchange, e, func() { outcomes = s.core.Step(s.clock.At(time.Now()), e) }) {
		s.core = coordinator.New(s.self, s.core.Sequence(), coordinator.StartupPeriod)
		s.steps.Call(coreExchange, "Rebuilt", func() { s.core.Step(s.clock.At(time.Now()), s.members) })
		return nil
	}
	for _, o := range outcomes {
		switch o := o.(type) {
		case coordinator.SendReport:
			s.sendReport(o)
		case coordinator.ResendReport:
			s.metrics.tries.Inc()
			s.send(o.To.VM, s.report)
		case coordinator.ResendDigest:
			if a, ok := s.answers[o.To.VM]; ok && a.sequence == o.Sequence {
				s.send(o.To.VM, a.datagram)
			}
		case coordinator.Drop:
			s.metrics.drop(o.Reason)
		case coordinator.Change:
			s.metrics.changes.Inc()
			s.log.Info().Str("From", string(o.From)).Str("To", string(o.To)).Msg("CoordinatorChanged")
		case coordinator.Lose:
			s.log.Warn().Time("Since", o.Since.Wall).Msg("CoordinatorLost")
			s.each("Lost", func(section Section) { section.Lost(time.Now()) })
		default:
			received = append(received, o)
		}
	}
	return received
}

// each calls all sections. One that panics has no part in the message.
func (s *Shell) each(event any, call func(section Section)) {
	for _, section := range s.sections {
		s.steps.Call(coreSections, event, func() { call(section) })
	}
}

func (s *Shell) sendReport(o coordinator.SendReport) {
	now := time.Now()
	s.reportedAt = now
	m := &wire.ExchangeReport{
		VM: string(s.self.VM), Incarnation: uint64(s.self.Incarnation), Sequence: uint64(o.Sequence),
		Coordinator: string(o.To.VM), CoordinatorIncarnation: uint64(o.To.Incarnation),
		Accepted: uint64(o.Accepted), Share: o.Share,
	}
	s.each("Report", func(section Section) { section.Report(now, m) })
	s.metrics.reports.Inc()
	if o.To == s.self {
		s.report = nil
		if digest := s.collect(m); digest != nil {
			s.apply(digest)
		}
		return
	}
	s.report = s.seal(o.To.VM, kindReport, m)
	s.send(o.To.VM, s.report)
}

// seal returns the datagram of a message to a VM; nil if there is none.
func (s *Shell) seal(to identifier.VM, k kind, m proto.Message) []byte {
	datagram, err := seal(s.peers[to].Secret, k, m)
	if err != nil {
		s.metrics.drop(reasonOf(err))
		return nil
	}
	return datagram
}

func (s *Shell) send(to identifier.VM, datagram []byte) {
	p, ok := s.peers[to]
	if !ok || datagram == nil {
		return
	}
	if _, err := s.conn.WriteTo(datagram, net.UDPAddrFromAddrPort(p.Address)); err != nil {
		s.metrics.drop(reasonNotSent)
		return
	}
	s.metrics.bytes.Add(float64(len(datagram)))
}

// handle handles a received datagram.
func (s *Shell) handle(datagram []byte) {
	m, err := open(s.secret, datagram)
	if err != nil {
		s.metrics.drop(reasonOf(err))
		return
	}
	switch m := m.(type) {
	case *wire.ExchangeReport:
		s.answer(m)
	case *wire.ExchangeDigest:
		s.apply(m)
	}
}

// answer answers the report of another VM.
func (s *Shell) answer(m *wire.ExchangeReport) {
	if m.GetCoordinator() != string(s.self.VM) || m.GetCoordinatorIncarnation() > uint64(s.self.Incarnation) || m.GetVM() == string(s.self.VM) {
		s.metrics.drop(reasonMisdirected)
		return
	}
	digest := s.collect(m)
	if digest == nil {
		return
	}
	from := identifier.VM(m.GetVM())
	datagram := s.seal(from, kindDigest, digest)
	s.answers[from] = answer{identifier.Sequence(m.GetSequence()), datagram}
	s.metrics.digests.Inc()
	s.send(from, datagram)
}

// collect returns the digest of a report that wasn't received before; else nil.
func (s *Shell) collect(m *wire.ExchangeReport) *wire.ExchangeDigest {
	for _, o := range s.step(coordinator.ReportReceived{
		VM: identifier.VM(m.GetVM()), Incarnation: identifier.Incarnation(m.GetIncarnation()), Sequence: identifier.Sequence(m.GetSequence()),
		Accepted: identifier.Sequence(m.GetAccepted()), Share: m.GetShare(),
	}) {
		if _, ok := o.(coordinator.Collect); !ok {
			continue
		}
		now := time.Now()
		at := s.clock.At(now)
		reporting, counting := s.core.Reporting(at)
		digest := &wire.ExchangeDigest{
			VM: string(s.self.VM), Incarnation: uint64(s.self.Incarnation), Sequence: m.GetSequence(),
			Reporting: uint32(reporting), Members: uint32(s.core.Members(at)), Counting: counting,
		}
		s.each("Collect", func(section Section) { section.Collect(now, m, digest) })
		return digest
	}
	return nil
}

// apply handles the digest of a coordinator, which may be this VM.
func (s *Shell) apply(m *wire.ExchangeDigest) {
	for _, o := range s.step(coordinator.DigestReceived{
		VM: identifier.VM(m.GetVM()), Incarnation: identifier.Incarnation(m.GetIncarnation()), Sequence: identifier.Sequence(m.GetSequence()),
	}) {
		if _, ok := o.(coordinator.Apply); ok {
			s.metrics.accepted.Inc()
			s.each("Apply", func(section Section) { section.Apply(time.Now(), s.reportedAt, m) })
		}
	}
}

func reasonOf(err error) coordinator.Reason {
	switch {
	case errors.Is(err, errTooLarge):
		return reasonTooLarge
	case errors.Is(err, errUnauthenticated):
		return reasonUnauthenticated
	default:
		return reasonMalformed
	}
}
