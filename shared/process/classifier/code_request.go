package classifier

// Result codes of requests.
const (
	// MalformedRequest means: the request can't be parsed.
	MalformedRequest Code = 101
	// UnknownService means: no service serves this path.
	UnknownService Code = 102
	// RequestTooLarge means: the request body is over the service's bound.
	RequestTooLarge Code = 103
	// PriorityNotAllowed means: the priority asked for is above what the service allows.
	PriorityNotAllowed Code = 104
	// KeyInvalid means: the Idempotency-Key is empty, too long or has forbidden characters.
	KeyInvalid Code = 105
	// KeyConflict means: the Idempotency-Key was used before with a different request.
	KeyConflict Code = 106
	// KeyInProgress means: a request with this Idempotency-Key is still running.
	KeyInProgress Code = 107
	// KeyFinished means: a request with this Idempotency-Key ran before and its answer is no longer stored.
	KeyFinished Code = 108
	// KeyUnresolved means: a request with this Idempotency-Key may have run, and it will not be run again.
	KeyUnresolved Code = 109
	// CallerGone means: the caller went away before its answer was complete.
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
		Remedy:  "Ask for a lower priority.",
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
		Remedy:  "Repeat with the same key after the Retry-After time.",
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
		Remedy:  "Check with the service itself whether it ran.",
	},
	{
		Code:    CallerGone,
		Name:    "callerGone",
		Summary: "The caller went away before its answer was complete.",
		Remedy:  "None; it stands in metrics and logs only.",
	},
}
