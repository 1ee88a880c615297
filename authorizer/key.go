package authorizer

import (
	"crypto/sha256"
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// redacted is what a key prints as.
const redacted = "redacted"

// Key is the digest of an API key. The zero Key is that of a caller that sent none. It
// prints as redacted in every form: digests of weak keys can be guessed.
type Key struct {
	// digest is nil in the zero Key. fmt prints unexported fields of other structs without
	// calling their methods, and follows one pointer if the verb doesn't fit, but not two.
	digest **digest
}

type digest [sha256.Size]byte

// NewKey returns the key with a text; the zero Key for an empty text.
func NewKey(text string) Key {
	if text == "" {
		return Key{}
	}
	d := new(digest(sha256.Sum256([]byte(text))))
	return Key{&d}
}

// IsZero reports whether the caller sent no key.
func (k Key) IsZero() bool { return k.digest == nil }

// String implements fmt.Stringer.
func (Key) String() string { return redacted }

// Format implements fmt.Formatter for all verbs.
func (Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText implements encoding.TextMarshaler, and with it the keys of JSON maps.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalJSON implements json.Marshaler.
func (Key) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (Key) MarshalZerologObject(e *zerolog.Event) { e.Str("Key", redacted) }
