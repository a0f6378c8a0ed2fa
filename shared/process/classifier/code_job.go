package classifier

// Result codes of jobs and of orders to workers.
const (
	// JobUnknown means that no job has this name.
	JobUnknown Code = 801
	// JobRefused means that the job was not accepted and never runs.
	JobRefused Code = 802
	// JobOutcomeUnknown means that the answer to the write that stores the job was lost, so the
	// job may have been accepted.
	JobOutcomeUnknown Code = 803
	// JobUnavailable means that the query can't be answered now.
	JobUnavailable Code = 804
	// JobMalformed means that the job can't be decoded or is inconsistent.
	JobMalformed Code = 805
	// JobTooLarge means that the job exceeds a size limit.
	JobTooLarge Code = 806
	// QueueUnknown means that no queue has this host and path.
	QueueUnknown Code = 807
	// JobIDTaken means that a job of another queue or team has this ID.
	JobIDTaken Code = 808
	// CallerUnauthorised means that the request carries no key of a team.
	CallerUnauthorised Code = 809
	// CapTooLow means that the cap of the job's team is too low for the job to run. The job
	// was not accepted and never runs.
	CapTooLow Code = 810
	// OrderUnanswered means that no answer to an order arrived, so the worker may execute it.
	OrderUnanswered Code = 811
	// OrderFenced means that the order was rejected because a later holder has given orders.
	OrderFenced Code = 812
	// AttemptOutdated means that on this worker this attempt or a later one has already ended.
	AttemptOutdated Code = 813
	// OrderLate means that the order's lease had expired by the worker's clock.
	OrderLate Code = 814
	// NoRoom means that the worker has no capacity left for the task.
	NoRoom Code = 815
	// TicketInvalid means that the worker refused the ticket.
	TicketInvalid Code = 816
	// WorkerReplaced means that another worker now has the address.
	WorkerReplaced Code = 817
	// WorkerUnhealthy means that the worker rejected the order without executing it.
	WorkerUnhealthy Code = 818
	// WorkerUnreachable means that no connection to the worker could be made.
	WorkerUnreachable Code = 819
	// OrderMalformed means that an order was rejected because it can't be decoded.
	OrderMalformed Code = 820
	// WorkerRestarted means that another incarnation of the worker now answers at the
	// address.
	WorkerRestarted Code = 821
	// BacklogTooLong means that the job can't be on time behind the work that waits in its
	// pool. The job was not accepted and never runs.
	BacklogTooLong Code = 822
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
		Remedy:  "Submit the job again after the Retry-After time.",
	},
	{
		Code:    JobOutcomeUnknown,
		Name:    "jobOutcomeUnknown",
		Summary: "The answer to the job's storing was lost, so it may have been accepted.",
		Remedy:  "Submit the job again with the same ID; it is accepted only once.",
	},
	{
		Code:    JobUnavailable,
		Name:    "jobUnavailable",
		Summary: "The question can't be answered now.",
		Remedy:  "Repeat the query.",
	},
	{
		Code:    JobMalformed,
		Name:    "jobMalformed",
		Summary: "The job can't be read or contradicts itself.",
		Remedy:  "Correct the job; the detail names the error.",
	},
	{
		Code:    JobTooLarge,
		Name:    "jobTooLarge",
		Summary: "The job is over a bound.",
		Remedy:  "Make the job smaller; the detail names the limit.",
	},
	{
		Code:    QueueUnknown,
		Name:    "queueUnknown",
		Summary: "No queue has this host and path.",
		Remedy:  "Check the host and the path against the configuration.",
	},
	{
		Code:    JobIDTaken,
		Name:    "jobIdTaken",
		Summary: "A job of another queue or team has this ID.",
		Remedy:  "Submit the job with another ID.",
	},
	{
		Code:    CallerUnauthorised,
		Name:    "callerUnauthorised",
		Summary: "The request carries no key of a team.",
		Remedy:  "Send one key of a team as Authorization: Bearer KEY; the detail names the cause and the configuration's version.",
	},
	{
		Code:    CapTooLow,
		Name:    "capTooLow",
		Summary: "The cap of the team is too low for the job, which was not accepted and never runs.",
		Remedy:  "Make the gang narrower or raise the team's cap; the detail names both.",
	},
	{
		Code:    OrderUnanswered,
		Name:    "orderUnanswered",
		Summary: "An order got no answer, so it may be carried out.",
		Remedy:  "Wait; the scheduler queries the worker or stops the attempt.",
	},
	{
		Code:    OrderFenced,
		Name:    "orderFenced",
		Summary: "A later holder has given orders.",
		Remedy:  "None; the outdated holder releases the duty.",
	},
	{
		Code:    AttemptOutdated,
		Name:    "attemptOutdated",
		Summary: "The worker has seen this attempt or a higher one end.",
		Remedy:  "None; the scheduler uses a higher attempt number.",
	},
	{
		Code:    OrderLate,
		Name:    "orderLate",
		Summary: "The order's lease had ended by the worker's clock.",
		Remedy:  "None; the scheduler reads the worker's clock again.",
	},
	{
		Code:    NoRoom,
		Name:    "noRoom",
		Summary: "The worker has no room for the task.",
		Remedy:  "None; the scheduler places the task again.",
	},
	{
		Code:    TicketInvalid,
		Name:    "ticketInvalid",
		Summary: "The worker refused the ticket.",
		Remedy:  "None; the scheduler requests a new ticket.",
	},
	{
		Code:    WorkerReplaced,
		Name:    "workerReplaced",
		Summary: "Another worker is at the address.",
		Remedy:  "None; the scheduler updates the address from the directory.",
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
		Remedy:  "Report the error with its detail from the log.",
	},
	{
		Code:    WorkerRestarted,
		Name:    "workerRestarted",
		Summary: "The worker has started again since the order was decided.",
		Remedy:  "None; the scheduler polls the worker and places the task again.",
	},
	{
		Code:    BacklogTooLong,
		Name:    "backlogTooLong",
		Summary: "The job can't be on time behind its pool's waiting work; it was not accepted and never runs.",
		Remedy:  "Submit the job again after the Retry-After time; the detail has the expected wait.",
	},
}
