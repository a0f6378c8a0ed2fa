package modeller

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// Job is a job as a caller submitted it to a queue.
type Job struct {
	// ID identifies the job.
	ID JobID
	// Queue is the name of the queue when the job was accepted.
	Queue string
	// Origin is the queue as it was configured then.
	Origin Queue
	// Team is the name of the team that submitted the job, or empty if the request
	// carried no valid key.
	Team string
	// Payload is passed unchanged to each task.
	Payload string
	// Steps are the job's steps.
	Steps []Step
	// Occurrences is how many times the steps run. Zero means that they run
	// once and immediately.
	Occurrences int
	// FirstAt is when the first occurrence is due, for a job with occurrences.
	FirstAt time.Time
	// Interval is the time from one occurrence to the next.
	Interval time.Duration
	// AcceptedAt is when the entry accepted the job, by the entry's clock.
	AcceptedAt time.Time
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Demand is the resource demand of each task.
	Demand Resources
	// Estimate is the estimated duration of a task.
	Estimate time.Duration
	// DependsOn lists the indexes of the steps that must be done first.
	DependsOn []int
	// IsCheckpointing is true if tasks save their progress.
	IsCheckpointing bool
	// IsGang is true if the tasks have to run at the same time.
	IsGang bool
	// IsSameRack is true if the tasks are slow when they run on several racks.
	IsSameRack bool
	// IsSpeculative is true if a task may run more than once at a time.
	IsSpeculative bool
	// IsLongRunning is true if the tasks run until the job is cancelled.
	IsLongRunning bool
	// IsFilling is true for best-effort tasks, which use only processor time
	// that other tasks leave idle.
	IsFilling bool
	// RequiredLabel is the label that a worker must have, or empty.
	RequiredLabel string
	// PreferredRack is the rack of the step's data, or empty.
	PreferredRack string
	// MaxPerWorker limits the tasks of an occurrence on one worker; zero means
	// no limit.
	MaxPerWorker int
	// Image is the name of the image that the tasks run.
	Image string
	// LatencyTarget is the upper limit of a serving task's tail latency; zero
	// means that the tasks do not serve.
	LatencyTarget time.Duration
	// MaxUnavailable is the disruption budget: the maximum number of tasks that
	// the scheduler's own actions may make unavailable.
	MaxUnavailable int
}

// Resources are amounts of processors, memory and accelerators.
type Resources struct {
	// MilliCores is in thousandths of a core.
	MilliCores int
	// MemoryMB is in megabytes.
	MemoryMB int
	// Accelerators is a number of GPUs.
	Accelerators int
}

// Plus returns the sum of two amounts.
func (rs Resources) Plus(other Resources) Resources {
	return Resources{
		MilliCores:   rs.MilliCores + other.MilliCores,
		MemoryMB:     rs.MemoryMB + other.MemoryMB,
		Accelerators: rs.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference of two amounts.
func (rs Resources) Minus(other Resources) Resources {
	return Resources{
		MilliCores:   rs.MilliCores - other.MilliCores,
		MemoryMB:     rs.MemoryMB - other.MemoryMB,
		Accelerators: rs.Accelerators - other.Accelerators,
	}
}

// Times returns a multiple of an amount.
func (rs Resources) Times(count int) Resources {
	return Resources{
		MilliCores:   count * rs.MilliCores,
		MemoryMB:     count * rs.MemoryMB,
		Accelerators: count * rs.Accelerators,
	}
}

// Max returns the larger of two amounts in each resource.
func (rs Resources) Max(other Resources) Resources {
	return Resources{
		MilliCores:   max(rs.MilliCores, other.MilliCores),
		MemoryMB:     max(rs.MemoryMB, other.MemoryMB),
		Accelerators: max(rs.Accelerators, other.Accelerators),
	}
}

// Min returns the smaller of two amounts in each resource.
func (rs Resources) Min(other Resources) Resources {
	return Resources{
		MilliCores:   min(rs.MilliCores, other.MilliCores),
		MemoryMB:     min(rs.MemoryMB, other.MemoryMB),
		Accelerators: min(rs.Accelerators, other.Accelerators),
	}
}

// FitsIn reports whether no amount exceeds that of bound.
func (rs Resources) FitsIn(bound Resources) bool {
	return rs.MilliCores <= bound.MilliCores && rs.MemoryMB <= bound.MemoryMB && rs.Accelerators <= bound.Accelerators
}

// ReservedResources returns the resources that a task of the step reserves on
// its worker. A filling task reserves no processors.
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
	// Occurrence is the index of the job's occurrence.
	Occurrence int
	// Step is the index of the step, and Index that of the task within the
	// step.
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

// Limits of task names that are parsed, below those of the messages that contain
// them.
const (
	maxJobIDBytes = 200
	maxTaskNumber = 1 << 24
)

// ParseTaskName parses a name in the format of TaskName.String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, classifier.New(classifier.RecordInvalid, "invalid task name %q", text)
	}
	if len(parts[0]) > maxJobIDBytes {
		return TaskName{}, classifier.New(classifier.RecordInvalid, "task name with a job ID of %d bytes", len(parts[0]))
	}
	var numbers [3]int
	for idx, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 || number > maxTaskNumber {
			return TaskName{}, classifier.New(classifier.RecordInvalid, "invalid task name %q", text)
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
