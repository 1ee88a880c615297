// Package configurer defines the configuration that operators change at run time:
// classes with their latency targets, upstreams, and what each pool serves.
//
// A Document is changed only by operations that name the field they change and
// the value that the operator saw. Concurrent changes to different fields are
// therefore merged, and a change based on an outdated value is refused with a
// Conflict. All functions are pure.
package configurer

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Limits of a document.
const (
	// MaxBytes is the largest encoded document. It leaves some of the value size
	// that the platform's store allows free for the next change.
	MaxBytes = 900_000
	// MaxRecent is the number of change IDs that a document keeps.
	MaxRecent = 64
)

// Document is one revision of the configuration. Its slices are sorted by name,
// or by ID, and are never modified in place.
type Document struct {
	// Revision is raised by 1 with each accepted change.
	Revision  identifier.Revision `yaml:"-"`
	Classes   []Class             `yaml:"Classes"`
	Upstreams []Upstream          `yaml:"Upstreams"`
	Pools     []Pool              `yaml:"Pools"`
	// Recent holds the IDs of the last accepted changes, newest last. A writer
	// that lost the reply to a write finds out here whether it was accepted.
	Recent []ChangeID `yaml:"-"`
}

// ChangeID is the unique ID of a change, a UUID.
type ChangeID string

// Class is a class of requests with its latency targets.
type Class struct {
	Name identifier.Class `yaml:"Name"`
	// FirstToken is the target for the time from the arrival of a request to its
	// first token, or to the response of a plain service.
	FirstToken Duration `yaml:"FirstToken"`
	// PerToken is the target for the mean time between tokens after the first.
	PerToken Duration `yaml:"PerToken"`
	// Patience is how long after FirstToken a late response is still useful.
	Patience Duration `yaml:"Patience"`
}

// Upstream is a runner, or an instance of a plain service.
type Upstream struct {
	ID identifier.Upstream `yaml:"ID"`
	// Address has the form host:port.
	Address    string                `yaml:"Address"`
	Role       identifier.Role       `yaml:"Role"`
	Pool       identifier.Pool       `yaml:"Pool"`
	DataCentre identifier.DataCentre `yaml:"DataCentre"`
	// Pieces is the memory of a decode engine, in pieces.
	Pieces identifier.Pieces `json:",omitempty" yaml:"Pieces"`
	// Streams is the maximum number of requests that a decode engine runs
	// concurrently.
	Streams int `json:",omitempty" yaml:"Streams"`
	// ChecksFence is true if the engine refuses orders with an outdated fencing
	// token.
	ChecksFence bool `yaml:"ChecksFence"`
	// Retired is true if the upstream gets no new requests.
	Retired bool `json:",omitempty" yaml:"Retired"`
}

// Pool defines what the upstreams of a pool serve. Its slices are sorted.
type Pool struct {
	Name     identifier.Pool    `yaml:"Name"`
	Models   []identifier.Model `json:",omitempty" yaml:"Models"`
	Adapters []string           `json:",omitempty" yaml:"Adapters"`
	Version  string             `json:",omitempty" yaml:"Version"`
	// Prefix is the path prefix of a plain service's routes.
	Prefix string `json:",omitempty" yaml:"Prefix"`
	// Repeatable lists the idempotent calls of a plain service. An element is a
	// method, or a method, a space and a path prefix below Prefix.
	Repeatable []string `json:",omitempty" yaml:"Repeatable"`
	// DefaultClass is the class of requests that don't name one.
	DefaultClass identifier.Class `json:",omitempty" yaml:"DefaultClass"`
}

// Duration is a time.Duration that is encoded as text, such as "380ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It refuses a negative
// duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	if v < 0 {
		return errors.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}

// String returns the duration in the format of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// Encode returns the document in the form that is kept in the store. It fails if
// this is longer than MaxBytes.
func Encode(d Document) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(data) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, more than %d", len(data), MaxBytes)
	}
	return data, nil
}

// Decode returns the document encoded in data. It fails if its elements are not
// sorted and unique.
func Decode(data []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	if !d.isSorted() {
		return Document{}, errors.New("decode configuration: classes, upstreams or pools are not sorted by unique names")
	}
	return d, nil
}

// Class returns the class with the given name.
func (d Document) Class(name identifier.Class) (Class, bool) {
	return find(d.Classes, name, Class.key)
}

// Upstream returns the upstream with the given ID.
func (d Document) Upstream(id identifier.Upstream) (Upstream, bool) {
	return find(d.Upstreams, id, Upstream.key)
}

// Pool returns the pool with the given name.
func (d Document) Pool(name identifier.Pool) (Pool, bool) {
	return find(d.Pools, name, Pool.key)
}

// HasAccepted reports whether a change is among the last MaxRecent accepted ones.
func (d Document) HasAccepted(id ChangeID) bool { return slices.Contains(d.Recent, id) }

func (d Document) isSorted() bool {
	return isAscending(d.Classes, Class.key) && isAscending(d.Upstreams, Upstream.key) && isAscending(d.Pools, Pool.key)
}

func (c Class) key() identifier.Class       { return c.Name }
func (u Upstream) key() identifier.Upstream { return u.ID }
func (p Pool) key() identifier.Pool         { return p.Name }

func search[T any, K ~string](all []T, k K, key func(T) K) (int, bool) {
	return slices.BinarySearchFunc(all, k, func(t T, k K) int { return cmp.Compare(key(t), k) })
}

func find[T any, K ~string](all []T, k K, key func(T) K) (T, bool) {
	i, ok := search(all, k, key)
	if !ok {
		var none T
		return none, false
	}
	return all[i], true
}

// put returns a copy of all with t inserted, or replacing the element with the
// same key.
func put[T any, K ~string](all []T, t T, key func(T) K) []T {
	i, ok := search(all, key(t), key)
	all = slices.Clone(all)
	if ok {
		all[i] = t
		return all
	}
	return slices.Insert(all, i, t)
}

// remove returns all without the element of key k. It does not modify all.
func remove[T any, K ~string](all []T, k K, key func(T) K) []T {
	i, ok := search(all, k, key)
	if !ok {
		return all
	}
	return slices.Delete(slices.Clone(all), i, i+1)
}

func isAscending[T any, K ~string](all []T, key func(T) K) bool {
	for i := 1; i < len(all); i++ {
		if key(all[i-1]) >= key(all[i]) {
			return false
		}
	}
	return true
}
