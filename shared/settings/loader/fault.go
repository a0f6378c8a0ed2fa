package loader

import (
	"cmp"
	"fmt"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
)

// Fault is a single error in a settings file.
type Fault struct {
	// Line is the line of the file, from 1.
	Line int
	// Key is the invalid key; it is empty for a syntax error.
	Key Key
	// Err contains the result code and the detail.
	Err *classifier.Error
}

func compareFaults(left, right Fault) int {
	return cmp.Or(
		cmp.Compare(left.Line, right.Line),
		cmp.Compare(left.Key.String(), right.Key.String()),
	)
}

// FaultsError is the error for an invalid settings file. It contains all faults
// of the file, at least one.
type FaultsError struct {
	// File is the name of the file.
	File string
	// Faults are the faults, ordered by line.
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

// Unwrap returns the errors of all faults, so that classifier.CodeOf returns the
// code of the first fault.
func (fe *FaultsError) Unwrap() []error {
	errs := make([]error, 0, len(fe.Faults))
	for _, ft := range fe.Faults {
		errs = append(errs, ft.Err)
	}
	return errs
}
