package modeller

// Intake is which jobs the scheduler has memory for.
type Intake int

// The intakes.
const (
	// IntakeOpen means that all jobs may be submitted.
	IntakeOpen Intake = iota
	// IntakeSmall means that only small jobs may be submitted.
	IntakeSmall
	// IntakeClosed means that no jobs may be submitted.
	IntakeClosed
)

// The memory that a scheduler takes for a job, beside its payload.
const (
	jobBytes  = 4 << 10
	stepBytes = 512
	taskBytes = 256
)

// smallJobBytes is the memory of a job up to which it is small.
const smallJobBytes = 8 << 10

// MemoryBytes estimates the memory that a scheduler takes for a job that has not ended.
func (jb Job) MemoryBytes() int64 {
	size := int64(jobBytes + len(jb.Payload))
	for _, st := range jb.Steps {
		size += stepBytes + int64(st.Count)*taskBytes
	}
	return size
}

// Admits reports whether a job may be submitted.
func (in Intake) Admits(jb Job) bool {
	switch in {
	case IntakeOpen:
		return true
	case IntakeSmall:
		return jb.MemoryBytes() <= smallJobBytes
	default:
		return false
	}
}
