package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/forecaster"
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// defaultMoveTime is the expected time from the order of a move until the VM
	// runs tasks in its new pool, while none has been observed.
	defaultMoveTime = 2 * time.Second
	// moveTimeWeight is the weight of a move in the average of their times.
	moveTimeWeight = 0.1
)

// recordArrival records a job that was accepted, for the forecast of its pool's
// demand. Jobs from before the duty was won and long-running ones are no measure
// of the jobs to come.
func (al *Allocator) recordArrival(now time.Time, jb *job) {
	al.arrivedAt = now
	al.updateSuspension(now)
	pool := jb.queue.Pool
	if pool == "" || !al.isLoaded || jb.isInherited || jb.info.Occurrences > 0 {
		return
	}
	var work time.Duration
	for _, st := range jb.info.Steps {
		if st.IsLongRunning {
			return
		}
		work += reservedCoreTime(st)
	}
	fc := al.arrivals[pool]
	if fc == nil {
		fc = &forecaster.Forecaster{}
		al.arrivals[pool] = fc
	}
	fc.Add(now, work)
}

// reservedCoreTime returns the core time that the tasks of a step reserve.
func reservedCoreTime(st modeller.Step) time.Duration {
	cores := float64(st.ReservedResources().MilliCores) / 1000
	return time.Duration(float64(st.Count) * cores * float64(st.Estimate))
}

// expectedMilliCores returns the demand of a pool, in thousandths of a core, by
// the time that a move which is ordered now would complete.
func (al *Allocator) expectedMilliCores(now time.Time, pool string) int {
	fc := al.arrivals[pool]
	if fc == nil {
		return 0
	}
	return int(1000 * fc.Cores(now, al.fleet.moveTime))
}

// recordMoveTime records how long a move took.
func (fl *fleet) recordMoveTime(duration time.Duration) {
	fl.moveTime += time.Duration(moveTimeWeight * float64(duration-fl.moveTime))
}
