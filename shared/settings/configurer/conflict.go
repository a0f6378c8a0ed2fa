package configurer

import (
	"fmt"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

// ConflictError is the cause of a SettingsConflict error: what others had
// accepted since the revision that a change starts from.
type ConflictError struct {
	// Base is the revision that the refused change starts from.
	Base uint64
	// Head is the revision in force.
	Head Record
	// Difference holds the changes of others from Base to Head.
	Difference []KeyChange
	// Both holds the keys that the refused change sets to other values than
	// the others did.
	Both []string
}

// Error names the author and the revision in force and lists the difference.
func (ce *ConflictError) Error() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "revision %d by %s (%s) is in force; since revision %d others changed:", ce.Head.Revision, ce.Head.Author, ce.Head.Reason, ce.Base)
	for _, change := range ce.Difference {
		fmt.Fprintf(&sb, "\n  %s", change)
	}
	if len(ce.Both) == 0 {
		sb.WriteString("\nno key is changed by both")
		return sb.String()
	}
	fmt.Fprintf(&sb, "\nchanged by both: %s", strings.Join(ce.Both, ", "))
	return sb.String()
}

// newConflict returns the SettingsConflict error of a change.
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
		Base:       change.Base,
		Head:       head,
		Difference: theirs,
		Both:       changedByBoth(theirs, ours),
	}
	return classifier.Wrap(cause, classifier.SettingsConflict, "the change starts from revision %d", change.Base)
}

// changedByBoth returns the keys that two differences set to different values.
func changedByBoth(theirs, ours []KeyChange) []string {
	values := map[string]string{}
	for _, change := range theirs {
		values[change.Key] = change.After
	}
	var both []string
	for _, change := range ours {
		value, ok := values[change.Key]
		if ok && value != change.After {
			both = append(both, change.Key)
		}
	}
	return both
}
