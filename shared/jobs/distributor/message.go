package distributor

import (
	"net/netip"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// Handle identifies a worker on a connection between the scheduler and a keeper.
type Handle uint64

// ToKeeper is a message from the scheduler to a keeper.
type ToKeeper interface {
	toKeeper()
}

// Permit answers an Ask: the duty was held when the Ask arrived.
type Permit struct {
	// Number is the number of the Ask.
	Number uint64
}

// Attend defines a handle, or gives its worker another address or incarnation. It
// holds for the orders that follow.
type Attend struct {
	// Handle is the worker's handle in all other messages.
	Handle Handle
	// Worker is the worker's ID, and Address where it accepts orders.
	Worker  modeller.WorkerID
	Address netip.AddrPort
	// StartedAtMS is the start time of the incarnation that the orders are for, in Unix
	// milliseconds, or zero for any.
	StartedAtMS int64
	// Generation is the generation of the orders.
	Generation int
}

// Leave removes a handle.
type Leave struct {
	// Handle is the handle.
	Handle Handle
}

// Payload carries the payload of a job. It or a Fetch precedes the first Start of
// the job on the connection.
type Payload struct {
	// Job is the job, and Text its payload.
	Job  modeller.JobID
	Text string
}

// Fetch tells the keeper to read the payload of a job from the store.
type Fetch struct {
	// Job and Queue identify the job.
	Job   modeller.JobID
	Queue string
}

// Forget lets the keeper discard the payload of a job.
type Forget struct {
	// Job is the job.
	Job modeller.JobID
}

// Poll tells the keeper to poll a worker.
type Poll struct {
	// Handle is the worker.
	Handle Handle
	// Number is the number of the poll on this connection.
	Number uint64
	// IsFull is true if the report has to contain all runs, and not only the
	// changes since the last report.
	IsFull bool
	// LeaseEnd, AcknowledgedEnds, ProcessedEnds and Wait are those of
	// allocator.PollOrder.
	LeaseEnd         time.Duration
	AcknowledgedEnds int64
	ProcessedEnds    int64
	Wait             time.Duration
}

// Start tells the keeper to send a start order. The fields are those of
// allocator.StartOrder.
type Start struct {
	Handle         Handle
	Task           modeller.TaskName
	Attempt        int
	Checkpoint     string
	Ticket         string
	LeaseEnd       time.Duration
	ReportAge      time.Duration
	FreeMilliCores int
}

// Stop tells the keeper to send a stop order. The fields are those of
// allocator.StopOrder.
type Stop struct {
	Handle  Handle
	Task    modeller.TaskName
	Attempt int
}

// Pace tells the keeper to send an order that changes the pace of a run. The
// fields are those of allocator.PaceOrder.
type Pace struct {
	Handle  Handle
	Task    modeller.TaskName
	Attempt int
	Percent int
}

func (Permit) toKeeper()  {}
func (Attend) toKeeper()  {}
func (Leave) toKeeper()   {}
func (Payload) toKeeper() {}
func (Fetch) toKeeper()   {}
func (Forget) toKeeper()  {}
func (Poll) toKeeper()    {}
func (Start) toKeeper()   {}
func (Stop) toKeeper()    {}
func (Pace) toKeeper()    {}

// ToScheduler is a message from a keeper to the scheduler.
type ToScheduler interface {
	toScheduler()
}

// Ask asks for a permission to send orders.
type Ask struct {
	// Number rises with each Ask on the connection.
	Number uint64
}

// Report carries a worker's answer to a poll.
type Report struct {
	// Handle is the worker, and Number that of the poll.
	Handle Handle
	Number uint64
	// StartedAtMS and Clock are those of modeller.Report.
	StartedAtMS int64
	Clock       time.Duration
	// Changes describes, for each run of the last report on this connection and
	// in its order, what has become of it. It is empty for a full report.
	Changes []RunChange
	// Added are the runs that the last report does not contain.
	Added []modeller.Run
	// Ended are the ends after the ProcessedEnds of the poll.
	Ended []modeller.End
	// HasMoreEnds is that of modeller.Report.
	HasMoreEnds bool
}

// RunChange is the change of a run since the last report.
type RunChange struct {
	// IsGone is true if the worker no longer reports the run.
	IsGone bool
	// Progress, Load and Checkpoint are the new values, or nil if they have not
	// changed.
	Progress, Load *int
	Checkpoint     *string
}

// PollFailure reports that a poll got no report.
type PollFailure struct {
	// Handle is the worker, and Number that of the poll.
	Handle Handle
	Number uint64
	// Outcome is the reason.
	Outcome allocator.Outcome
}

// StartAnswer carries the result of a Start. The fields are those of
// allocator.StartResult.
type StartAnswer struct {
	Handle  Handle
	Task    modeller.TaskName
	Attempt int
	Outcome allocator.Outcome
	Clock   time.Duration
}

// StopAnswer carries the result of a Stop. The fields are those of
// allocator.StopResult.
type StopAnswer struct {
	Handle  Handle
	Task    modeller.TaskName
	Attempt int
	Outcome allocator.Outcome
}

// PaceAnswer carries the result of a Pace. The fields are those of
// allocator.PaceResult.
type PaceAnswer struct {
	Handle  Handle
	Task    modeller.TaskName
	Attempt int
	Percent int
	Outcome allocator.Outcome
}

// Missing reports that the keeper cannot read the payload of a job.
type Missing struct {
	// Job is the job.
	Job modeller.JobID
}

func (Ask) toScheduler()         {}
func (Missing) toScheduler()     {}
func (Report) toScheduler()      {}
func (PollFailure) toScheduler() {}
func (StartAnswer) toScheduler() {}
func (StopAnswer) toScheduler()  {}
func (PaceAnswer) toScheduler()  {}
