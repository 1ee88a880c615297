package keeper

import "context"

const rangePath = "/v3/kv/range"

// Get implements Store.
func (c *Client) Get(ctx context.Context, purpose Purpose, key string) (Entry, error) {
	var reply rangeReply
	if err := c.call(ctx, purpose, CallRange, rangePath, rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return Entry{}, err
	}
	return singleEntry(key, reply.Kvs), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error) {
	entries, _, err := c.list(ctx, purpose, prefix)
	return entries, err
}

// list returns the entries whose keys start with prefix and the service's
// revision at which they were read.
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

// singleEntry returns the entry of a reply for one key, without a version if the
// key has no value.
func singleEntry(key string, kvs []keyValue) Entry {
	if len(kvs) == 0 {
		return Entry{Key: key}
	}
	return kvs[0].entry()
}
