package loader

import (
	"cmp"
	"fmt"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	// Line is the line of the file, from 1.
	Line int
	// Key is the key at fault; it is empty for a fault of the syntax.
	Key Key
	// Err holds the numbered result code and the detail.
	Err *classifier.Error
}

func compareFaults(left, right Fault) int {
	return cmp.Or(
		cmp.Compare(left.Line, right.Line),
		cmp.Compare(left.Key.String(), right.Key.String()),
	)
}

// FaultsError is the error of a settings file: all its faults, at least one.
type FaultsError struct {
	// File is the name of the file.
	File string
	// Faults are the faults in the order of their lines.
	Faults []Fault
}

// Error returns a line for each fault, such as
//
//	entry.toml:3: 403 settingsType: listen is a number, but must be a string
func (fe *FaultsError) Error() string {
	lines := make([]string, 0, len(fe.Faults))
	for _, ft := range fe.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %v", fe.File, ft.Line, ft.Err))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors of all faults, so that classifier.CodeOf gives the
// code of the first.
func (fe *FaultsError) Unwrap() []error {
	errs := make([]error, 0, len(fe.Faults))
	for _, ft := range fe.Faults {
		errs = append(errs, ft.Err)
	}
	return errs
}
