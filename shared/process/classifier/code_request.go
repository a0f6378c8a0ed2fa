package classifier

// Result codes of requests.
const (
	// MalformedRequest means that the request can't be parsed.
	MalformedRequest Code = 101
	// UnknownService means that no service serves this path.
	UnknownService Code = 102
	// RequestTooLarge means that the request body is larger than the service allows.
	RequestTooLarge Code = 103
	// PriorityNotAllowed means that the requested priority is higher than the service allows.
	PriorityNotAllowed Code = 104
	// KeyInvalid means that the Idempotency-Key is empty, too long or has invalid characters.
	KeyInvalid Code = 105
	// KeyConflict means that the Idempotency-Key was used before with a different request.
	KeyConflict Code = 106
	// KeyInProgress means that a request with this Idempotency-Key is still in progress.
	KeyInProgress Code = 107
	// KeyFinished means that a request with this Idempotency-Key ran before, and its answer is no
	// longer stored.
	KeyFinished Code = 108
	// KeyUnresolved means that a request with this Idempotency-Key may have run, and will not be
	// run again.
	KeyUnresolved Code = 109
	// CallerGone means that the caller disconnected before its answer was complete.
	CallerGone Code = 110
)

var requestCodes = []Description{
	{
		Code:    MalformedRequest,
		Name:    "malformedRequest",
		Summary: "The request can't be parsed.",
		Remedy:  "Correct the request.",
	},
	{
		Code:    UnknownService,
		Name:    "unknownService",
		Summary: "No service serves this path.",
		Remedy:  "Check the path against the services in the settings.",
	},
	{
		Code:    RequestTooLarge,
		Name:    "requestTooLarge",
		Summary: "The request body is over the service's bound.",
		Remedy:  "Send a smaller body or raise the service's maxRequestBytes.",
	},
	{
		Code:    PriorityNotAllowed,
		Name:    "priorityNotAllowed",
		Summary: "The priority asked for is above what the service allows.",
		Remedy:  "Request a lower priority.",
	},
	{
		Code:    KeyInvalid,
		Name:    "keyInvalid",
		Summary: "The Idempotency-Key is empty, too long or has forbidden characters.",
		Remedy:  "Send a key of 1 to 128 visible ASCII characters.",
	},
	{
		Code:    KeyConflict,
		Name:    "keyConflict",
		Summary: "The Idempotency-Key was used before with a different request.",
		Remedy:  "Use a new key for a new request.",
	},
	{
		Code:    KeyInProgress,
		Name:    "keyInProgress",
		Summary: "A request with this Idempotency-Key is still running.",
		Remedy:  "Repeat the request with the same key after the Retry-After time.",
	},
	{
		Code:    KeyFinished,
		Name:    "keyFinished",
		Summary: "A request with this Idempotency-Key ran before and its answer is no longer stored.",
		Remedy:  "Do not send the request again.",
	},
	{
		Code:    KeyUnresolved,
		Name:    "keyUnresolved",
		Summary: "A request with this Idempotency-Key may have run, and it will not be run again.",
		Remedy:  "Check with the service itself whether the request ran.",
	},
	{
		Code:    CallerGone,
		Name:    "callerGone",
		Summary: "The caller went away before its answer was complete.",
		Remedy:  "None; the code appears only in metrics and logs.",
	},
}
