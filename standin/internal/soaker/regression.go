package soaker

// Regression is a play that has failed before.
type Regression struct {
	Seed uint64
	Settings
	// Cause is why it failed.
	Cause string
}

// Regressions are the plays that have failed before.
var Regressions = []Regression{}
