package keeper

import (
	"context"
	"strings"
)

// prefixed is a Store that adds a prefix to all keys it is called with and
// removes it from the keys it returns.
type prefixed struct {
	Store
	prefix string
}

// WithPrefix returns a Store that reads and writes only keys below a prefix. Its
// callers use the keys without the prefix.
func WithPrefix(s Store, prefix string) Store {
	return &prefixed{Store: s, prefix: strings.TrimSuffix(prefix, "/") + "/"}
}

// withoutPrefix removes the prefix from the key of an entry.
func (p *prefixed) withoutPrefix(e Entry) Entry {
	e.Key = strings.TrimPrefix(e.Key, p.prefix)
	return e
}

// Get implements Store.
func (p *prefixed) Get(ctx context.Context, purpose Purpose, key string) (Entry, error) {
	e, err := p.Store.Get(ctx, purpose, p.prefix+key)
	return p.withoutPrefix(e), err
}

// List implements Store.
func (p *prefixed) List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error) {
	entries, err := p.Store.List(ctx, purpose, p.prefix+prefix)
	for i, e := range entries {
		entries[i] = p.withoutPrefix(e)
	}
	return entries, err
}

// Swap implements Store.
func (p *prefixed) Swap(ctx context.Context, purpose Purpose, key string, expected Version, value []byte) (Entry, bool, error) {
	e, written, err := p.Store.Swap(ctx, purpose, p.prefix+key, expected, value)
	return p.withoutPrefix(e), written, err
}

// SwapLeased implements Store.
func (p *prefixed) SwapLeased(ctx context.Context, purpose Purpose, key string, expected Version, value []byte, lease Lease) (Entry, bool, error) {
	e, written, err := p.Store.SwapLeased(ctx, purpose, p.prefix+key, expected, value, lease)
	return p.withoutPrefix(e), written, err
}

// Watch implements Store.
func (p *prefixed) Watch(ctx context.Context, purpose Purpose, prefix string, after Version) (<-chan Entry, error) {
	changes, err := p.Store.Watch(ctx, purpose, p.prefix+prefix, after)
	if err != nil {
		return nil, err
	}
	out := make(chan Entry)
	go func() {
		defer close(out)
		for e := range changes {
			select {
			case out <- p.withoutPrefix(e):
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}
