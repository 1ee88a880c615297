package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/poster"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/server"
)

const (
	benchTokens  = 128
	benchCallers = 64
	benchModel   = "bench"
)

// instantEngine returns an engine that answers every call without delay.
func instantEngine() *httptest.Server {
	mux := http.NewServeMux()
	hold := func(r *http.Request) identifier.Hold {
		var order struct{ Hold identifier.Hold }
		_ = json.NewDecoder(r.Body).Decode(&order)
		return order.Hold
	}
	mux.HandleFunc(driver.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(driver.Load{At: time.Now(), FreePieces: 1 << 20})
	})
	mux.HandleFunc(driver.PathCacheEvents, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "[]") })
	mux.HandleFunc(driver.PathRelease, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })
	mux.HandleFunc(driver.PathPrefill, func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(driver.PrefillReply{Hold: hold(r), PrefillResult: driver.PrefillResult{Took: time.Microsecond}})
	})
	mux.HandleFunc(driver.PathImport, func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(driver.ImportReply{Hold: hold(r), ImportResult: driver.ImportResult{Took: time.Microsecond}})
	})
	mux.HandleFunc(driver.PathDecode, func(w http.ResponseWriter, r *http.Request) {
		h := hold(r)
		lines := json.NewEncoder(w)
		_ = lines.Encode(driver.StreamLine{Hold: &h})
		for i := range benchTokens {
			token := driver.Token{Index: identifier.Tokens(i), Text: "beam "}
			if i == benchTokens-1 {
				token.Finish = "stop"
			}
			_ = lines.Encode(driver.StreamLine{Token: &token})
			_ = http.NewResponseController(w).Flush()
		}
	})
	return httptest.NewServer(mux)
}

// bareRelay returns an echo handler that only relays the stream of an engine.
func bareRelay(engine string) http.Handler {
	client := poster.NewClient()
	e := echo.New()
	e.POST("/v1/completions", func(c *echo.Context) error {
		_, _ = io.Copy(io.Discard, c.Request().Body)
		answer, err := client.Post(engine+driver.PathDecode, "application/json", strings.NewReader(`{}`))
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		w := c.Response()
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		lines := bufio.NewScanner(answer.Body)
		for lines.Scan() {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", lines.Bytes())
			_ = control.Flush()
		}
		_, err = io.WriteString(w, "data: [DONE]\n\n")
		return err
	})
	return e
}

// startRouter starts a VM that routes to the engine and returns its address.
func startRouter(b *testing.B, engine string) string {
	authority, err := certifier.NewAuthority("bench", time.Now(), time.Hour)
	failOnError(b, err)
	pair, err := authority.Issue(certifier.RoleVM, "vm-1", time.Now(), time.Hour)
	failOnError(b, err)
	ring, err := certifier.NewKeyring("bench", pair, authority.Pair().Certificate, time.Now)
	failOnError(b, err)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	failOnError(b, err)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	failOnError(b, err)
	cfg := parser.Default()
	cfg.Deployment, cfg.VM, cfg.DataCentre = "bench", "vm-1", "room"
	memory := explainer.New()
	metrics := keeper.NewMetrics()
	s := server.New(server.Dependencies{
		Settings:     cfg,
		Incarnation:  1,
		Keyring:      ring,
		Store:        keeper.New(keeper.Settings{Endpoints: []string{"http://127.0.0.1:1"}}, metrics),
		StoreMetrics: metrics,
		Callers:      callers,
		VMs:          socket,
		Dial:         (&net.Dialer{}).DialContext,
		Memory:       memory,
		Log:          server.NewLog(io.Discard, memory, "vm-1", zerolog.InfoLevel),
	})
	failOnError(b, s.Start())
	b.Cleanup(s.Kill)
	s.SetConfiguration(benchConfiguration(engine))
	for len(s.LiveVMs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return callers.Addr().String()
}

func benchConfiguration(engine string) server.Configuration {
	c := server.Configuration{
		Revision:     1,
		Classes:      []admitter.Class{{Name: "Bench", FirstToken: 10 * time.Second, PerToken: time.Second, Patience: time.Minute}},
		Pools:        []registrar.Pool{{ID: "bench", Models: []identifier.Model{benchModel}}},
		ModelClasses: map[identifier.Model]identifier.Class{benchModel: "Bench"},
	}
	for i := range 12 {
		u := registrar.Upstream{
			ID:         identifier.Upstream(fmt.Sprintf("engine-%d", i)),
			Pool:       "bench",
			Role:       identifier.RolePrefill,
			DataCentre: "room",
			Address:    strings.TrimPrefix(engine, "http://"),
		}
		if i >= 6 {
			u.Role, u.Pieces, u.Streams = identifier.RoleDecode, 1<<16, 1<<12
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	return c
}

func failOnError(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}

// runLoad sends b.N requests from concurrent callers, and reports the CPU time
// per token, the token rate and the 99th percentile latency.
func runLoad(b *testing.B, address string, callers int) {
	client := poster.NewClient()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, benchModel, strings.Repeat("sill beam ", 100), benchTokens)
	times := make([]time.Duration, b.N)
	next := make(chan int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for i := range next {
				times[i] = benchRequest(b, client, address, body)
			}
		})
	}
	before := cpuTime(b)
	b.ResetTimer()
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	b.StopTimer()
	spent := cpuTime(b) - before
	b.ReportMetric(float64(spent)/float64(b.N)/benchTokens, "cpu-ns/token")
	slices.Sort(times)
	b.ReportMetric(float64(b.N)*benchTokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(times[len(times)*99/100])/float64(time.Millisecond), "p99-ms")
}

// cpuTime returns the CPU time of this process, which includes callers,
// engine and relay.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	failOnError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchRequest(b *testing.B, client *http.Client, address, body string) time.Duration {
	start := time.Now()
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	answer, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil || strings.Count(string(text), "beam ") != benchTokens {
		b.Errorf("status %d, incomplete answer: %v %.200s", answer.StatusCode, err, text)
	}
	return time.Since(start)
}

// BenchmarkRelay compares the router with a bare relay of the same tokens. Run
// it with: go test ./server -run XXX -bench Relay -benchtime 3000x
func BenchmarkRelay(b *testing.B) {
	engine := instantEngine()
	defer engine.Close()
	bare := httptest.NewServer(bareRelay(engine.URL))
	defer bare.Close()
	for _, callers := range []int{1, benchCallers} {
		b.Run(fmt.Sprintf("bare/callers=%d", callers), func(b *testing.B) {
			runLoad(b, strings.TrimPrefix(bare.URL, "http://"), callers)
		})
		b.Run(fmt.Sprintf("figtrack/callers=%d", callers), func(b *testing.B) {
			runLoad(b, startRouter(b, engine.URL), callers)
		})
	}
}
