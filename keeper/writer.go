package keeper

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxSwapTries is how often a swap whose reply was lost is sent. A second
	// try is safe, as both compare with the same version.
	maxSwapTries = 2
	// maxStepsBack is how many earlier values are read to settle a lost reply.
	maxStepsBack = 8
)

// errUnsettled is the cause of a swap of which nothing can be said.
var errUnsettled = errors.New("the reply was lost and reading back did not settle it")

// verdict is what reading back says of a swap whose reply was lost.
type verdict int

const (
	// verdictOpen means that the write may still come.
	verdictOpen verdict = iota
	verdictWritten
	verdictNotWritten
)

// swap is one compare-and-swap with its settlement.
type swap struct {
	*Client
	purpose  Purpose
	key      string
	expected Version
	value    []byte
	lease    Lease
}

// Swap writes value if the present version is expected.
func (c *Client) Swap(ctx context.Context, purpose Purpose, key string, expected Version, value []byte) (Entry, bool, error) {
	return c.SwapLeased(ctx, purpose, key, expected, value, 0)
}

// SwapLeased is Swap with a value that goes when the lease lapses.
func (c *Client) SwapLeased(ctx context.Context, purpose Purpose, key string, expected Version, value []byte, lease Lease) (Entry, bool, error) {
	s := swap{Client: c, purpose: purpose, key: key, expected: expected, value: value, lease: lease}
	return s.run(ctx)
}

func (s swap) run(ctx context.Context) (Entry, bool, error) {
	for try := range maxSwapTries {
		reply, err := s.send(ctx, try)
		if err == nil && reply.Succeeded {
			return Entry{Key: s.key, Value: s.value, Version: Version(reply.Header.Revision)}, true, nil
		}
		if err != nil && try == 0 && KindOf(err) == KindNotDone {
			return Entry{}, false, err
		}
		entry, known, err := s.present(ctx, reply, err)
		if err != nil {
			return Entry{}, false, s.unknown(err)
		}
		if known && try == 0 {
			return entry, bytes.Equal(entry.Value, s.value) && entry.Version != 0, nil
		}
		switch s.settle(ctx, entry) {
		case verdictWritten:
			return entry, true, nil
		case verdictNotWritten:
			return entry, false, nil
		case verdictOpen:
		}
	}
	return Entry{}, false, s.unknown(errUnsettled)
}

func (s swap) unknown(cause error) error {
	return s.failed(s.purpose, KindUnknown, cause)
}

// send makes the transaction. A repeat is charged to the share but does not
// wait for it, so that a lost reply is settled soon.
func (s swap) send(ctx context.Context, try int) (txnReply, error) {
	var reply txnReply
	if try == 0 {
		return reply, s.call(ctx, s.purpose, CallSwap, "/v3/kv/txn", s.request(), &reply)
	}
	s.budget.charge(s.purpose, CallSwap)
	return reply, s.Client.send(ctx, s.purpose, CallSwap, "/v3/kv/txn", s.request(), &reply)
}

func (s swap) request() txnRequest {
	key := []byte(s.key)
	return txnRequest{
		Compare: []compare{{Key: key, Target: "MOD", Result: "EQUAL", ModRevision: int64(s.expected)}},
		Success: []operation{{Put: &putRequest{Key: key, Value: s.value, Lease: int64(s.lease)}}},
		Failure: []operation{{Range: &rangeRequest{Key: key}}},
	}
}

// present returns the entry that stands, and whether the service's own reply
// to the transaction told it.
func (s swap) present(ctx context.Context, reply txnReply, lost error) (Entry, bool, error) {
	if lost == nil && len(reply.Responses) == 1 && reply.Responses[0].Range != nil {
		return only(s.key, reply.Responses[0].Range.Kvs), true, nil
	}
	entry, err := s.readAt(ctx, 0)
	return entry, false, err
}

// readAt reads the key as it stood at a revision; zero means now.
func (s swap) readAt(ctx context.Context, revision Version) (Entry, error) {
	var reply rangeReply
	s.budget.charge(s.purpose, CallRange)
	request := rangeRequest{Key: []byte(s.key), Revision: int64(revision)}
	err := s.Client.send(ctx, s.purpose, CallRange, rangePath, request, &reply)
	return only(s.key, reply.Kvs), err
}

// settle says from the entry that stands whether this swap wrote. Where
// others have written since, it reads the earlier values.
func (s swap) settle(ctx context.Context, entry Entry) verdict {
	for range maxStepsBack {
		switch {
		case entry.Version == s.expected, entry.Version == 0:
			return verdictOpen
		case bytes.Equal(entry.Value, s.value):
			return verdictWritten
		case entry.Version-1 <= s.expected:
			return verdictNotWritten
		}
		earlier, err := s.readAt(ctx, entry.Version-1)
		if err != nil {
			return verdictOpen
		}
		if earlier.Version <= s.expected {
			return verdictNotWritten
		}
		entry = earlier
	}
	return verdictOpen
}

// Grant makes a lease. A lease whose grant was lost lapses by itself.
func (c *Client) Grant(ctx context.Context, purpose Purpose, ttl time.Duration) (Lease, error) {
	var reply grantReply
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, purpose, CallGrant, "/v3/lease/grant", grantRequest{TTL: seconds}, &reply)
	return Lease(reply.ID), err
}

// KeepAlive renews a lease. KindNotDone means only that the lease has
// lapsed; every other failure is of KindUnknown.
func (c *Client) KeepAlive(ctx context.Context, purpose Purpose, lease Lease) error {
	var reply keepAliveReply
	err := c.call(ctx, purpose, CallKeepAlive, "/v3/lease/keepalive", keepAliveRequest{ID: int64(lease)}, &reply)
	var r *refusal
	switch {
	case errors.As(err, &r) && r.status == http.StatusNotFound:
		return err
	case err != nil:
		return &Error{Kind: KindUnknown, Err: err}
	case reply.Result.TTL <= 0:
		return c.failed(purpose, KindNotDone, errors.New("the lease has lapsed"))
	}
	return nil
}
