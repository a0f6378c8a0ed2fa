package classifier

// Result codes of admission.
const (
	// QueueFull means: the service's queue is full.
	QueueFull Code = 201
	// QueueDelay means: the service's queue delay is above its target, and less urgent work is shed.
	QueueDelay Code = 202
	// DeadlineUnreachable means: the request can't be started before its deadline.
	DeadlineUnreachable Code = 203
	// EntryStopping means: the entry is stopping and takes no new requests.
	EntryStopping Code = 204
	// EntryNotReady means: the entry has no settings or directory yet.
	EntryNotReady Code = 205
	// JournalUnavailable means: the journal for requests that must not be repeated can't be reached.
	JournalUnavailable Code = 206
)

var admissionCodes = []Description{
	{
		Code:    QueueFull,
		Name:    "queueFull",
		Summary: "The service's queue is full.",
		Remedy:  "Repeat after the Retry-After time.",
	},
	{
		Code:    QueueDelay,
		Name:    "queueDelay",
		Summary: "The service's queue delay is above its target, and less urgent work is shed.",
		Remedy:  "Repeat after the Retry-After time.",
	},
	{
		Code:    DeadlineUnreachable,
		Name:    "deadlineUnreachable",
		Summary: "The request can't be started before its deadline.",
		Remedy:  "Repeat with a later deadline.",
	},
	{
		Code:    EntryStopping,
		Name:    "entryStopping",
		Summary: "The entry is stopping and takes no new requests.",
		Remedy:  "Repeat; the balancer picks another entry.",
	},
	{
		Code:    EntryNotReady,
		Name:    "entryNotReady",
		Summary: "The entry has no settings or directory yet.",
		Remedy:  "Repeat after the Retry-After time.",
	},
	{
		Code:    JournalUnavailable,
		Name:    "journalUnavailable",
		Summary: "The journal for requests that must not be repeated can't be reached.",
		Remedy:  "Repeat with the same Idempotency-Key after the Retry-After time.",
	},
}
