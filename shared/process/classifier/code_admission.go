package classifier

// Result codes of admission.
const (
	// QueueFull means that the service's queue is full.
	QueueFull Code = 201
	// QueueDelay means that the service's queue delay is above its target, so that less urgent
	// requests are shed.
	QueueDelay Code = 202
	// DeadlineUnreachable means that the request can't be started before its deadline.
	DeadlineUnreachable Code = 203
	// EntryStopping means that the entry is draining and accepts no new requests.
	EntryStopping Code = 204
	// EntryNotReady means that the entry has no settings or directory yet.
	EntryNotReady Code = 205
	// JournalUnavailable means that the journal for requests that must run at most once is unreachable.
	JournalUnavailable Code = 206
)

var admissionCodes = []Description{
	{
		Code:    QueueFull,
		Name:    "queueFull",
		Summary: "The service's queue is full.",
		Remedy:  "Repeat the request after the Retry-After time.",
	},
	{
		Code:    QueueDelay,
		Name:    "queueDelay",
		Summary: "The service's queue delay is above its target, and less urgent work is shed.",
		Remedy:  "Repeat the request after the Retry-After time.",
	},
	{
		Code:    DeadlineUnreachable,
		Name:    "deadlineUnreachable",
		Summary: "The request can't be started before its deadline.",
		Remedy:  "Repeat the request with a later deadline.",
	},
	{
		Code:    EntryStopping,
		Name:    "entryStopping",
		Summary: "The entry is stopping and takes no new requests.",
		Remedy:  "Repeat the request; the load balancer picks another entry.",
	},
	{
		Code:    EntryNotReady,
		Name:    "entryNotReady",
		Summary: "The entry has no settings or directory yet.",
		Remedy:  "Repeat the request after the Retry-After time.",
	},
	{
		Code:    JournalUnavailable,
		Name:    "journalUnavailable",
		Summary: "The journal for requests that must not be repeated can't be reached.",
		Remedy:  "Repeat the request with the same Idempotency-Key after the Retry-After time.",
	},
}
