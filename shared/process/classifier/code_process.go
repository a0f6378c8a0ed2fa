package classifier

// Result codes of processes.
const (
	// Internal means that the program had an internal error.
	Internal Code = 901
	// Usage means that the command line is invalid.
	Usage Code = 902
	// ListenFailed means that the program can't listen on an address.
	ListenFailed Code = 903
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
}
