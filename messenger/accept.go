package messenger

import (
	"bufio"
	"context"

	"github.com/quic-go/quic-go"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// refusedCode is the QUIC application error code for a connection or a call that
// is refused.
const refusedCode = 1

// acceptConnections accepts the connections of peers until the messenger is
// closed.
func (m *Messenger) acceptConnections() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		from, ok := m.identifyPeer(conn)
		if !ok {
			_ = conn.CloseWithError(refusedCode, "not among the peers")
			continue
		}
		m.wg.Go(func() { m.acceptCalls(conn, from) })
		m.wg.Go(func() { m.acceptOneWayStreams(conn, from) })
	}
}

// identifyPeer returns the VM that the connection's certificate names. It
// returns false if the certificate is invalid or the VM is not a peer.
func (m *Messenger) identifyPeer(conn *quic.Conn) (identifier.VM, bool) {
	holder, err := m.keyring.Verify(conn.ConnectionState().TLS.PeerCertificates, certifier.RoleVM)
	if err != nil {
		m.recordRefusal(conn, "BadCertificate", err)
		return "", false
	}
	from := identifier.VM(holder.Name)
	if m.peer(from) == nil {
		m.recordRefusal(conn, "UnknownPeer", nil)
		return "", false
	}
	return from, true
}

// recordRefusal counts and logs a refused connection.
func (m *Messenger) recordRefusal(conn *quic.Conn, reason string, err error) {
	m.counters.refused.Add(1)
	m.log.Warn().Err(err).Str("Address", conn.RemoteAddr().String()).Str("Reason", reason).Msg("PeerRefused")
}

// acceptOneWayStreams handles the one-way streams of a connection, one at a
// time.
func (m *Messenger) acceptOneWayStreams(conn *quic.Conn, from identifier.VM) {
	for {
		stream, err := conn.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		m.handleOneWayStream(bufio.NewReader(stream), from)
		stream.CancelRead(0)
	}
}

// handleOneWayStream handles the messages of a one-way stream in their order.
// Only the first message names its sender, so its sender fields are copied to
// the others.
func (m *Messenger) handleOneWayStream(r *bufio.Reader, from identifier.VM) {
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
		if m.checkMessage(from, e) {
			m.handler(m.ctx, from, e)
		}
	}
}

// acceptCalls handles the calls of a connection, each on a goroutine of its own.
func (m *Messenger) acceptCalls(conn *quic.Conn, from identifier.VM) {
	for {
		stream, err := conn.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.wg.Go(func() { m.handleCall(stream, from) })
	}
}

// handleCall handles one call and sends the handler's answer, or an empty
// envelope if there is none.
func (m *Messenger) handleCall(stream *quic.Stream, from identifier.VM) {
	defer stream.CancelRead(0)
	defer stream.Close()
	e, err := m.read(bufio.NewReader(stream))
	if err != nil || !m.checkMessage(from, e) {
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

// checkMessage reports whether a message names the right deployment and sender
// and has not been received before. It counts and logs a refused message.
func (m *Messenger) checkMessage(from identifier.VM, e *wire.Envelope) bool {
	reason := m.validate(from, e)
	if reason == "" {
		return true
	}
	m.counters.refused.Add(1)
	m.log.Warn().Str("Peer", string(from)).Str("Reason", reason).Uint64("Sequence", e.Sequence).Msg("MessageRefused")
	return false
}

// validate returns the reason to refuse a message; empty if it is accepted. It
// records the message's sequence number as received.
func (m *Messenger) validate(from identifier.VM, e *wire.Envelope) string {
	if e.Deployment != m.deployment {
		return "OtherDeployment"
	}
	if e.From != string(from) {
		return "OtherSender"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.windows[from]
	if seen == nil {
		return "UnknownPeer"
	}
	if !seen.add(identifier.Incarnation(e.Incarnation), identifier.Sequence(e.Sequence)) {
		return "Replayed"
	}
	return ""
}
