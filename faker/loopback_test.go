package faker_test

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/poster"
)

// TestFakesServeOnLoopback generates an answer and writes to the store over
// real sockets on ephemeral ports.
func TestFakesServeOnLoopback(t *testing.T) {
	g := NewWithT(t)
	client := poster.NewClient()
	defer client.CloseIdleConnections()
	prefill, err := faker.NewEngineServer(faker.DefaultEngine(identifier.RolePrefill), faker.ListenOnLoopback, client)
	g.Expect(err).NotTo(HaveOccurred())
	defer prefill.Kill()
	decode, err := faker.NewEngineServer(faker.DefaultEngine(identifier.RoleDecode), faker.ListenOnLoopback, client)
	g.Expect(err).NotTo(HaveOccurred())
	defer decode.Kill()
	order := driver.PrefillRequest{Hold: hold("a"), Prompt: "a long survey", Tokens: 500, MaxOutput: 4}
	_, err = driver.NewHTTP("prefill-1", prefill.URL(), client).Prefill(t.Context(), order)
	g.Expect(err).NotTo(HaveOccurred())
	engine := driver.NewHTTP("decode-1", decode.URL(), client)
	_, err = engine.Import(t.Context(), driver.ImportRequest{Hold: hold("a"), From: prefill.Address(), Tokens: 500, Pieces: 1})
	g.Expect(err).NotTo(HaveOccurred())
	stream, err := engine.Decode(t.Context(), driver.DecodeRequest{Hold: hold("a"), MaxOutput: 4})
	g.Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	var text strings.Builder
	token, err := stream.Next()
	for ; err == nil; token, err = stream.Next() {
		text.WriteString(token.Text)
	}
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(text.String()).To(Equal(strings.Join(faker.Answer(order.Prompt, faker.AnswerLength(order.Prompt, 4)), "")))

	store, err := faker.NewStore(faker.ListenOnLoopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer store.Close()
	values := keeper.New(keeper.Settings{Endpoints: []string{store.URL()}, Client: client}, keeper.NewMetrics())
	_, written, err := values.Swap(t.Context(), keeper.PurposeConfiguration, "/a", 0, []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(written).To(BeTrue())
	g.Expect(store.SetRefusing(true)).To(Succeed())
	g.Expect(store.SetRefusing(false)).To(Succeed())
	entry, err := values.Get(t.Context(), keeper.PurposeConfiguration, "/a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(entry.Value)).To(Equal("1"))
}
