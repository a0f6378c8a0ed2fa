package classifier

// Outcome tells a caller what is known of the execution of its request.
type Outcome string

// The outcomes that a problem document can carry.
const (
	// NotRun means that no target has run or will run the request.
	NotRun Outcome = "notRun"
	// Ran means that a target ran the request to its end.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)
