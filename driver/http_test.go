package driver_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/piper"
)

// site is a fake prefill engine, a fake decode engine and their clients in a
// virtual network.
type site struct {
	*WithT
	ctx             context.Context
	client          *http.Client
	prefillServer   *faker.EngineServer
	decodeServer    *faker.EngineServer
	prefill, decode driver.Engine
}

// onSite runs a test on a site in virtual time. change may adapt the settings
// of the engines.
func onSite(t *testing.T, change func(prefill, decode *faker.EngineSettings), test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network piper.Network
		s := &site{WithT: NewWithT(t), client: network.Client()}
		prefill, decode := faker.DefaultEngine(identifier.RolePrefill), faker.DefaultEngine(identifier.RoleDecode)
		if change != nil {
			change(&prefill, &decode)
		}
		s.prefillServer = s.startEngine(prefill, network.Listen)
		s.decodeServer = s.startEngine(decode, network.Listen)
		s.prefill = driver.NewHTTP("prefill-1", s.prefillServer.URL(), s.client)
		s.decode = driver.NewHTTP("decode-1", s.decodeServer.URL(), s.client)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		s.ctx = ctx
		defer cancel()
		defer s.client.CloseIdleConnections()
		defer s.prefillServer.Kill()
		defer s.decodeServer.Kill()
		test(s)
	})
}

func (s *site) startEngine(cfg faker.EngineSettings, listen faker.Listen) *faker.EngineServer {
	server, err := faker.NewEngineServer(cfg, listen, s.client)
	s.Expect(err).NotTo(HaveOccurred())
	return server
}

func hold(name string) identifier.Hold {
	return identifier.Hold{VM: "vm-1", Incarnation: 1, Request: identifier.Request(name), Attempt: 1}
}

func prefillOrder(name string) driver.PrefillRequest {
	return driver.PrefillRequest{Hold: hold(name), Prompt: "the prompt of " + name, Tokens: 4000, MaxOutput: 40}
}

func (s *site) importOrder(name string) driver.ImportRequest {
	return driver.ImportRequest{Hold: hold(name), From: s.prefillServer.Address(), Tokens: 4000, Pieces: 3}
}

// importKVCache runs a prefill and imports its KV cache into the decode engine.
func (s *site) importKVCache(name string) {
	_, err := s.prefill.Prefill(s.ctx, prefillOrder(name))
	s.Expect(err).NotTo(HaveOccurred())
	_, err = s.decode.Import(s.ctx, s.importOrder(name))
	s.Expect(err).NotTo(HaveOccurred())
}

// startDecoding does the same as importKVCache and starts the stream.
func (s *site) startDecoding(name string) driver.Stream {
	s.importKVCache(name)
	stream, err := s.decode.Decode(s.ctx, driver.DecodeRequest{Hold: hold(name), MaxOutput: 40})
	s.Expect(err).NotTo(HaveOccurred())
	return stream
}

// readTokens returns the text of up to n tokens and the error that ended the
// reading.
func readTokens(stream driver.Stream, n int) (string, error) {
	var text strings.Builder
	for range n {
		token, err := stream.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(token.Text)
	}
	return text.String(), nil
}

func expectedAnswer(name string) string {
	prompt := prefillOrder(name).Prompt
	return strings.Join(faker.Answer(prompt, faker.AnswerLength(prompt, 40)), "")
}

