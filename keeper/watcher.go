package keeper

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxWaitingEvents is the entries of a watch that wait for their reader.
// Beyond them the watch stops reading, and at last the service breaks it.
const maxWaitingEvents = 64

// Watch sends the changes below prefix after a version. A value that was
// deleted comes with a nil Value and the version of its deletion. The channel
// is closed when ctx ends, the watch breaks or Settings.WatchFor is over.
//
// Where the service has dropped the changes so far back, the present values
// come first; deletions before them are not sent.
func (c *Client) Watch(ctx context.Context, purpose Purpose, prefix string, after Version) (<-chan Entry, error) {
	if err := c.admit(ctx, purpose, CallWatch); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WatchFor)
	w, err := c.openWatch(ctx, cancel, purpose, prefix, after)
	if err != nil {
		cancel()
		return nil, c.failed(purpose, KindNotDone, err)
	}
	c.counter.Watching(purpose, 1)
	go w.run(ctx)
	return w.entries, nil
}

// watch is one open watch.
type watch struct {
	*Client
	purpose Purpose
	prefix  string
	body    io.ReadCloser
	replies *json.Decoder
	entries chan Entry
	cancel  context.CancelFunc
}

// openWatch returns a watch that the service has acknowledged.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, purpose Purpose, prefix string, after Version) (*watch, error) {
	w := &watch{
		Client: c, purpose: purpose, prefix: prefix, cancel: cancel,
		entries: make(chan Entry, maxWaitingEvents),
	}
	return w, w.start(ctx, after)
}

// start opens the stream of changes after a version.
func (w *watch) start(ctx context.Context, after Version) error {
	deadline := time.AfterFunc(w.cfg.Timeout, w.cancel)
	defer deadline.Stop()
	body, _, err := w.open(ctx, w.purpose, CallWatch, "/v3/watch", w.request(after))
	if err != nil {
		return err
	}
	w.body = body
	w.replies = json.NewDecoder(body)
	var first watchReply
	if err := w.replies.Decode(&first); err != nil {
		body.Close()
		return errors.Wrap(err, "open the watch")
	}
	if !first.Result.Created {
		body.Close()
		return errors.New("the service did not open the watch")
	}
	return nil
}

func (w *watch) request(after Version) watchRequest {
	request := watchRequest{Create: watchCreate{
		Key:           []byte(w.prefix),
		RangeEnd:      prefixEnd(w.prefix),
		StartRevision: int64(after) + 1,
	}}
	if w.prefix == "" {
		request.Create.Key = []byte{0}
	}
	return request
}

func (w *watch) run(ctx context.Context) {
	defer close(w.entries)
	defer w.counter.Watching(w.purpose, -1)
	defer w.cancel()
	defer func() { w.body.Close() }()
	for {
		var reply watchReply
		if err := w.replies.Decode(&reply); err != nil {
			return
		}
		if !w.pass(ctx, reply.Result) {
			return
		}
	}
}

// pass sends the entries of one reply. It returns false if the watch is over.
func (w *watch) pass(ctx context.Context, result watchResult) bool {
	if result.CompactRevision > 0 {
		return w.restart(ctx)
	}
	for _, event := range result.Events {
		if !w.send(ctx, event.entry()) {
			return false
		}
	}
	return !result.Canceled
}

// restart sends the present values in place of changes that the service has
// dropped, and watches from there.
func (w *watch) restart(ctx context.Context) bool {
	entries, revision, err := w.list(ctx, w.purpose, w.prefix)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if !w.send(ctx, entry) {
			return false
		}
	}
	w.body.Close()
	return w.start(ctx, revision) == nil
}

func (w *watch) send(ctx context.Context, entry Entry) bool {
	select {
	case w.entries <- entry:
		return true
	case <-ctx.Done():
		return false
	}
}
