package limiter

import (
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
)

// CanEverRun returns a CapTooLow error if a step can't run under a cap: the tasks of a
// gang run together, and those of any other step may run one after the other.
func CanEverRun(limit modeller.Resources, steps []modeller.Step) error {
	for number, st := range steps {
		if together := st.Demand.Times(st.Count); st.IsGang && st.Count > 1 && !within(together, limit) {
			return classifier.New(classifier.CapTooLow, "step %d demands %d millicores, %d MB and %d accelerators at once, the team's cap is %d, %d and %d",
				number, together.MilliCores, together.MemoryMB, together.Accelerators, limit.MilliCores, limit.MemoryMB, limit.Accelerators)
		}
	}
	return nil
}
