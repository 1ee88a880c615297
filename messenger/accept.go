package messenger

import (
	"bufio"
	"context"

	"github.com/quic-go/quic-go"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// refusedCode ends a connection whose messages are not accepted.
const refusedCode = 1

func (m *Messenger) accept() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		from, ok := m.identify(conn)
		if !ok {
			_ = conn.CloseWithError(refusedCode, "not among the peers")
			continue
		}
		m.wg.Go(func() { m.acceptCalls(conn, from) })
		m.wg.Go(func() { m.acceptSends(conn, from) })
	}
}

// identify names the peer by its certificate.
func (m *Messenger) identify(conn *quic.Conn) (identifier.VM, bool) {
	holder, err := m.keyring.Verify(conn.ConnectionState().TLS.PeerCertificates, certifier.RoleVM)
	if err != nil {
		m.refuse(conn, "BadCertificate", err)
		return "", false
	}
	from := identifier.VM(holder.Name)
	if m.peer(from) == nil {
		m.refuse(conn, "UnknownPeer", nil)
		return "", false
	}
	return from, true
}

func (m *Messenger) refuse(conn *quic.Conn, reason string, err error) {
	m.counters.refused.Add(1)
	m.log.Warn().Err(err).Str("Address", conn.RemoteAddr().String()).Str("Reason", reason).Msg("PeerRefused")
}

func (m *Messenger) acceptSends(conn *quic.Conn, from identifier.VM) {
	for {
		stream, err := conn.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		m.receive(bufio.NewReader(stream), from)
		stream.CancelRead(0)
	}
}

// receive handles the one-way messages of a stream in their order.
func (m *Messenger) receive(r *bufio.Reader, from identifier.VM) {
	var first *wire.Envelope
	for {
		e, err := m.read(r)
		if err != nil {
			return
		}
		if first == nil {
			first = e
		}
		e.Deployment, e.From, e.Incarnation = first.Deployment, first.From, first.Incarnation
		if m.accepted(from, e) {
			m.handler(m.ctx, from, e)
		}
	}
}

func (m *Messenger) acceptCalls(conn *quic.Conn, from identifier.VM) {
	for {
		stream, err := conn.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.wg.Go(func() { m.answer(stream, from) })
	}
}

func (m *Messenger) answer(stream *quic.Stream, from identifier.VM) {
	defer stream.CancelRead(0)
	defer stream.Close()
	e, err := m.read(bufio.NewReader(stream))
	if err != nil || !m.accepted(from, e) {
		stream.CancelWrite(refusedCode)
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	answer := m.handler(ctx, from, e)
	if answer == nil {
		answer = &wire.Envelope{}
	}
	m.stamp(answer, true)
	w := bufio.NewWriter(stream)
	if m.write(w, answer) == nil {
		_ = w.Flush()
	}
}

// accepted checks what a message says of its sender and that it is new.
func (m *Messenger) accepted(from identifier.VM, e *wire.Envelope) bool {
	reason := m.reject(from, e)
	if reason == "" {
		return true
	}
	m.counters.refused.Add(1)
	m.log.Warn().Str("Peer", string(from)).Str("Reason", reason).Uint64("Sequence", e.Sequence).Msg("MessageRefused")
	return false
}

func (m *Messenger) reject(from identifier.VM, e *wire.Envelope) string {
	if e.Deployment != m.deployment {
		return "OtherDeployment"
	}
	if e.From != string(from) {
		return "OtherSender"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.seen[from]
	if seen == nil {
		return "UnknownPeer"
	}
	if !seen.add(identifier.Incarnation(e.Incarnation), identifier.Sequence(e.Sequence)) {
		return "Replayed"
	}
	return ""
}
