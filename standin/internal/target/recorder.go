package target

import (
	"slices"
	"sync"
	"time"
)

// recorder keeps the record of one target over all its incarnations.
type recorder struct {
	slots int

	mu        sync.Mutex
	record    Report
	inFlight  int
	overSince time.Time
}

func newRecorder(name string, slots int) *recorder {
	return &recorder{
		slots: slots,
		record: Report{
			Target: name,
		},
	}
}

// begin records the beginning of an execution and returns its index.
func (rr *recorder) begin(en Execution) int {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	en.Begin = time.Now()
	rr.record.Executions = append(rr.record.Executions, en)
	rr.inFlight++
	rr.record.GreatestInFlight = max(rr.record.GreatestInFlight, rr.inFlight)
	if rr.inFlight == rr.slots+1 {
		rr.overSince = en.Begin
	}
	return len(rr.record.Executions) - 1
}

// recordBody records whether the request's body arrived complete.
func (rr *recorder) recordBody(index int, whole bool) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.record.Executions[index].BodyWhole = whole
}

// end records the end of an execution.
func (rr *recorder) end(index int, finished bool, status int) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	en := &rr.record.Executions[index]
	en.End = time.Now()
	en.Finished = finished
	en.Status = status
	if rr.inFlight == rr.slots+1 {
		rr.record.Overcommit += en.End.Sub(rr.overSince)
	}
	rr.inFlight--
}

// recordConnections records the number of open recordConnections.
func (rr *recorder) recordConnections(open int) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.record.GreatestConnections = max(rr.record.GreatestConnections, open)
}

// countRefusedConnection counts a connection refused above the bound.
func (rr *recorder) countRefusedConnection() {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.record.RefusedConnections++
}

// countRefusedUnread counts a request refused unread.
func (rr *recorder) countRefusedUnread() {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.record.RefusedUnread++
}

func (rr *recorder) report() Report {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	copied := rr.record
	copied.Executions = slices.Clone(rr.record.Executions)
	if rr.inFlight > rr.slots {
		copied.Overcommit += time.Since(rr.overSince)
	}
	return copied
}
