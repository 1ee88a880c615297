package keeper

import "context"

const rangePath = "/v3/kv/range"

// Get returns a value; Version is zero if there is none.
func (c *Client) Get(ctx context.Context, purpose Purpose, key string) (Entry, error) {
	var reply rangeReply
	if err := c.call(ctx, purpose, CallRange, rangePath, rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return Entry{}, err
	}
	return only(key, reply.Kvs), nil
}

// List returns the values whose keys start with prefix, in key order.
func (c *Client) List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error) {
	entries, _, err := c.list(ctx, purpose, prefix)
	return entries, err
}

// list also returns the service's revision at the time of the reading.
func (c *Client) list(ctx context.Context, purpose Purpose, prefix string) ([]Entry, Version, error) {
	var reply rangeReply
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if prefix == "" {
		request.Key = []byte{0}
	}
	if err := c.call(ctx, purpose, CallRange, rangePath, request, &reply); err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, 0, len(reply.Kvs))
	for _, kv := range reply.Kvs {
		entries = append(entries, kv.entry())
	}
	return entries, Version(reply.Header.Revision), nil
}

// only returns the one entry of a reply for one key.
func only(key string, kvs []pairValue) Entry {
	if len(kvs) == 0 {
		return Entry{Key: key}
	}
	return kvs[0].entry()
}
