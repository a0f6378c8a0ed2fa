package modeller

import (
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Limits of a job. They keep the memory that a job takes, its stored progress and
// the sums over all jobs within bounds.
const (
	MaxSteps        = 1000
	MaxTasksPerStep = 10_000
	// MaxTasks limits the tasks of all steps and occurrences.
	MaxTasks = 100_000

	MaxMilliCores   = 1_000_000_000
	MaxMemoryMB     = 1_000_000_000
	MaxAccelerators = 1_000_000
	MaxEstimate     = 30 * 24 * time.Hour
	// MaxSchedule limits the time from the first to the last occurrence.
	MaxSchedule = 100 * 365 * 24 * time.Hour
	// maxLabelBytes limits the texts of a step.
	maxLabelBytes = 4000
)

// lastYear is the year up to which times are valid.
const lastYear = 9999

// Validate returns a RecordInvalid error if the job is inconsistent or exceeds a
// limit.
func (jb Job) Validate() error {
	if len(jb.Steps) == 0 || len(jb.Steps) > MaxSteps {
		return classifier.New(classifier.RecordInvalid, "%d steps; there must be 1 to %d", len(jb.Steps), MaxSteps)
	}
	tasks := 0
	for number, st := range jb.Steps {
		if err := st.validate(number); err != nil {
			return err
		}
		tasks += st.Count
	}
	if jb.Occurrences < 0 || jb.Occurrences > MaxTasks || tasks*max(jb.Occurrences, 1) > MaxTasks {
		return classifier.New(classifier.RecordInvalid, "%d tasks in %d occurrences; there may be %d in all", tasks, jb.Occurrences, MaxTasks)
	}
	if jb.Occurrences > 0 {
		return jb.validateSchedule()
	}
	return nil
}

func (jb Job) validateSchedule() error {
	if jb.Interval < 0 || jb.Interval > MaxSchedule/time.Duration(jb.Occurrences) {
		return classifier.New(classifier.RecordInvalid, "%d occurrences with an interval of %s; they may take %s", jb.Occurrences, jb.Interval, MaxSchedule)
	}
	if year := jb.FirstAt.UTC().Year(); year < 1970 || year > lastYear {
		return classifier.New(classifier.RecordInvalid, "first occurrence in the year %d", year)
	}
	return nil
}

// validate checks a step of a job, whose number is its index.
func (st Step) validate(number int) error {
	switch {
	case st.Count < 1 || st.Count > MaxTasksPerStep:
		return classifier.New(classifier.RecordInvalid, "step %d: %d tasks; there must be 1 to %d", number, st.Count, MaxTasksPerStep)
	case !st.Demand.isValid():
		return classifier.New(classifier.RecordInvalid, "step %d: demand %+v is out of range", number, st.Demand)
	case st.Estimate < 0 || st.Estimate > MaxEstimate:
		return classifier.New(classifier.RecordInvalid, "step %d: estimate %s; it must be at most %s", number, st.Estimate, MaxEstimate)
	case st.LatencyTarget < 0 || st.MaxPerWorker < 0 || st.MaxUnavailable < 0:
		return classifier.New(classifier.RecordInvalid, "step %d: a limit is negative", number)
	case max(len(st.RequiredLabel), len(st.PreferredRack), len(st.Image)) > maxLabelBytes:
		return classifier.New(classifier.RecordInvalid, "step %d: a label has more than %d bytes", number, maxLabelBytes)
	}
	for _, dependency := range st.DependsOn {
		if dependency < 0 || dependency >= number {
			return classifier.New(classifier.RecordInvalid, "step %d depends on step %d, which is not an earlier one", number, dependency)
		}
	}
	return nil
}

// isValid reports whether resources are a demand within the limits.
func (rs Resources) isValid() bool {
	return rs.FitsIn(Resources{
		MilliCores:   MaxMilliCores,
		MemoryMB:     MaxMemoryMB,
		Accelerators: MaxAccelerators,
	}) && min(rs.MilliCores, rs.MemoryMB, rs.Accelerators) >= 0
}
