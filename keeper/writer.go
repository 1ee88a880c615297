package keeper

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxSwapTries is how often a swap is sent if its reply is lost. A second
	// try is safe, as both tries compare with the same version.
	maxSwapTries = 2
	// maxEarlierReads bounds the earlier entries that are read to find out whether
	// a swap whose reply was lost wrote.
	maxEarlierReads = 8
)

// errSwapUnresolved is the cause of the error if it stays unknown whether a swap
// wrote.
var errSwapUnresolved = errors.New("the reply was lost and reading back did not settle it")

// verdict is the result of reading back after a swap whose reply was lost.
type verdict int

const (
	// verdictUndecided means that the swap has not been seen to write, but may have
	// written or may still write.
	verdictUndecided verdict = iota
	verdictWritten
	verdictNotWritten
)

// swap is one compare-and-swap. If its reply is lost, it finds out by reading
// whether it wrote.
type swap struct {
	*Client
	purpose  Purpose
	key      string
	expected Version
	value    []byte
	lease    Lease
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, purpose Purpose, key string, expected Version, value []byte) (Entry, bool, error) {
	return c.SwapLeased(ctx, purpose, key, expected, value, 0)
}

// SwapLeased implements Store.
func (c *Client) SwapLeased(ctx context.Context, purpose Purpose, key string, expected Version, value []byte, lease Lease) (Entry, bool, error) {
	s := swap{Client: c, purpose: purpose, key: key, expected: expected, value: value, lease: lease}
	return s.run(ctx)
}

// run makes the swap. It returns the current entry and whether this swap wrote it.
func (s swap) run(ctx context.Context) (Entry, bool, error) {
	for try := range maxSwapTries {
		reply, err := s.sendTxn(ctx, try)
		if err == nil && reply.Succeeded {
			return Entry{Key: s.key, Value: s.value, Version: Version(reply.Header.Revision)}, true, nil
		}
		if err != nil && try == 0 && KindOf(err) == KindNotDone {
			return Entry{}, false, err
		}
		entry, known, err := s.currentEntry(ctx, reply, err)
		if err != nil {
			return Entry{}, false, s.unknownError(err)
		}
		if known && try == 0 {
			return entry, bytes.Equal(entry.Value, s.value) && entry.Version != 0, nil
		}
		switch s.resolve(ctx, entry) {
		case verdictWritten:
			return entry, true, nil
		case verdictNotWritten:
			return entry, false, nil
		case verdictUndecided:
		}
	}
	return Entry{}, false, s.unknownError(errSwapUnresolved)
}

// unknownError counts and returns an error of KindUnknown.
func (s swap) unknownError(cause error) error {
	return s.recordFailure(s.purpose, KindUnknown, cause)
}

// sendTxn makes the transaction. A second try counts against the rate of the purpose
// but does not wait for it, so that the result of a lost reply is known soon.
func (s swap) sendTxn(ctx context.Context, try int) (txnReply, error) {
	var reply txnReply
	if try == 0 {
		return reply, s.call(ctx, s.purpose, CallSwap, "/v3/kv/txn", s.request(), &reply)
	}
	s.budget.charge(s.purpose, CallSwap)
	return reply, s.Client.send(ctx, s.purpose, CallSwap, "/v3/kv/txn", s.request(), &reply)
}

// request returns the transaction: write if the version matches, else read the
// current entry.
func (s swap) request() txnRequest {
	key := []byte(s.key)
	return txnRequest{
		Compare: []compare{{Key: key, Target: "MOD", Result: "EQUAL", ModRevision: int64(s.expected)}},
		Success: []operation{{Put: &putRequest{Key: key, Value: s.value, Lease: int64(s.lease)}}},
		Failure: []operation{{Range: &rangeRequest{Key: key}}},
	}
}

// currentEntry returns the current entry and whether it was part of the reply to the
// transaction. If there was none, it reads the key.
func (s swap) currentEntry(ctx context.Context, reply txnReply, lost error) (Entry, bool, error) {
	if lost == nil && len(reply.Responses) == 1 && reply.Responses[0].Range != nil {
		return singleEntry(s.key, reply.Responses[0].Range.Kvs), true, nil
	}
	entry, err := s.readAt(ctx, 0)
	return entry, false, err
}

// readAt reads the entry of the key at a revision; zero means now.
func (s swap) readAt(ctx context.Context, revision Version) (Entry, error) {
	var reply rangeReply
	s.budget.charge(s.purpose, CallRange)
	request := rangeRequest{Key: []byte(s.key), Revision: int64(revision)}
	err := s.Client.send(ctx, s.purpose, CallRange, rangePath, request, &reply)
	return singleEntry(s.key, reply.Kvs), err
}

// resolve finds out from the current entry whether this swap wrote. If the entry is
// from another writer, it reads the entries before it.
func (s swap) resolve(ctx context.Context, entry Entry) verdict {
	for range maxEarlierReads {
		switch {
		case entry.Version == s.expected, entry.Version == 0:
			return verdictUndecided
		case bytes.Equal(entry.Value, s.value):
			return verdictWritten
		case entry.Version-1 <= s.expected:
			return verdictNotWritten
		}
		earlier, err := s.readAt(ctx, entry.Version-1)
		if err != nil {
			return verdictUndecided
		}
		if earlier.Version <= s.expected {
			return verdictNotWritten
		}
		entry = earlier
	}
	return verdictUndecided
}

// Grant implements Store. It rounds ttl up to whole seconds. If the reply is
// lost, the lease may exist; it then expires, as nobody renews it.
func (c *Client) Grant(ctx context.Context, purpose Purpose, ttl time.Duration) (Lease, error) {
	var reply grantReply
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, purpose, CallGrant, "/v3/lease/grant", grantRequest{TTL: seconds}, &reply)
	return Lease(reply.ID), err
}

// KeepAlive implements Store. It returns an error of KindNotDone only if the
// lease has expired; every other failure is of KindUnknown.
func (c *Client) KeepAlive(ctx context.Context, purpose Purpose, lease Lease) error {
	var reply keepAliveReply
	err := c.call(ctx, purpose, CallKeepAlive, "/v3/lease/keepalive", keepAliveRequest{ID: int64(lease)}, &reply)
	var r *errorReply
	switch {
	case errors.As(err, &r) && r.status == http.StatusNotFound:
		return err
	case err != nil:
		return &Error{Kind: KindUnknown, Err: err}
	case reply.Result.TTL <= 0:
		return c.recordFailure(purpose, KindNotDone, errors.New("the lease has expired"))
	}
	return nil
}
