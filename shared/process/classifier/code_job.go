package classifier

// Result codes of jobs and of orders to workers.
const (
	// JobUnknown means: no job has this name.
	JobUnknown Code = 801
	// JobRefused means: the job was not accepted and never runs.
	JobRefused Code = 802
	// JobOutcomeUnknown means: the answer to the job's storing was lost, so it may have been accepted.
	JobOutcomeUnknown Code = 803
	// JobUnavailable means: the question can't be answered now.
	JobUnavailable Code = 804
	// JobMalformed means: the job can't be read or contradicts itself.
	JobMalformed Code = 805
	// JobTooLarge means: the job is over a bound.
	JobTooLarge Code = 806
	// QueueUnknown means: no queue has this host and path.
	QueueUnknown Code = 807
	// OrderUnanswered means: an order got no answer, so it may be carried out.
	OrderUnanswered Code = 811
	// OrderFenced means: a later holder has given orders.
	OrderFenced Code = 812
	// AttemptOutdated means: the worker has seen this attempt or a higher one end.
	AttemptOutdated Code = 813
	// OrderLate means: the order's lease had ended by the worker's clock.
	OrderLate Code = 814
	// NoRoom means: the worker has no room for the task.
	NoRoom Code = 815
	// TicketInvalid means: the worker refused the ticket.
	TicketInvalid Code = 816
	// WorkerReplaced means: another worker is at the address.
	WorkerReplaced Code = 817
	// WorkerUnhealthy means: the worker refused the order and did nothing.
	WorkerUnhealthy Code = 818
	// WorkerUnreachable means: no connection to the worker could be made.
	WorkerUnreachable Code = 819
	// OrderMalformed means: an order was refused as unreadable.
	OrderMalformed Code = 820
)

var jobCodes = []Description{
	{
		Code:    JobUnknown,
		Name:    "jobUnknown",
		Summary: "No job has this name.",
		Remedy:  "See cfw job list.",
	},
	{
		Code:    JobRefused,
		Name:    "jobRefused",
		Summary: "The job was not accepted and never runs.",
		Remedy:  "Submit it again after the time in Retry-After.",
	},
	{
		Code:    JobOutcomeUnknown,
		Name:    "jobOutcomeUnknown",
		Summary: "The answer to the job's storing was lost, so it may have been accepted.",
		Remedy:  "Submit it again with the same ID; it stays one job.",
	},
	{
		Code:    JobUnavailable,
		Name:    "jobUnavailable",
		Summary: "The question can't be answered now.",
		Remedy:  "Ask again.",
	},
	{
		Code:    JobMalformed,
		Name:    "jobMalformed",
		Summary: "The job can't be read or contradicts itself.",
		Remedy:  "Mend the job; the detail names the fault.",
	},
	{
		Code:    JobTooLarge,
		Name:    "jobTooLarge",
		Summary: "The job is over a bound.",
		Remedy:  "Make it smaller; the detail names the bound.",
	},
	{
		Code:    QueueUnknown,
		Name:    "queueUnknown",
		Summary: "No queue has this host and path.",
		Remedy:  "Check the host and the path against the configuration.",
	},
	{
		Code:    OrderUnanswered,
		Name:    "orderUnanswered",
		Summary: "An order got no answer, so it may be carried out.",
		Remedy:  "Wait; the scheduler settles it by a look or a stop.",
	},
	{
		Code:    OrderFenced,
		Name:    "orderFenced",
		Summary: "A later holder has given orders.",
		Remedy:  "None; the holder gives the duty up.",
	},
	{
		Code:    AttemptOutdated,
		Name:    "attemptOutdated",
		Summary: "The worker has seen this attempt or a higher one end.",
		Remedy:  "None; the scheduler takes a higher attempt.",
	},
	{
		Code:    OrderLate,
		Name:    "orderLate",
		Summary: "The order's lease had ended by the worker's clock.",
		Remedy:  "None; the scheduler looks at the clock again.",
	},
	{
		Code:    NoRoom,
		Name:    "noRoom",
		Summary: "The worker has no room for the task.",
		Remedy:  "None; the scheduler places it again.",
	},
	{
		Code:    TicketInvalid,
		Name:    "ticketInvalid",
		Summary: "The worker refused the ticket.",
		Remedy:  "None; the scheduler asks for a new one.",
	},
	{
		Code:    WorkerReplaced,
		Name:    "workerReplaced",
		Summary: "Another worker is at the address.",
		Remedy:  "None; the scheduler follows the directory.",
	},
	{
		Code:    WorkerUnhealthy,
		Name:    "workerUnhealthy",
		Summary: "The worker refused the order and did nothing.",
		Remedy:  "None; the scheduler places the task elsewhere.",
	},
	{
		Code:    WorkerUnreachable,
		Name:    "workerUnreachable",
		Summary: "No connection to the worker could be made.",
		Remedy:  "Check the worker and the network.",
	},
	{
		Code:    OrderMalformed,
		Name:    "orderMalformed",
		Summary: "An order was refused as unreadable.",
		Remedy:  "Report it; the log has the detail.",
	},
}
