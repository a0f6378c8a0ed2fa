package classifier

// Result codes of processes.
const (
	// Internal means: the program met a fault of its own.
	Internal Code = 901
	// Usage means: the command line is wrong.
	Usage Code = 902
	// ListenFailed means: an address can't be listened on.
	ListenFailed Code = 903
)

var processCodes = []Description{
	{
		Code:    Internal,
		Name:    "internal",
		Summary: "The program met a fault of its own.",
		Remedy:  "Report it with the log lines around it.",
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
		Remedy:  "Check the address and what else listens there.",
	},
}
