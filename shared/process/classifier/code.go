// Package classifier defines the numbered result codes of all coltsfootwick
// programs, and an error type that carries one.
package classifier

import (
	"fmt"
	"slices"
)

// Code is a numbered result code. The hundreds digit is the area:
// 1 requests, 2 admission, 3 targets, 4 settings, 5 platform, 6 peers,
// 7 fleet, 8 jobs, 9 processes. Zero means success.
type Code int

// OK is the result code of success.
const OK Code = 0

// Description describes a result code.
type Description struct {
	Code Code
	// Name is the camel-case name shown with the number.
	Name string
	// Summary describes in one sentence what happened.
	Summary string
	// Remedy describes in one sentence what the reader of the error can do.
	Remedy string
}

// Descriptions returns the descriptions of all result codes, ordered by number.
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

// Describe returns the description of a code, and false if the code is unknown.
func Describe(code Code) (Description, bool) {
	for _, dn := range Descriptions() {
		if dn.Code == code {
			return dn, true
		}
	}
	return Description{}, false
}

// String returns the number and the name, such as "101 malformedRequest".
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
