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

// Add adds a fault of a key. The line is the key's, or that of the closest
// table above it when the document doesn't hold the key.
func (rt *Report) Add(code classifier.Code, key Key, format string, args ...any) {
	rt.faulty[key.String()] = true
	rt.faults = append(rt.faults, Fault{
		Line: rt.dt.Line(key),
		Key:  key,
		Err:  classifier.New(code, format, args...),
	})
}

// Has tells whether the document holds a key.
func (rt *Report) Has(key ...string) bool { return rt.dt.Has(key) }

// Sound tells whether no fault of a key has been added.
func (rt *Report) Sound(key ...string) bool { return !rt.faulty[Key(key).String()] }

// Require adds a fault if the document doesn't hold a key, and tells whether
// it holds the key without a fault.
func (rt *Report) Require(key ...string) bool {
	if !rt.Sound(key...) {
		return false
	}
	if rt.Has(key...) {
		return true
	}
	rt.Add(classifier.SettingsRange, key, "%s is missing", Key(key))
	return false
}

// Between adds a fault if a value is less than least or greater than greatest.
// Durations are compared and shown as such. A key that already has a fault
// gets no second one.
func Between[T cmp.Ordered](rt *Report, value, least, greatest T, key ...string) {
	if !rt.Sound(key...) {
		return
	}
	if least <= value && value <= greatest {
		return
	}
	rt.Add(classifier.SettingsRange, key, "%s is %v, but must be from %v to %v", Key(key), value, least, greatest)
}

// OneOf adds a fault if a value is none of those allowed.
func OneOf(rt *Report, value string, allowed []string, key ...string) {
	if !rt.Sound(key...) || slices.Contains(allowed, value) {
		return
	}
	rt.Add(classifier.SettingsRange, key, "%s is %q, but must be one of %q", Key(key), value, allowed)
}

// Err returns nil, or a *FaultsError with all faults in the order of their
// lines.
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
