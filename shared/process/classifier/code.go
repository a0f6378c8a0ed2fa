// Package classifier defines the numbered result codes that every program of
// coltsfootwick reports, and the typed error that carries one.
package classifier

import (
	"fmt"
	"slices"
)

// Code is a numbered result code. The hundreds digit names the area:
// 1 requests, 2 admission, 3 targets, 4 settings, 5 platform, 6 peers,
// 7 fleet, 8 jobs, 9 processes. Zero means success.
type Code int

// OK is the result code of a success.
const OK Code = 0

// Description is one row of the table of result codes.
type Description struct {
	// Code is the number.
	Code Code
	// Name is the camel-case identifier shown beside the number.
	Name string
	// Summary says in one sentence what happened.
	Summary string
	// Remedy says in one sentence what the reader of the error can do.
	Remedy string
}

// Descriptions returns the table of all result codes, ordered by number.
func Descriptions() []Description {
	table := slices.Concat(
		requestCodes,
		admissionCodes,
		targetCodes,
		settingsCodes,
		platformCodes,
		peerCodes,
		fleetCodes,
		jobCodes,
		processCodes,
	)
	slices.SortFunc(table, func(a, b Description) int {
		return int(a.Code) - int(b.Code)
	})
	return table
}

// Describe returns the row of a code, and false for an unknown code.
func Describe(code Code) (Description, bool) {
	for _, dn := range Descriptions() {
		if dn.Code == code {
			return dn, true
		}
	}
	return Description{}, false
}

// String returns the number and the name, as in "101 malformedRequest".
func (cd Code) String() string {
	if cd == OK {
		return "0 ok"
	}
	dn, ok := Describe(cd)
	if !ok {
		return fmt.Sprintf("%d unknown", int(cd))
	}
	return fmt.Sprintf("%d %s", int(cd), dn.Name)
}
