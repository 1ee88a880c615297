package configurer

import "fmt"

// ConflictKind is the reason why an operation was refused.
type ConflictKind string

// The kinds of conflict.
const (
	// ConflictRaced means that another operator changed the same field first.
	ConflictRaced ConflictKind = "Raced"
	// ConflictExists means that a different element with the same name exists.
	ConflictExists ConflictKind = "Exists"
	// ConflictUnknown means that the named element does not exist.
	ConflictUnknown ConflictKind = "Unknown"
	// ConflictInvalid means that the value is not allowed.
	ConflictInvalid ConflictKind = "Invalid"
)

// Conflict explains why an operation was refused. A refused operation changes
// nothing.
type Conflict struct {
	Kind ConflictKind
	// Field is the path of the field, such as Classes/reading/FirstToken.
	Field string
	// Yours is the refused value. Theirs is the current value, or states what
	// is wrong with the refused one.
	Yours, Theirs string
	// Was is the value that the operator saw. It is set only for ConflictRaced.
	Was string
	// Revision is the revision of the document that the change was applied to.
	Revision uint64
	// Next tells the operator how to proceed.
	Next string
}

// Error describes the conflict in one line.
func (c *Conflict) Error() string {
	if c.Kind != ConflictRaced {
		return fmt.Sprintf("%s: %s (revision %d): %s", c.Field, c.Theirs, c.Revision, c.Next)
	}
	return fmt.Sprintf("%s: yours is %s, but another operator changed %s to %s (revision %d): %s",
		c.Field, c.Yours, c.Was, c.Theirs, c.Revision, c.Next)
}

func newRaced(field string, was, yours, theirs any) *Conflict {
	return &Conflict{
		Kind: ConflictRaced, Field: field,
		Was: fmt.Sprint(was), Yours: fmt.Sprint(yours), Theirs: fmt.Sprint(theirs),
		Next: fmt.Sprintf("if %v is still wanted, submit it again; keep %v otherwise", yours, theirs),
	}
}

func newExists(field string, yours, theirs any) *Conflict {
	return &Conflict{
		Kind: ConflictExists, Field: field,
		Yours: fmt.Sprintf("%+v", yours), Theirs: fmt.Sprintf("exists as %+v", theirs),
		Next: "change its fields one by one, or choose another name",
	}
}

func newUnknown(field string) *Conflict {
	return &Conflict{
		Kind: ConflictUnknown, Field: field, Theirs: "does not exist",
		Next: "another operator may have removed it; read the configuration and add it first",
	}
}

func newInvalid(field string, yours any, next string) *Conflict {
	return &Conflict{
		Kind: ConflictInvalid, Field: field, Yours: fmt.Sprint(yours),
		Theirs: fmt.Sprintf("%v can't be accepted", yours), Next: next,
	}
}
