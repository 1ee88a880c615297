// Package authorizer finds the workspace of a caller by its API key.
package authorizer

import (
	"iter"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Unit is the unit in which the use of a workspace is counted.
type Unit string

// UnitTokens counts the tokens of prompts and answers; any other unit counts requests.
const UnitTokens Unit = "Tokens"

// Quota is what a workspace may use, over all VMs together.
type Quota struct {
	Unit Unit
	// Rate is in units a second; zero for no limit. Burst is in units.
	Rate, Burst float64
	// Plain is the cost of a request that declares no tokens, for UnitTokens.
	Plain identifier.Tokens
}

// Cost returns the cost of a request that declares the tokens of its prompt and its answer.
// One that declares none, or numbers that would lower what the workspace uses, costs Plain.
func (q Quota) Cost(input, output identifier.Tokens) float64 {
	if q.Unit != UnitTokens {
		return 1
	}
	if declared := float64(max(input, 0)) + float64(max(output, 0)); declared > 0 {
		return declared
	}
	return float64(q.Plain)
}

// Workspace is an organisation or seat whose requests are counted together.
type Workspace struct {
	ID identifier.Workspace
	// Priority replaces that of the route if HasPriority is true; lower is more urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
	// Keys are the API keys by which callers name the workspace; none for one whose keys
	// were all removed.
	Keys []Key
}

// Table holds the workspaces of one configuration. It is immutable.
type Table struct {
	all   []Workspace
	byKey map[digest]int
}

// New returns the table of all workspaces. Their ids and keys have to be distinct.
func New(all []Workspace) (*Table, error) {
	t := &Table{all: slices.Clone(all), byKey: map[digest]int{}}
	ids := make(map[identifier.Workspace]bool, len(all))
	for i, w := range t.all {
		if w.ID == "" {
			return nil, errors.Errorf("workspace %d has no name", i+1)
		}
		if ids[w.ID] {
			return nil, errors.Errorf("workspace %q is named twice", w.ID)
		}
		ids[w.ID] = true
		if err := w.Quota.check(); err != nil {
			return nil, errors.WithMessagef(err, "workspace %q", w.ID)
		}
		for n, k := range w.Keys {
			if k.IsZero() {
				return nil, errors.Errorf("key %d of workspace %q is empty", n+1, w.ID)
			}
			if other, ok := t.byKey[**k.digest]; ok && other != i {
				return nil, errors.Errorf("key %d of workspace %q is also a key of workspace %q", n+1, w.ID, t.all[other].ID)
			}
			t.byKey[**k.digest] = i
		}
	}
	return t, nil
}

func (q Quota) check() error {
	for _, n := range []float64{q.Rate, q.Burst, float64(q.Plain)} {
		if n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
			return errors.Errorf("a quota needs numbers of at least 0, got %v", n)
		}
	}
	return nil
}

// Lookup returns the workspace of a key.
func (t *Table) Lookup(k Key) (Workspace, bool) {
	if k.IsZero() {
		return Workspace{}, false
	}
	i, ok := t.byKey[**k.digest]
	if !ok {
		return Workspace{}, false
	}
	return t.all[i], true
}

// All returns all workspaces in the order of the configuration.
func (t *Table) All() iter.Seq[Workspace] { return slices.Values(t.all) }

// Len returns the number of workspaces.
func (t *Table) Len() int { return len(t.all) }
