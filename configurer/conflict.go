package configurer

import "fmt"

// ConflictKind says in one word why an operation was refused.
type ConflictKind string

// The kinds of conflicts.
const (
	// ConflictRaced means that another operator changed the same field.
	ConflictRaced ConflictKind = "Raced"
	// ConflictExists means that the name is taken by another element.
	ConflictExists ConflictKind = "Exists"
	// ConflictUnknown means that the named element is not there.
	ConflictUnknown ConflictKind = "Unknown"
	// ConflictInvalid means that the value makes no sense.
	ConflictInvalid ConflictKind = "Invalid"
)

// Conflict is the refusal of an operation. Nothing was changed.
type Conflict struct {
	Kind ConflictKind
	// Field is the path of the field, such as Classes/reading/FirstToken.
	Field string
	// Yours is the refused value and Theirs the one that stands.
	Yours, Theirs string
	// Was is the value that the operator saw; empty if it doesn't matter.
	Was string
	// Revision is that of the document that the operation met.
	Revision uint64
	// Next says what the operator can do.
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

func raced(field string, was, yours, theirs any) *Conflict {
	return &Conflict{
		Kind: ConflictRaced, Field: field,
		Was: fmt.Sprint(was), Yours: fmt.Sprint(yours), Theirs: fmt.Sprint(theirs),
		Next: fmt.Sprintf("if %v is still wanted, submit it again; keep %v otherwise", yours, theirs),
	}
}

func exists(field string, yours, theirs any) *Conflict {
	return &Conflict{
		Kind: ConflictExists, Field: field,
		Yours: fmt.Sprintf("%+v", yours), Theirs: fmt.Sprintf("exists as %+v", theirs),
		Next: "change its fields one by one, or choose another name",
	}
}

func unknown(field string) *Conflict {
	return &Conflict{
		Kind: ConflictUnknown, Field: field, Theirs: "does not exist",
		Next: "another operator may have removed it; read the configuration and add it first",
	}
}

func invalid(field string, yours any, next string) *Conflict {
	return &Conflict{
		Kind: ConflictInvalid, Field: field, Yours: fmt.Sprint(yours),
		Theirs: fmt.Sprintf("%v can't be accepted", yours), Next: next,
	}
}
