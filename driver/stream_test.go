package driver

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

var fuzzHold = identifier.Hold{VM: "vm-1", Incarnation: 1, Request: "r", Attempt: 1}

// readStream reads data as a stream that starts at token 0.
func readStream(data []byte) ([]Token, error) {
	s := newStream("decode-1", io.NopCloser(bytes.NewReader(data)), 0)
	if err := s.readFirstLine(fuzzHold); err != nil {
		return nil, err
	}
	var tokens []Token
	for {
		token, err := s.Next()
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, token)
	}
}

func writeStream(tokens []Token) []byte {
	var data bytes.Buffer
	lines := json.NewEncoder(&data)
	_ = lines.Encode(StreamLine{Hold: &fuzzHold})
	for i := range tokens {
		_ = lines.Encode(StreamLine{Token: &tokens[i]})
	}
	return data.Bytes()
}

// FuzzStream checks that only a complete answer ends with io.EOF, that any other
// end is an *Error of a known kind, and that the tokens survive a round trip.
func FuzzStream(f *testing.F) {
	whole := writeStream([]Token{{Text: "a "}, {Index: 1, Text: "b ", Finish: "stop"}})
	f.Add(whole)
	f.Add(whole[:len(whole)-2])
	f.Add(writeStream([]Token{{Text: "a "}, {Index: 2, Text: "c ", Finish: "stop"}}))
	f.Add([]byte(`{"Refusal":{"Kind":"Gone","Reason":"evicted"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		tokens, err := readStream(data)
		for i, token := range tokens {
			g.Expect(token.Index).To(Equal(identifier.Tokens(i)))
			g.Expect(token.Finish != "").To(Equal(i == len(tokens)-1 && err == io.EOF))
		}
		if err != io.EOF {
			var e *Error
			g.Expect(errors.As(err, &e)).To(BeTrue())
			g.Expect(e.Kind).To(BeElementOf(KindNotRun, KindFull, KindGone, KindLeaving, KindUnknown))
			return
		}
		again, err := readStream(writeStream(tokens))
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(again).To(Equal(tokens))
	})
}

func TestStreamErrorKinds(t *testing.T) {
	first := string(writeStream([]Token{{Text: "a "}}))
	last := `{"Token":{"Index":1,"Text":"b ","Finish":"stop"}}`
	for _, c := range []struct {
		name, data string
		kind       Kind
	}{
		{"whole", first + last, ""},
		{"cut between lines", first, KindUnknown},
		{"cut inside a line", first + last[:20], KindUnknown},
		{"repeated token", first + `{"Token":{"Index":0,"Text":"a "}}`, KindUnknown},
		{"missing token", first + `{"Token":{"Index":2,"Text":"c ","Finish":"stop"}}`, KindUnknown},
		{"hold lost", first + `{"Refusal":{"Kind":"Gone"}}`, KindGone},
		{"NotRun after a token", first + `{"Refusal":{"Kind":"NotRun"}}`, KindUnknown},
		{"refused at once", `{"Refusal":{"Kind":"Full"}}`, KindFull},
		{"unknown kind", `{"Refusal":{"Kind":"Perhaps"}}`, KindUnknown},
		{"another attempt", `{"Hold":{"VM":"vm-1","Incarnation":1,"Request":"r","Attempt":2}}`, KindUnknown},
		{"long line", first + string(make([]byte, maxLineBytes+1)), KindUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := readStream([]byte(c.data))
			if c.kind == "" {
				g.Expect(err).To(Equal(io.EOF))
				return
			}
			var e *Error
			g.Expect(errors.As(err, &e)).To(BeTrue())
			g.Expect(e.Kind).To(Equal(c.kind))
		})
	}
}
