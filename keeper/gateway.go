package keeper

// The types below are the part of the etcd v3 JSON gateway's protocol that the
// client uses. Keys and values are encoded in base64 and 64-bit numbers as
// strings.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

// entry returns the Entry of a key. An empty value is not nil, as nil stands for
// a deletion.
func (kv keyValue) entry() Entry {
	value := kv.Value
	if value == nil {
		value = []byte{}
	}
	return Entry{Key: string(kv.Key), Value: value, Version: Version(kv.ModRevision)}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Revision asks for the state at an earlier revision; zero means now.
	Revision int64 `json:"revision,string,omitempty"`
}

type rangeReply struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type operation struct {
	Put   *putRequest   `json:"request_put,omitempty"`
	Range *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationReply struct {
	Range *rangeReply `json:"response_range"`
}

type txnReply struct {
	Header    header           `json:"header"`
	Succeeded bool             `json:"succeeded"`
	Responses []operationReply `json:"responses"`
}

type grantRequest struct {
	// TTL is in seconds.
	TTL int64 `json:"TTL,string"`
}

type grantReply struct {
	ID int64 `json:"ID,string"`
}

type keepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

type keepAliveReply struct {
	Result struct {
		// TTL is in seconds; zero means that the lease has expired.
		TTL int64 `json:"TTL,string"`
	} `json:"result"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchReply struct {
	Result watchResult `json:"result"`
}

type watchResult struct {
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

type watchEvent struct {
	// Type is empty for a put and DELETE for a deletion.
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

// entry returns the Entry of an event. A deletion has a nil Value.
func (e watchEvent) entry() Entry {
	entry := e.Kv.entry()
	if e.Type == "DELETE" {
		entry.Value = nil
	}
	return entry
}

// prefixEnd returns the first key after all keys that start with prefix. For the
// empty prefix it is one zero byte, which the service takes as no end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
