// Package authorizer holds the workspaces of a configuration and their quotas.
package authorizer

import (
	"iter"
	"slices"

	"github.com/figtrack/figtrack/identifier"
)

// Unit is what the quota of a workspace counts.
type Unit string

// Quota limits what a workspace uses over all VMs together. A zero Rate means no limit.
type Quota struct {
	Unit Unit
	// Rate is in units a second, Burst in units.
	Rate, Burst float64
	// Plain is the cost of a request that states no usage.
	Plain identifier.Tokens
}

// Workspace is a caller's organisation.
type Workspace struct {
	ID          identifier.Workspace
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Table holds workspaces. It is immutable.
type Table struct{ all []Workspace }

// New returns a table of workspaces.
func New(all []Workspace) (*Table, error) { return &Table{slices.Clone(all)}, nil }

// All iterates over the workspaces.
func (t *Table) All() iter.Seq[Workspace] { return slices.Values(t.all) }
