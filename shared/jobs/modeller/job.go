package modeller

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// JobID names a job; its caller chooses it.
type JobID string

// Job is what a caller has submitted to a queue.
type Job struct {
	// ID names the job.
	ID JobID
	// Queue is the queue's name.
	Queue string
	// Payload is handed to each task as it is.
	Payload string
	// Steps are the job's steps.
	Steps []Step
	// Occurrences is how many times the steps run; zero stands for once, at once.
	Occurrences int
	// FirstAt is when the first occurrence is due, for a job with occurrences.
	FirstAt time.Time
	// Interval is the time from one occurrence to the next.
	Interval time.Duration
	// AcceptedAt is when the entry accepted the job, by the entry's clock.
	AcceptedAt time.Time
}

// Step is a set of like tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Demand is what each task takes up.
	Demand Resources
	// Estimate is the rough duration of a task.
	Estimate time.Duration
	// After lists the steps that must be done first.
	After []int
	// IsCheckpointing is true if tasks save their progress.
	IsCheckpointing bool
	// IsGang is true if the tasks work only together.
	IsGang bool
	// IsSameRack is true if the tasks are slow when they run on several racks.
	IsSameRack bool
	// IsSpeculative is true if a task may run more than once at a time.
	IsSpeculative bool
	// IsLongRunning is true if the tasks run until the job is cancelled.
	IsLongRunning bool
	// IsFilling is true if the tasks use the processors that others leave.
	IsFilling bool
	// RequiredLabel is the label that a worker must have, or empty.
	RequiredLabel string
	// PreferredRack is the rack of the step's data, or empty.
	PreferredRack string
	// MaxPerWorker bounds the tasks of an occurrence on one worker; zero is no bound.
	MaxPerWorker int
	// Image names what the tasks run.
	Image string
	// LatencyTarget bounds the tail of the response times of a serving task; zero is none.
	LatencyTarget time.Duration
	// MaxUnavailable is how many tasks may be unavailable through our actions.
	MaxUnavailable int
}

// Resources are processors, memory and accelerators.
type Resources struct {
	// MilliCores is in thousandths of a core.
	MilliCores int
	// MemoryMB is in megabytes.
	MemoryMB int
	// Accelerators is a number of GPUs.
	Accelerators int
}

// Plus returns the sum.
func (rs Resources) Plus(other Resources) Resources {
	return Resources{
		MilliCores:   rs.MilliCores + other.MilliCores,
		MemoryMB:     rs.MemoryMB + other.MemoryMB,
		Accelerators: rs.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference.
func (rs Resources) Minus(other Resources) Resources {
	return Resources{
		MilliCores:   rs.MilliCores - other.MilliCores,
		MemoryMB:     rs.MemoryMB - other.MemoryMB,
		Accelerators: rs.Accelerators - other.Accelerators,
	}
}

// FitsIn reports whether the resources are within a bound.
func (rs Resources) FitsIn(bound Resources) bool {
	return rs.MilliCores <= bound.MilliCores && rs.MemoryMB <= bound.MemoryMB && rs.Accelerators <= bound.Accelerators
}

// ReservedResources returns what a task of the step counts against a worker's capacity.
func (st Step) ReservedResources() Resources {
	demand := st.Demand
	if st.IsFilling {
		demand.MilliCores = 0
	}
	return demand
}

// TaskName is the full name of a task.
type TaskName struct {
	// Job is the task's job.
	Job JobID
	// Occurrence counts the job's occurrences from zero.
	Occurrence int
	// Step and Index count from zero.
	Step, Index int
}

// String returns the name with its parts joined by dots.
func (tn TaskName) String() string {
	return string(tn.Job) + "." + strconv.Itoa(tn.Occurrence) + "." + strconv.Itoa(tn.Step) + "." + strconv.Itoa(tn.Index)
}

// Compare orders names by job, occurrence, step and index.
func (tn TaskName) Compare(other TaskName) int {
	return cmp.Or(cmp.Compare(tn.Job, other.Job), cmp.Compare(tn.Occurrence, other.Occurrence), cmp.Compare(tn.Step, other.Step), cmp.Compare(tn.Index, other.Index))
}

// StepName returns the name of the task's step.
func (tn TaskName) StepName() string {
	return string(tn.Job) + "." + strconv.Itoa(tn.Occurrence) + "." + strconv.Itoa(tn.Step)
}

// ParseTaskName returns the parts of a name.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, classifier.New(classifier.RecordInvalid, "task name %q", text)
	}
	var numbers [3]int
	for idx, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskName{}, classifier.New(classifier.RecordInvalid, "task name %q", text)
		}
		numbers[idx] = number
	}
	return TaskName{
		Job:        JobID(parts[0]),
		Occurrence: numbers[0],
		Step:       numbers[1],
		Index:      numbers[2],
	}, nil
}
