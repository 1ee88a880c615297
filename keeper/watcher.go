package keeper

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedEntries is the number of entries that a watch buffers for its reader.
// When the buffer is full, the watch stops reading from the service, which breaks
// the connection if that lasts.
const maxBufferedEntries = 64

// Watch sends the changes after a version of keys that start with prefix. A
// deletion has a nil Value and the version of the deletion. The channel is closed
// when ctx ends, the connection breaks or Settings.MaxWatchDuration has passed.
//
// If the service has compacted the changes after that version, the current
// values are sent instead; earlier deletions are not sent.
func (c *Client) Watch(ctx context.Context, purpose Purpose, prefix string, after Version) (<-chan Entry, error) {
	if err := c.waitForShare(ctx, purpose, CallWatch); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MaxWatchDuration)
	w, err := c.openWatch(ctx, cancel, purpose, prefix, after)
	if err != nil {
		cancel()
		return nil, c.recordFailure(purpose, KindNotDone, err)
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

// openWatch opens a watch and waits until the service has acknowledged it.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, purpose Purpose, prefix string, after Version) (*watch, error) {
	w := &watch{
		Client: c, purpose: purpose, prefix: prefix, cancel: cancel,
		entries: make(chan Entry, maxBufferedEntries),
	}
	return w, w.start(ctx, after)
}

// start opens the stream of changes after a version and waits for the service's
// first reply, which acknowledges it.
func (w *watch) start(ctx context.Context, after Version) error {
	deadline := time.AfterFunc(w.cfg.Timeout, w.cancel)
	defer deadline.Stop()
	body, _, err := w.sendToAny(ctx, w.purpose, CallWatch, "/v3/watch", w.request(after))
	if err != nil {
		return err
	}
	w.body = body
	w.replies = json.NewDecoder(body)
	var first watchReply
	if err := w.replies.Decode(&first); err != nil {
		body.Close()
		return errors.Wrapf(err, "read the store's first reply to the watch of prefix %q", w.prefix)
	}
	if !first.Result.Created {
		body.Close()
		return errors.Errorf("the store's first reply does not acknowledge the watch of prefix %q", w.prefix)
	}
	return nil
}

// request returns the request for all changes after a version.
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

// run sends the changes until the watch ends.
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
		if !w.deliverReply(ctx, reply.Result) {
			return
		}
	}
}

// deliverReply sends the entries of one reply. It returns false if the watch has ended.
func (w *watch) deliverReply(ctx context.Context, result watchResult) bool {
	if result.CompactRevision > 0 {
		return w.relist(ctx)
	}
	for _, event := range result.Events {
		if !w.deliver(ctx, event.entry()) {
			return false
		}
	}
	return !result.Canceled
}

// relist sends the current values in place of changes that the service has
// compacted, and opens a stream of the changes after them. It returns false if
// the watch has ended.
func (w *watch) relist(ctx context.Context) bool {
	entries, revision, err := w.list(ctx, w.purpose, w.prefix)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if !w.deliver(ctx, entry) {
			return false
		}
	}
	w.body.Close()
	return w.start(ctx, revision) == nil
}

// deliver passes an entry to the reader. It returns false if ctx ends first.
func (w *watch) deliver(ctx context.Context, entry Entry) bool {
	select {
	case w.entries <- entry:
		return true
	case <-ctx.Done():
		return false
	}
}
