package loader

import (
	"cmp"
	"slices"

	"coltsfootwick.example/shared/process/classifier"
)

// Report collects the faults of one document.
type Report struct {
	dt     *Document
	faults []Fault
	faulty map[string]bool
}

// NewReport returns an empty report on a document.
func NewReport(dt *Document) *Report {
	return &Report{
		dt:     dt,
		faulty: map[string]bool{},
	}
}

// Add adds a fault of a key. If the document does not contain the key, the line
// of the fault is that of the closest enclosing table.
func (rt *Report) Add(code classifier.Code, key Key, format string, args ...any) {
	rt.faulty[key.String()] = true
	rt.faults = append(rt.faults, Fault{
		Line: rt.dt.Line(key),
		Key:  key,
		Err:  classifier.New(code, format, args...),
	})
}

// Has reports whether the document contains a key.
func (rt *Report) Has(key ...string) bool { return rt.dt.Has(key) }

// Valid reports whether the report contains no fault of a key.
func (rt *Report) Valid(key ...string) bool { return !rt.faulty[Key(key).String()] }

// Require adds a fault if the document does not contain a key, and reports
// whether the document contains the key and it has no fault.
func (rt *Report) Require(key ...string) bool {
	if !rt.Valid(key...) {
		return false
	}
	if rt.Has(key...) {
		return true
	}
	rt.Add(classifier.SettingsRange, key, "%s is missing", Key(key))
	return false
}

// Between adds a fault if a value is less than least or greater than greatest,
// unless the key already has a fault. Pass a duration as such, so that the fault
// shows it in its usual notation.
func Between[T cmp.Ordered](rt *Report, value, least, greatest T, key ...string) {
	if !rt.Valid(key...) {
		return
	}
	if least <= value && value <= greatest {
		return
	}
	rt.Add(classifier.SettingsRange, key, "%s is %v, but must be from %v to %v", Key(key), value, least, greatest)
}

// OneOf adds a fault if a value is not among the allowed values, unless the key
// already has a fault.
func OneOf(rt *Report, value string, allowed []string, key ...string) {
	if !rt.Valid(key...) || slices.Contains(allowed, value) {
		return
	}
	rt.Add(classifier.SettingsRange, key, "%s is %q, but must be one of %q", Key(key), value, allowed)
}

// Err returns a *FaultsError with all faults ordered by line, or nil if there
// are none.
func (rt *Report) Err() error {
	if len(rt.faults) == 0 {
		return nil
	}
	faults := slices.Clone(rt.faults)
	slices.SortStableFunc(faults, compareFaults)
	return &FaultsError{
		File:   rt.dt.name,
		Faults: faults,
	}
}
