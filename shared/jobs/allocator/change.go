package allocator

// changes are the pools in which tasks may be placed that could not be placed
// before: room was freed, or a task became ready to start.
type changes struct {
	isEveryPool bool
	pools       map[string]struct{}
}

// note records a change in a pool.
func (ch *changes) note(pool string) {
	if ch.pools == nil {
		ch.pools = map[string]struct{}{}
	}
	ch.pools[pool] = struct{}{}
}

// noteJob records that tasks of a job may have become ready.
func (al *Allocator) noteJob(jb *job) {
	if jb.queue.Pool != "" {
		al.changes.note(jb.queue.Pool)
	}
}

// noteEvent records the changes that events cause by their type. The handlers
// of all other events record what they change. Changes that come with time are
// found every periodicInterval.
func (al *Allocator) noteEvent(ev Event) {
	switch ev.(type) {
	case JobRecorded, JobsSynced, JobRemoved, WorkerListed, ReportReceived, PollFailed, StartResult, StopResult, PaceResult, BatchStored:
	default:
		al.changes.isEveryPool = true
	}
}
