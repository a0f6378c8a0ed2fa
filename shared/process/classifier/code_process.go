package classifier

// Result codes of processes.
const (
	// Internal means that the program had an internal error.
	Internal Code = 901
	// Usage means that the command line is invalid.
	Usage Code = 902
	// ListenFailed means that the program can't listen on an address.
	ListenFailed Code = 903
	// RequestMemoryExhausted means that there is no memory to read the request's body, which was
	// not read.
	RequestMemoryExhausted Code = 904
	// RequestStalled means that the request's body did not arrive in time, or that its connection
	// was closed for another one before it was complete.
	RequestStalled Code = 905
)

var processCodes = []Description{
	{
		Code:    Internal,
		Name:    "internal",
		Summary: "The program met a fault of its own.",
		Remedy:  "Report the error with the surrounding log lines.",
	},
	{
		Code:    Usage,
		Name:    "usage",
		Summary: "The command line is wrong.",
		Remedy:  "See --help.",
	},
	{
		Code:    ListenFailed,
		Name:    "listenFailed",
		Summary: "An address can't be listened on.",
		Remedy:  "Check the address and which other process listens on it.",
	},
	{
		Code:    RequestMemoryExhausted,
		Name:    "requestMemoryExhausted",
		Summary: "There is no memory to read the request's body, so the request was not accepted.",
		Remedy:  "Repeat the request after the Retry-After time.",
	},
	{
		Code:    RequestStalled,
		Name:    "requestStalled",
		Summary: "The request's body didn't arrive in time, so the request was not accepted.",
		Remedy:  "Repeat the request, and send its body without pauses.",
	},
}
