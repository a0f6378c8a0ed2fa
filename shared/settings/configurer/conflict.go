package configurer

import (
	"fmt"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

// ConflictError is the cause of a SettingsConflict error. It describes the
// changes that were accepted since the base revision of the rejected change.
type ConflictError struct {
	// Base is the base revision of the rejected change.
	Base uint64
	// Head is the revision in force.
	Head Record
	// Difference contains the accepted changes from Base to Head.
	Difference []KeyChange
	// ConflictingKeys contains the keys that Head and the rejected change both
	// changed, to different values.
	ConflictingKeys []string
}

// Error returns the revision in force with its author and reason, the accepted
// changes, and the conflicting keys.
func (ce *ConflictError) Error() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "revision %d by %s (%s) is in force; since revision %d others changed:", ce.Head.Revision, ce.Head.Author, ce.Head.Reason, ce.Base)
	for _, change := range ce.Difference {
		fmt.Fprintf(&sb, "\n  %s", change)
	}
	if len(ce.ConflictingKeys) == 0 {
		sb.WriteString("\nno key is changed by both")
		return sb.String()
	}
	fmt.Fprintf(&sb, "\nchanged by both: %s", strings.Join(ce.ConflictingKeys, ", "))
	return sb.String()
}

// newConflict returns the SettingsConflict error for a change whose base is no
// longer the head.
func newConflict(change Change, base, head Record) error {
	theirs, err := Difference([]byte(base.Source), []byte(head.Source))
	if err != nil {
		return err
	}
	ours, err := Difference([]byte(base.Source), []byte(change.Source))
	if err != nil {
		return err
	}
	cause := &ConflictError{
		Base:            change.Base,
		Head:            head,
		Difference:      theirs,
		ConflictingKeys: conflictingKeys(theirs, ours),
	}
	return classifier.Wrap(cause, classifier.SettingsConflict, "the change starts from revision %d", change.Base)
}

// conflictingKeys returns the keys that both differences contain with different
// new values.
func conflictingKeys(theirs, ours []KeyChange) []string {
	values := map[string]string{}
	for _, change := range theirs {
		values[change.Key] = change.After
	}
	var conflicting []string
	for _, change := range ours {
		value, ok := values[change.Key]
		if ok && value != change.After {
			conflicting = append(conflicting, change.Key)
		}
	}
	return conflicting
}
