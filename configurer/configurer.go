// Package configurer is the configuration that the operators drive the
// system by: classes with their targets, upstreams, and what pools serve.
//
// A Document is changed only by operations that name the field they change
// and the value they saw, so that racing operators either merge or one of
// them gets a Conflict. All functions are pure.
package configurer

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Bounds of a document.
const (
	// MaxBytes is the longest encoded document that the platform's store
	// holds, in bytes, with room for the next change.
	MaxBytes = 900_000
	// MaxRecent bounds the remembered changes.
	MaxRecent = 64
)

// Document is one accepted configuration. Its slices are sorted by name and
// are never changed in place.
type Document struct {
	// Revision is raised by 1 with each accepted change.
	Revision  identifier.Revision `yaml:"-"`
	Classes   []Class             `yaml:"Classes"`
	Upstreams []Upstream          `yaml:"Upstreams"`
	Pools     []Pool              `yaml:"Pools"`
	// Recent holds the ids of the last changes, newest last, so that a
	// writer whose reply was lost finds out whether its change was accepted.
	Recent []ChangeID `yaml:"-"`
}

// ChangeID is the unique id of one change, a UUID.
type ChangeID string

// Class is a class of work with its latency targets.
type Class struct {
	Name identifier.Class `yaml:"Name"`
	// FirstToken is the target from arrival to the first token, or to the
	// answer of a plain service.
	FirstToken Duration `yaml:"FirstToken"`
	// PerToken is the target for the mean time between later tokens.
	PerToken Duration `yaml:"PerToken"`
	// Patience is how long past FirstToken a late answer is still wanted.
	Patience Duration `yaml:"Patience"`
}

// Upstream is a runner or an instance of a plain service.
type Upstream struct {
	ID identifier.Upstream `yaml:"ID"`
	// Address is host:port.
	Address    string                `yaml:"Address"`
	Role       identifier.Role       `yaml:"Role"`
	Pool       identifier.Pool       `yaml:"Pool"`
	DataCentre identifier.DataCentre `yaml:"DataCentre"`
	// Pieces is the memory of a decode engine.
	Pieces identifier.Pieces `json:",omitempty" yaml:"Pieces"`
	// Streams is the most requests that a decode engine runs at once.
	Streams int `json:",omitempty" yaml:"Streams"`
	// ChecksFence says that the engine refuses orders with an old fencing
	// number.
	ChecksFence bool `yaml:"ChecksFence"`
	// Retired upstreams get no new work.
	Retired bool `json:",omitempty" yaml:"Retired"`
}

// Pool is what the upstreams of a pool serve. Its slices are sorted.
type Pool struct {
	Name     identifier.Pool    `yaml:"Name"`
	Models   []identifier.Model `json:",omitempty" yaml:"Models"`
	Adapters []string           `json:",omitempty" yaml:"Adapters"`
	Version  string             `json:",omitempty" yaml:"Version"`
	// Prefix is the path prefix of the routes of a plain service.
	Prefix string `json:",omitempty" yaml:"Prefix"`
	// Repeatable lists the idempotent calls of a plain service: a method, or
	// a method, a space and a path prefix below Prefix.
	Repeatable []string `json:",omitempty" yaml:"Repeatable"`
	// DefaultClass is the class of requests that name none.
	DefaultClass identifier.Class `json:",omitempty" yaml:"DefaultClass"`
}

// Duration is a time.Duration that is written like "380ms".
type Duration time.Duration

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration that is not negative.
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

// String writes the duration.
func (d Duration) String() string { return time.Duration(d).String() }

// Encode returns the document as it is kept in the store.
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

// Decode reads an encoded document.
func Decode(data []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	if !d.sorted() {
		return Document{}, errors.New("decode configuration: names are not sorted and unique")
	}
	return d, nil
}

// Class returns the class of a name.
func (d Document) Class(name identifier.Class) (Class, bool) {
	return find(d.Classes, name, Class.key)
}

// Upstream returns the upstream of an id.
func (d Document) Upstream(id identifier.Upstream) (Upstream, bool) {
	return find(d.Upstreams, id, Upstream.key)
}

// Pool returns the pool of a name.
func (d Document) Pool(name identifier.Pool) (Pool, bool) {
	return find(d.Pools, name, Pool.key)
}

// Accepted says whether a change is among the last ones.
func (d Document) Accepted(id ChangeID) bool { return slices.Contains(d.Recent, id) }

func (d Document) sorted() bool {
	return ascending(d.Classes, Class.key) && ascending(d.Upstreams, Upstream.key) && ascending(d.Pools, Pool.key)
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

// put returns a copy of all with one element added or replaced.
func put[T any, K ~string](all []T, t T, key func(T) K) []T {
	i, ok := search(all, key(t), key)
	all = slices.Clone(all)
	if ok {
		all[i] = t
		return all
	}
	return slices.Insert(all, i, t)
}

// remove returns a copy of all without one element.
func remove[T any, K ~string](all []T, k K, key func(T) K) []T {
	i, ok := search(all, k, key)
	if !ok {
		return all
	}
	return slices.Delete(slices.Clone(all), i, i+1)
}

func ascending[T any, K ~string](all []T, key func(T) K) bool {
	for i := 1; i < len(all); i++ {
		if key(all[i-1]) >= key(all[i]) {
			return false
		}
	}
	return true
}
