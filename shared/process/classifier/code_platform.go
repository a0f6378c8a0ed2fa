package classifier

// Result codes of the platform's service.
const (
	// PlatformUnavailable means that the platform's service is unreachable or rejected the call.
	PlatformUnavailable Code = 501
	// PlatformConflict means that the record changed since it was read.
	PlatformConflict Code = 502
	// PlatformNotFound means that the record does not exist.
	PlatformNotFound Code = 503
	// PlatformAmbiguous means that the answer to a write was lost, so the write may have taken effect.
	PlatformAmbiguous Code = 504
	// PlatformTooLarge means that the value is larger than one megabyte.
	PlatformTooLarge Code = 505
	// PlatformRateLimited means that the rate limit of the platform's service was exceeded.
	PlatformRateLimited Code = 506
	// LeaseLost means that the lease has expired or was taken over.
	LeaseLost Code = 507
	// RecordInvalid means that a record in the platform's service can't be decoded.
	RecordInvalid Code = 508
)

var platformCodes = []Description{
	{
		Code:    PlatformUnavailable,
		Name:    "platformUnavailable",
		Summary: "The platform's service can't be reached or refused the call.",
		Remedy:  "Wait; the programs retry.",
	},
	{
		Code:    PlatformConflict,
		Name:    "platformConflict",
		Summary: "The record changed since it was read.",
		Remedy:  "Read the record again and repeat the write.",
	},
	{
		Code:    PlatformNotFound,
		Name:    "platformNotFound",
		Summary: "The record does not exist.",
		Remedy:  "Check the key.",
	},
	{
		Code:    PlatformAmbiguous,
		Name:    "platformAmbiguous",
		Summary: "The answer to a write was lost, so the write may have taken effect.",
		Remedy:  "Read the record to find out.",
	},
	{
		Code:    PlatformTooLarge,
		Name:    "platformTooLarge",
		Summary: "The value is over one megabyte.",
		Remedy:  "Split the value.",
	},
	{
		Code:    PlatformRateLimited,
		Name:    "platformRateLimited",
		Summary: "The platform's service is over its rate.",
		Remedy:  "Wait; the programs retry.",
	},
	{
		Code:    LeaseLost,
		Name:    "leaseLost",
		Summary: "The lease has expired or was taken over.",
		Remedy:  "Acquire the lease again before acting.",
	},
	{
		Code:    RecordInvalid,
		Name:    "recordInvalid",
		Summary: "A record in the platform's service can't be decoded.",
		Remedy:  "Inspect the record named.",
	},
}
