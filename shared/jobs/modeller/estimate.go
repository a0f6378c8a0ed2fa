package modeller

import "time"

// acceleratorCores is the number of cores that an accelerator counts as in the
// users' accounting.
const acceleratorCores = 8

// Cores returns the resources as a number of cores, in which an accelerator counts as
// several.
func (rs Resources) Cores() float64 {
	return float64(rs.MilliCores)/1000 + acceleratorCores*float64(rs.Accelerators)
}

// CoreTime returns the estimated core time of a number of the step's tasks.
func (st Step) CoreTime(tasks int) time.Duration {
	return time.Duration(float64(tasks) * st.Demand.Cores() * float64(st.Estimate))
}

// EstimateWork returns the estimated core time of a job and its critical path, the
// estimated duration of the longest chain of its steps.
func (jb Job) EstimateWork() (coreTime, criticalPath time.Duration) {
	ends := make([]time.Duration, len(jb.Steps))
	for idx, st := range jb.Steps {
		coreTime += st.CoreTime(st.Count)
		ends[idx] = st.Estimate
		for _, dependency := range st.DependsOn {
			ends[idx] = max(ends[idx], ends[dependency]+st.Estimate)
		}
		criticalPath = max(criticalPath, ends[idx])
	}
	return coreTime, criticalPath
}

// Objective returns the duration within which a job of the queue with a critical path is on
// time.
func (qu Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(qu.Stretch*float64(criticalPath)) + qu.Slack
}

// maxLateFactor is the multiple of its objective up to which a late job has value.
const maxLateFactor = 3

// ValueEnd returns the duration after which the result of a job of the queue with a critical
// path has no value.
func (qu Queue) ValueEnd(criticalPath time.Duration) time.Duration {
	return maxLateFactor * qu.Objective(criticalPath)
}
