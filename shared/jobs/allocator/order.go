package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Order is a command to be carried out. An order to a worker is for one incarnation:
// the one that started at the StartedAtMS of its Worker. Zero means any, which is so
// until an incarnation has reported.
type Order interface {
	order()
}

// StartOrder tells a worker to start a task.
type StartOrder struct {
	// Worker is the worker that receives the order.
	Worker modeller.Worker
	// Task and Attempt identify the run.
	Task    modeller.TaskName
	Attempt int
	// Queue is the job's queue.
	Queue string
	// Payload is the job's payload if HasPayload is true. Otherwise it has to be
	// read from the store.
	Payload    string
	HasPayload bool
	// Checkpoint is the saved progress to resume from, or empty.
	Checkpoint string
	// Ticket is the advice service's ticket, or empty.
	Ticket string
	// LeaseEnd is the end of the worker's lease by the worker's clock.
	LeaseEnd time.Duration
	// ReportAge is the age of the worker's last report when the start was
	// decided, and FreeMilliCores its free capacity at that time.
	ReportAge      time.Duration
	FreeMilliCores int
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	// Worker is the worker that receives the order.
	Worker modeller.Worker
	// Task and Attempt identify the run.
	Task    modeller.TaskName
	Attempt int
}

// PaceOrder tells a worker to change the pace of a run.
type PaceOrder struct {
	// Worker is the worker that receives the order.
	Worker modeller.Worker
	// Task and Attempt identify the run.
	Task    modeller.TaskName
	Attempt int
	// Percent is the pace, as a percentage of the run's processor share.
	Percent int
}

// PollOrder requests a report from a worker and extends its lease.
type PollOrder struct {
	// Worker is the worker that receives the order.
	Worker modeller.Worker
	// LeaseEnd is the end of the worker's lease by the worker's clock; zero
	// leaves the lease unchanged.
	LeaseEnd time.Duration
	// AcknowledgedEnds is the number of the last end that is stored, and
	// ProcessedEnds that of the last end that the report need not repeat.
	AcknowledgedEnds int64
	ProcessedEnds    int64
	// Wait is how long the worker may delay its answer while no run ends.
	Wait time.Duration
}

// AdviceOrder asks the advice service which workers may run a step.
type AdviceOrder struct {
	// Task is any task of the step.
	Task modeller.TaskName
	// Workers are the candidate workers.
	Workers []modeller.WorkerID
	// Advice describes the queue's advice service.
	Advice modeller.Advice
}

// VMOrder tells the platform to move a VM to a pool or to maintain it.
type VMOrder struct {
	// VM is the name of the VM.
	VM string
	// Pool is the pool to move to, or empty for maintenance.
	Pool string
	// Wave is the number of the wave that a maintenance belongs to.
	Wave int64
}

// ListVMsOrder requests the list of all VMs from the platform.
type ListVMsOrder struct{}

func (StartOrder) order()   {}
func (StopOrder) order()    {}
func (PaceOrder) order()    {}
func (PollOrder) order()    {}
func (AdviceOrder) order()  {}
func (VMOrder) order()      {}
func (ListVMsOrder) order() {}
