package classifier

// Outcome is what is known about the execution of a request, as reported to its
// caller.
type Outcome string

// The outcomes that a problem document can contain.
const (
	// NotRun means that no target has run the request or will run it.
	NotRun Outcome = "notRun"
	// Ran means that a target ran the request to completion.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)