func kindOf(err error) driver.Kind {
	var e *driver.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestPrefillImportDecodeReturnsWholeAnswer(t *testing.T) {
	onSite(t, nil, func(s *site) {
		result, err := s.prefill.Prefill(s.ctx, prefillOrder("a"))
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(result).To(Equal(driver.PrefillResult{Took: 90 * time.Millisecond}))
		transfer, err := s.decode.Import(s.ctx, s.importOrder("a"))
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(transfer.Took).To(Equal(40 * time.Millisecond))
		exported, err := s.prefill.Holds(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(exported.Holds).To(BeEmpty())
		holds, err := s.decode.Holds(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(holds.Incarnation).To(Equal(identifier.Incarnation(1)))
		s.Expect(holds.Holds).To(HaveLen(1))
		s.Expect(holds.Holds[0].Pieces).To(Equal(identifier.Pieces(3)))
		stream, err := s.decode.Decode(s.ctx, driver.DecodeRequest{Hold: hold("a"), MaxOutput: 40})
		s.Expect(err).NotTo(HaveOccurred())
		text, err := readTokens(stream, 1000)
		s.Expect(err).To(Equal(io.EOF))
		s.Expect(text).To(Equal(expectedAnswer("a")))
		holds, err = s.decode.Holds(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(holds.Holds).To(BeEmpty())
	})
}

func TestResumeContinuesClosedStream(t *testing.T) {
	onSite(t, nil, func(s *site) {
		stream := s.startDecoding("a")
		first, err := readTokens(stream, 7)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(stream.Close()).To(Succeed())
		closed := time.Now()
		time.Sleep(300 * time.Millisecond)
		holds, err := s.decode.Holds(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(holds.Holds).To(HaveLen(1))
		s.Expect(holds.Holds[0].Read).To(BeTemporally("~", closed, 20*time.Millisecond))
		stream, err = s.decode.Resume(s.ctx, hold("a"), 7)
		s.Expect(err).NotTo(HaveOccurred())
		rest, err := readTokens(stream, 1000)
		s.Expect(err).To(Equal(io.EOF))
		s.Expect(first + rest).To(Equal(expectedAnswer("a")))
		_, err = s.decode.Resume(s.ctx, hold("b"), 0)
		s.Expect(kindOf(err)).To(Equal(driver.KindGone))
	})
}

func TestSecondAttemptContinuesAfterGeneratedTokens(t *testing.T) {
	onSite(t, nil, func(s *site) {
		stream := s.startDecoding("a")
		first, err := readTokens(stream, 7)
		s.Expect(err).NotTo(HaveOccurred())
		s.decodeServer.Kill()
		s.Expect(s.decodeServer.Restart()).To(Succeed())
		again := prefillOrder("a")
		again.Generated = first
		_, err = s.prefill.Prefill(s.ctx, again)
		s.Expect(err).NotTo(HaveOccurred())
		_, err = s.decode.Import(s.ctx, s.importOrder("a"))
		s.Expect(err).NotTo(HaveOccurred())
		_, err = s.decode.Decode(s.ctx, driver.DecodeRequest{Hold: hold("a"), From: 6, MaxOutput: 40})
		s.Expect(kindOf(err)).To(Equal(driver.KindNotRun))
		stream, err = s.decode.Decode(s.ctx, driver.DecodeRequest{Hold: hold("a"), From: 7, MaxOutput: 40})
		s.Expect(err).NotTo(HaveOccurred())
		token, err := stream.Next()
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(token.Index).To(Equal(identifier.Tokens(7)))
		rest, err := readTokens(stream, 1000)
		s.Expect(err).To(Equal(io.EOF))
		s.Expect(first + token.Text + rest).To(Equal(expectedAnswer("a")))
		holds, err := s.decode.Holds(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(holds.Holds).To(BeEmpty())
	})
}

func TestStreamEndsWhenMemoryIsFull(t *testing.T) {
	onSite(t, func(_, decode *faker.EngineSettings) { decode.Pieces = 2 }, func(s *site) {
		_, err := s.prefill.Prefill(s.ctx, prefillOrder("a"))
		s.Expect(err).NotTo(HaveOccurred())
		exact := s.importOrder("a")
		exact.Tokens, exact.Pieces = 3995, 2
		_, err = s.decode.Import(s.ctx, exact)
		s.Expect(err).NotTo(HaveOccurred())
		stream, err := s.decode.Decode(s.ctx, driver.DecodeRequest{Hold: hold("a"), MaxOutput: 40})
		s.Expect(err).NotTo(HaveOccurred())
		text, err := readTokens(stream, 1000)
		s.Expect(kindOf(err)).To(Equal(driver.KindGone))
		s.Expect(text).To(Equal(strings.Join(faker.Answer(prefillOrder("a").Prompt, 5), "")))
		holds, err := s.decode.Holds(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(holds.Holds).To(BeEmpty())
	})
}

func TestReleaseFreesEveryStage(t *testing.T) {
	onSite(t, nil, func(s *site) {
		running := make(chan error, 1)
		go func() {
			_, err := s.prefill.Prefill(s.ctx, prefillOrder("prefill"))
			running <- err
		}()
		time.Sleep(10 * time.Millisecond)
		s.Expect(s.prefill.Release(s.ctx, hold("prefill"))).To(Succeed())
		s.Expect(kindOf(<-running)).To(Equal(driver.KindGone))
		s.importKVCache("imported")
		stream := s.startDecoding("decoding")
		for _, name := range []string{"imported", "decoding", "decoding", "never"} {
			s.Expect(s.decode.Release(s.ctx, hold(name))).To(Succeed())
		}
		_, err := readTokens(stream, 1000)
		s.Expect(kindOf(err)).To(Equal(driver.KindGone))
		for _, engine := range []driver.Engine{s.prefill, s.decode} {
			holds, err := engine.Holds(s.ctx)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(holds.Holds).To(BeEmpty())
		}
	})
}

func TestRefusalKinds(t *testing.T) {
	smallDecode := func(_, decode *faker.EngineSettings) { decode.Pieces = 5 }
	onSite(t, smallDecode, func(s *site) {
		s.importKVCache("a")
		_, err := s.prefill.Prefill(s.ctx, prefillOrder("b"))
		s.Expect(err).NotTo(HaveOccurred())
		_, err = s.decode.Import(s.ctx, s.importOrder("b"))
		s.Expect(kindOf(err)).To(Equal(driver.KindFull))
		time.Sleep(time.Second)
		s.Expect(s.decode.Release(s.ctx, hold("a"))).To(Succeed())
		_, err = s.decode.Import(s.ctx, s.importOrder("b"))
		s.Expect(kindOf(err)).To(Equal(driver.KindGone), "evicted")
		_, err = s.decode.Decode(s.ctx, driver.DecodeRequest{Hold: hold("b"), MaxOutput: 40})
		s.Expect(kindOf(err)).To(Equal(driver.KindGone))
		s.prefillServer.SetLeaving(true)
		_, err = s.prefill.Prefill(s.ctx, prefillOrder("c"))
		s.Expect(kindOf(err)).To(Equal(driver.KindLeaving))
		load, err := s.prefill.Load(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(load.Leaving).To(BeTrue())
	})
}

func TestKilledEngineErrorKinds(t *testing.T) {
	onSite(t, nil, func(s *site) {
		stream := s.startDecoding("a")
		time.AfterFunc(300*time.Millisecond, s.decodeServer.Kill)
		_, err := readTokens(stream, 1000)
		s.Expect(kindOf(err)).To(Equal(driver.KindUnknown))
		time.AfterFunc(20*time.Millisecond, s.prefillServer.Kill)
		_, err = s.prefill.Prefill(s.ctx, prefillOrder("b"))
		s.Expect(kindOf(err)).To(Equal(driver.KindUnknown))
		_, err = s.prefill.Prefill(s.ctx, prefillOrder("b"))
		s.Expect(kindOf(err)).To(Equal(driver.KindNotRun))
		s.Expect(s.decodeServer.Restart()).To(Succeed())
		holds, err := s.decode.Holds(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(holds).To(Equal(driver.Holds{Incarnation: 2, TellsRead: true}))
	})
}

func TestEngineCrashesOnPrompt(t *testing.T) {
	onSite(t, nil, func(s *site) {
		s.decodeServer.CrashOn("poison")
		stream := s.startDecoding("poison")
		_, err := readTokens(stream, 1)
		s.Expect(kindOf(err)).To(Equal(driver.KindUnknown))
		s.prefillServer.CrashOn("poison")
		_, err = s.prefill.Prefill(s.ctx, prefillOrder("innocent"))
		s.Expect(err).NotTo(HaveOccurred())
		_, err = s.prefill.Prefill(s.ctx, prefillOrder("poison"))
		s.Expect(kindOf(err)).To(Equal(driver.KindUnknown))
	})
}

func TestCallsTimeOutOnStalledTransferAndFrozenEngine(t *testing.T) {
	onSite(t, nil, func(s *site) {
		_, err := s.prefill.Prefill(s.ctx, prefillOrder("a"))
		s.Expect(err).NotTo(HaveOccurred())
		s.decodeServer.StallTransfers(time.Hour)
		short, cancel := context.WithTimeout(s.ctx, 200*time.Millisecond)
		defer cancel()
		_, err = s.decode.Import(short, s.importOrder("a"))
		s.Expect(kindOf(err)).To(Equal(driver.KindUnknown))
		s.Expect(s.decode.Release(s.ctx, hold("a"))).To(Succeed())
		s.prefillServer.Freeze()
		time.Sleep(time.Millisecond)
		frozen, cancel := context.WithTimeout(s.ctx, time.Second)
		defer cancel()
		_, err = s.prefill.Prefill(frozen, prefillOrder("b"))
		s.Expect(kindOf(err)).To(Equal(driver.KindUnknown))
		s.prefillServer.Thaw()
		_, err = s.prefill.Prefill(s.ctx, prefillOrder("c"))
		s.Expect(err).NotTo(HaveOccurred())
	})
}

func TestOrderWithOldFenceIsRefusedIfChecked(t *testing.T) {
	onSite(t, func(prefill, _ *faker.EngineSettings) { prefill.ChecksFence = true }, func(s *site) {
		for _, engine := range []driver.Engine{s.prefill, s.decode} {
			_, err := engine.Order(s.ctx, driver.Order{Fence: 7, Models: []identifier.Model{"new"}})
			s.Expect(err).NotTo(HaveOccurred())
		}
		late := driver.Order{Fence: 6, Models: []identifier.Model{"old"}}
		result, err := s.prefill.Order(s.ctx, late)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(result.Refused).To(BeTrue())
		s.Expect(result.Highest).To(Equal(identifier.Fence(7)))
		s.Expect(result.Models).To(Equal([]identifier.Model{"new"}))
		result, err = s.decode.Order(s.ctx, late)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(result.Refused).To(BeFalse())
		s.Expect(result.Highest).To(BeZero())
		s.Expect(result.Models).To(Equal([]identifier.Model{"old"}))
		result, err = s.prefill.Order(s.ctx, driver.Order{Fence: 8, Role: identifier.RoleDecode})
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(result.Role).To(Equal(identifier.RoleDecode))
	})
}

func TestCacheEventsAndLoadLag(t *testing.T) {
	onSite(t, nil, func(s *site) {
		cached := prefillOrder("a")
		cached.Prefix = []identifier.Block{11, 12}
		_, err := s.prefill.Prefill(s.ctx, cached)
		s.Expect(err).NotTo(HaveOccurred())
		events, err := s.prefill.CacheEvents(s.ctx, 0)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(events).To(BeEmpty())
		time.Sleep(100 * time.Millisecond)
		events, err = s.prefill.CacheEvents(s.ctx, 0)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(events).To(Equal([]driver.CacheEvent{{Sequence: 1, Added: cached.Prefix}}))
		events, err = s.prefill.CacheEvents(s.ctx, 1)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(events).To(BeEmpty())
		s.importKVCache("b")
		load, err := s.decode.Load(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(load.FreePieces).To(Equal(identifier.Pieces(44)))
		time.Sleep(250 * time.Millisecond)
		load, err = s.decode.Load(s.ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(load.FreePieces).To(Equal(identifier.Pieces(41)))
	})
}
