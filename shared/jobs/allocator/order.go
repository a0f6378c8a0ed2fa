package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Order is something to be carried out.
type Order interface {
	order()
}

// StartOrder has a worker start a task.
type StartOrder struct {
	// Worker is the worker.
	Worker modeller.Worker
	// Task and Attempt name the run.
	Task    modeller.TaskName
	Attempt int
	// Payload is the job's payload.
	Payload string
	// Checkpoint is the progress to go on from, or empty.
	Checkpoint string
	// Ticket is the advice service's ticket, or empty.
	Ticket string
	// LeaseEnd is the end of the worker's lease by its own clock.
	LeaseEnd time.Duration
	// ReportAge is how old the worker's last report was when the start was
	// decided, and FreeMilliCores what it had free then.
	ReportAge      time.Duration
	FreeMilliCores int
}

// StopOrder has a worker stop a run.
type StopOrder struct {
	// Worker is the worker.
	Worker modeller.Worker
	// Task and Attempt name the run.
	Task    modeller.TaskName
	Attempt int
}

// PaceOrder has a worker let a run work at a share.
type PaceOrder struct {
	// Worker is the worker.
	Worker modeller.Worker
	// Task and Attempt name the run.
	Task    modeller.TaskName
	Attempt int
	// Percent is the share.
	Percent int
}

// PollOrder asks a worker for its runs.
type PollOrder struct {
	// Worker is the worker.
	Worker modeller.Worker
	// LeaseEnd is the end of its lease by its own clock; zero leaves it as it is.
	LeaseEnd time.Duration
	// AcknowledgedEnds is the number of the last end that is stored.
	AcknowledgedEnds int64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// AdviseOrder asks which workers may run a step.
type AdviseOrder struct {
	// Task is any task of the step.
	Task modeller.TaskName
	// Workers are asked about.
	Workers []modeller.WorkerID
	// Advice is the queue's advice service.
	Advice modeller.Advice
}

// VMOrder moves a VM to a pool, or has it maintained.
type VMOrder struct {
	// VM is the VM.
	VM string
	// Pool is where it moves, or empty.
	Pool string
	// Wave is the wave that it is maintained for, where it doesn't move.
	Wave int64
}

// ListVMsOrder asks for the list of VMs.
type ListVMsOrder struct{}

func (StartOrder) order()   {}
func (StopOrder) order()    {}
func (PaceOrder) order()    {}
func (PollOrder) order()    {}
func (AdviseOrder) order()  {}
func (VMOrder) order()      {}
func (ListVMsOrder) order() {}
