package server

import (
	"sync"
	"time"

	"coltsfootwick.example/shared/process/guard"
)

// reportInterval is the time between two reports of refusals.
const reportInterval = time.Second

// ReportFunc reports refused requests and closed connections of one cause: how many
// there were since the last report, and in all.
type ReportFunc func(cause guard.Cause, count, total uint64)

// refusals counts refused requests and closed connections, and reports them once per
// interval as long as there are any.
type refusals struct {
	report ReportFunc

	mu       sync.Mutex
	total    [guard.Causes]uint64
	reported [guard.Causes]uint64
	// isScheduled is true if a report is due at the end of the interval.
	isScheduled bool
}

func newRefusals(report ReportFunc) *refusals {
	return &refusals{
		report: report,
	}
}

func (rf *refusals) add(cause guard.Cause) {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	rf.total[cause]++
	if !rf.isScheduled {
		rf.isScheduled = true
		time.AfterFunc(reportInterval, rf.flush)
	}
}

func (rf *refusals) flush() {
	rf.mu.Lock()
	total, reported := rf.total, rf.reported
	rf.reported = total
	rf.isScheduled = false
	rf.mu.Unlock()
	for number := range guard.Causes {
		if count := total[number] - reported[number]; count > 0 {
			rf.report(guard.Cause(number), count, total[number])
		}
	}
}
