package classifier

// Result codes of targets.
const (
	// NoTarget means that the service has no usable target in this availability zone.
	NoTarget Code = 301
	// TargetFailed means that the connection to the target failed before its whole answer arrived.
	TargetFailed Code = 302
	// TargetTimeout means that the target's answer did not arrive before the deadline.
	TargetTimeout Code = 303
	// AnswerInvalid means that the target's answer was truncated, mixed up with another answer,
	// or malformed.
	AnswerInvalid Code = 304
	// AnswerTooLarge means that the target's answer is larger than the service allows.
	AnswerTooLarge Code = 305
)

var targetCodes = []Description{
	{
		Code:    NoTarget,
		Name:    "noTarget",
		Summary: "The service has no usable target in this availability zone.",
		Remedy:  "Check the service's pool with cfw vm list.",
	},
	{
		Code:    TargetFailed,
		Name:    "targetFailed",
		Summary: "The target's connection failed before its whole answer arrived.",
		Remedy:  "Repeat the request only if the outcome is notRun or the request is repeatable.",
	},
	{
		Code:    TargetTimeout,
		Name:    "targetTimeout",
		Summary: "The target's answer did not arrive before the deadline.",
		Remedy:  "Repeat the request only if the outcome is notRun or the request is repeatable.",
	},
	{
		Code:    AnswerInvalid,
		Name:    "answerInvalid",
		Summary: "The target's answer was cut short, crossed with another, or malformed.",
		Remedy:  "Report the target to its operators.",
	},
	{
		Code:    AnswerTooLarge,
		Name:    "answerTooLarge",
		Summary: "The target's answer is over the service's bound.",
		Remedy:  "Raise the service's maxAnswerBytes.",
	},
}
