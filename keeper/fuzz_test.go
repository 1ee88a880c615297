package keeper_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// replies is a transport that answers each request with the same body.
type replies []byte

// RoundTrip implements http.RoundTripper.
func (b replies) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, r.Body)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b)), Request: r}, nil
}

// FuzzReplies answers each call to the store with arbitrary bytes. It guards against a reply
// that ends a process.
func FuzzReplies(f *testing.F) {
	f.Add([]byte(listReply))
	f.Add([]byte(`{"header":{"revision":"7"},"succeeded":true,"responses":[{}]}`))
	f.Add([]byte(`{"succeeded":false,"responses":[{"response_range":{"kvs":[]}},{"response_range":null}]}`))
	f.Add([]byte(`{"result":{"created":true,"compact_revision":"9"}}{"result":{"events":[{"type":"DELETE","kv":{"mod_revision":"-1"}}]}}`))
	f.Add([]byte(`{"ID":"1","result":{"TTL":"9223372036854775807"}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		store := keeper.New(keeper.Settings{
			Endpoints: []string{"http://store"}, Timeout: 10 * time.Millisecond, Client: &http.Client{Transport: replies(body)},
			Shares: map[keeper.Purpose]keeper.Share{purpose: {1e6, 1e6, 1000, 1000}},
		}, keeper.NewMetrics())
		_, _ = store.Get(ctx, purpose, "a")
		_, _ = store.List(ctx, purpose, "a")
		_, _, _ = store.Swap(ctx, purpose, "a", 1, nil)
		if lease, err := store.Grant(ctx, purpose, time.Second); err == nil {
			_ = store.KeepAlive(ctx, purpose, lease)
		}
		short, cancelWatch := context.WithTimeout(ctx, 2*time.Millisecond)
		defer cancelWatch()
		if changes, err := store.Watch(short, purpose, "a", 1); err == nil {
			for range changes {
			}
		}
	})
}
