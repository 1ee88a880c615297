package exchanger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"math"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/wire"
)

// A datagram is the kind of its message, the MAC of all else, and the message.
const (
	// MaxDatagram is the size of the largest datagram in bytes.
	MaxDatagram = 8 << 10
	// SecretSize is the size of a VM's secret in bytes.
	SecretSize = 32
	macSize    = 16
	headSize   = 1 + macSize
)

type kind byte

const (
	kindReport kind = 'R'
	kindDigest kind = 'D'
)

// maxAmount bounds the amounts of a message, so that sums of them stay exact enough.
const maxAmount = 1e15

// Errors of open. Each is counted by its name in Reason.
var (
	errTooLarge        = errors.New("larger than a datagram may be")
	errUnauthenticated = errors.New("too short or not authenticated by this VM's secret")
	errMalformed       = errors.New("not a message, or values out of range")
)

// NewSecret returns a random secret.
func NewSecret() []byte {
	secret := make([]byte, SecretSize)
	_, _ = rand.Read(secret) // It never returns an error.
	return secret
}

func sum(secret []byte, k kind, message []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte{byte(k)})
	h.Write(message)
	return h.Sum(nil)[:macSize]
}

// seal returns the datagram of a message to the VM with a secret.
func seal(secret []byte, k kind, m proto.Message) ([]byte, error) {
	message, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(errMalformed, err.Error())
	}
	if headSize+len(message) > MaxDatagram {
		return nil, errTooLarge
	}
	return append(append([]byte{byte(k)}, sum(secret, k, message)...), message...), nil
}

// open returns the message of a datagram, an ExchangeReport or an ExchangeDigest.
func open(secret, datagram []byte) (proto.Message, error) {
	if len(datagram) > MaxDatagram {
		return nil, errTooLarge
	}
	if len(datagram) < headSize {
		return nil, errUnauthenticated
	}
	k, mac, message := kind(datagram[0]), datagram[1:headSize], datagram[headSize:]
	if !hmac.Equal(mac, sum(secret, k, message)) {
		return nil, errUnauthenticated
	}
	return decode(k, message)
}

// decode decodes a message and checks that its values are in range.
func decode(k kind, message []byte) (proto.Message, error) {
	switch k {
	case kindReport:
		m := &wire.ExchangeReport{}
		if proto.Unmarshal(message, m) == nil && isValidReport(m) {
			return m, nil
		}
	case kindDigest:
		m := &wire.ExchangeDigest{}
		if proto.Unmarshal(message, m) == nil && isValidDigest(m) {
			return m, nil
		}
	}
	return nil, errMalformed
}

func isValidReport(m *wire.ExchangeReport) bool {
	for _, q := range m.GetQuotas() {
		if !areAmounts(q.GetWanted(), q.GetReturned(), q.GetHeld(), q.GetLeast()) {
			return false
		}
	}
	return m.GetSequence() > 0 && areAmounts(m.GetShare()) && m.GetShare() <= 1
}

func isValidDigest(m *wire.ExchangeDigest) bool {
	for _, q := range m.GetQuotas() {
		if !areAmounts(q.GetGranted()) {
			return false
		}
	}
	return m.GetSequence() > 0 && areAmounts(m.GetCounting())
}

func areAmounts(amounts ...float64) bool {
	for _, a := range amounts {
		if math.IsNaN(a) || a < 0 || a > maxAmount {
			return false
		}
	}
	return true
}
