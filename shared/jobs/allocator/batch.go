package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// BatchLanes is the number of batches that may be in flight at once. Batches of
// one lane are stored in order; those of different lanes have no job in common.
const BatchLanes = 8

// sharedLane is the lane of all records that aren't a job's.
const sharedLane = 0

// Limits of batches.
const (
	// maxBatchEntries limits the entries of the jobs of a batch, so that it is
	// stored in one transaction.
	maxBatchEntries = 28
	// entriesPerEnd is the number of entries for the end of a job: its record
	// and the removal of its progress, its payload and its cancellation.
	entriesPerEnd = 4
	// laneDelay is the age of the batches in flight at which another lane is
	// used, so that a slow store doesn't hold up later changes. The store
	// usually answers earlier, and then changes are combined.
	laneDelay = 100 * time.Millisecond
	// maxExpiredJobs limits the records that a batch removes.
	maxExpiredJobs = 28
)

// Batch is a set of records to be stored. Ends of runs are acknowledged to
// their workers only once the batch that contains them is stored.
type Batch struct {
	// Lane is the number of the batch's lane.
	Lane int
	// Progress is the progress of jobs that have not ended.
	Progress []modeller.Progress
	// Ended are the jobs that have ended.
	Ended []EndedJob
	// Expired are the ended jobs whose records are to be removed.
	Expired []EndedJob
	// Waves is the changed progress of waves.
	Waves []WaveProgress
	// Roster is the list of workers that may have runs, or nil if it has not
	// changed.
	Roster []modeller.RosterEntry

	versions []jobVersion
}

// jobVersion is the version of a job that a batch contains.
type jobVersion struct {
	job     *job
	version int
	// pools is the number of the job's start pools in the batch.
	pools int
}

// EndedJob is a job that has ended.
type EndedJob struct {
	// ID and Queue identify the job.
	ID    modeller.JobID
	Queue string
	// Origin is the queue as it was configured when the job was accepted. It is not
	// kept for jobs whose records are removed.
	Origin modeller.Queue
	// Team is the job's team, or empty. It is not kept for jobs whose records are
	// removed.
	Team string
	// State is the final state.
	State modeller.JobState
}

// WaveProgress is the progress of a maintenance wave.
type WaveProgress struct {
	// Number is the number of the wave.
	Number int64
	// Maintained are the VMs that have been maintained.
	Maintained []string
	// Ordered are the VMs whose maintenance may have been ordered and is not known to
	// have been accepted.
	Ordered []string
	// IsCompleted is true once all VMs of the wave have been maintained.
	IsCompleted bool
	// Elapsed is how long the wave has run.
	Elapsed time.Duration
}

// unstoredEnd is an end whose job has not been stored since it was processed.
type unstoredEnd struct {
	number int64
	// job is nil if the end belongs to no known job. The end is stored once
	// the job is stored with at least the given version.
	job     *job
	version int
}

// isStored reports whether the records contain the end.
func (ue unstoredEnd) isStored() bool {
	return ue.job == nil || ue.job.storedVersion >= ue.version
}

// IsEmpty reports whether there is nothing to store.
func (bt *Batch) IsEmpty() bool {
	return len(bt.Progress)+len(bt.Ended)+len(bt.Expired)+len(bt.Waves) == 0 && bt.Roster == nil
}

// Batch returns the records to be stored, or nil if there are none or the
// batches in flight are to be awaited. Each batch has to be stored and then
// confirmed by a BatchStored event.
func (al *Allocator) Batch(now time.Time) *Batch {
	lane, ok := al.freeLane(now)
	if !ok || !al.isLoaded {
		return nil
	}
	bt := &Batch{
		Lane: lane,
	}
	if lane == sharedLane {
		al.addSharedRecords(now, bt)
	}
	al.addChangedJobs(bt)
	if bt.IsEmpty() {
		al.acknowledgeEnds(now)
		return nil
	}
	al.laneUsedSince[lane] = now
	return bt
}

// freeLane returns the lane of the next batch. While there are batches in
// flight, another lane is used only for as many changes as a batch holds, or
// once the last batch is older than laneDelay.
func (al *Allocator) freeLane(now time.Time) (lane int, ok bool) {
	lane = -1
	var latest time.Time
	for number, since := range al.laneUsedSince {
		if since.IsZero() && lane < 0 {
			lane = number
		}
		if since.After(latest) {
			latest = since
		}
	}
	isUrgent := latest.IsZero() || now.Sub(latest) >= laneDelay || len(al.dirtyQueue) >= maxBatchEntries
	return lane, lane >= 0 && isUrgent
}

// addSharedRecords adds the changed records that aren't a job's.
func (al *Allocator) addSharedRecords(now time.Time, bt *Batch) {
	bt.Waves = al.fleet.changedWaves(now)
	bt.Expired = al.expiredJobs(now)
	if al.isRosterDirty {
		al.isRosterDirty = false
		bt.Roster = al.Roster(now)
		for _, wk := range al.workers.sorted {
			wk.isRostered = wk.isRostered && !wk.hasNeverAnswered
			wk.isOnRoster = wk.isOnRoster && !wk.hasNeverAnswered
		}
	}
}

// addChangedJobs moves the jobs that have waited longest from the dirty queue to
// a batch.
func (al *Allocator) addChangedJobs(bt *Batch) {
	entries, count := 0, 0
	for _, jb := range al.dirtyQueue {
		entries += jb.batchEntries()
		if entries > maxBatchEntries {
			break
		}
		count++
		bt.versions = append(bt.versions, jobVersion{
			job:     jb,
			version: jb.version,
			pools:   len(jb.pools.names),
		})
		if jb.outcome != "" {
			bt.Ended = append(bt.Ended, EndedJob{
				ID:     jb.info.ID,
				Queue:  jb.info.Queue,
				Origin: jb.info.Origin,
				Team:   jb.info.Team,
				State:  jb.outcome,
			})
			continue
		}
		bt.Progress = append(bt.Progress, jb.progress())
	}
	al.dirtyQueue = al.dirtyQueue[count:]
}

// batchEntries returns the number of entries that a job takes up in a batch.
func (jb *job) batchEntries() int {
	if jb.outcome != "" {
		return entriesPerEnd
	}
	return 1
}

// progress returns the progress of a job's tasks.
func (jb *job) progress() modeller.Progress {
	pg := modeller.Progress{
		ID:         jb.info.ID,
		Queue:      jb.info.Queue,
		Pools:      slices.Clone(jb.pools.names),
		HasStarted: jb.hasStarted,
	}
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			for _, tk := range st.tasks {
				if tk.attempt == 0 && !tk.isDone {
					continue
				}
				tp := modeller.TaskProgress{
					Occurrence:     tk.name.Occurrence,
					Step:           tk.name.Step,
					Index:          tk.name.Index,
					IsDone:         tk.isDone,
					Attempt:        tk.attempt,
					FailedAttempts: tk.failedAttempts,
				}
				if !tk.isDone {
					tp.Checkpoint = tk.checkpoint
				}
				pg.Tasks = append(pg.Tasks, tp)
			}
		}
	}
	return pg
}

// expiredJobs returns ended jobs whose states no longer need to be available, at most
// as many as a batch removes. The next batch gets the others.
func (al *Allocator) expiredJobs(now time.Time) []EndedJob {
	if now.Sub(al.expiryCheckedAt) < expiryInterval {
		return nil
	}
	var expired []EndedJob
	for id, ended := range al.retained {
		if now.Sub(ended.endedAt) > al.bounds.StatusRetention+expiryMargin {
			expired = append(expired, EndedJob{
				ID:    id,
				Queue: ended.queue,
				State: ended.state,
			})
		}
	}
	if len(expired) <= maxExpiredJobs {
		al.expiryCheckedAt = now
		return expired
	}
	slices.SortFunc(expired, func(a, b EndedJob) int { return cmp.Compare(a.ID, b.ID) })
	return expired[:maxExpiredJobs]
}

func (al *Allocator) handleBatchStored(now time.Time, bt *Batch) {
	al.laneUsedSince[bt.Lane] = time.Time{}
	for _, ended := range bt.Ended {
		al.retained[ended.ID] = retainedJob{
			queue:   ended.Queue,
			host:    ended.Origin.Host,
			prefix:  ended.Origin.Prefix,
			team:    ended.Team,
			state:   ended.State,
			endedAt: now,
		}
		al.log(LogEntry{Message: "job end stored", Job: ended.ID, Reason: string(ended.State)})
		al.deleteJob(ended.ID)
	}
	for _, ended := range bt.Expired {
		delete(al.retained, ended.ID)
	}
	for _, wp := range bt.Waves {
		al.fleet.noteStored(wp)
	}
	for _, re := range bt.Roster {
		wk := al.workers.byID[re.Worker.ID]
		if wk == nil {
			continue
		}
		if !wk.isOnRoster {
			wk.isOnRoster = true
			wk.pollAt = now
		}
		if wk.hasSameLocation(re.Worker) {
			wk.isRostered = true
			al.changes.note(re.Worker.Pool)
		}
	}
	for _, jv := range bt.versions {
		jb := jv.job
		if !jb.hasStoredProgress {
			jb.hasStoredProgress = true
			al.noteJob(jb)
		}
		if jv.pools > jb.pools.stored {
			jb.pools.stored = jv.pools
			al.noteJob(jb)
		}
		jb.storedVersion = jv.version
		if jb.version == jv.version || jb.outcome != "" && al.jobs[jb.info.ID] == nil {
			jb.storedVersion = jb.version
			delete(al.dirtyJobs, jb.info.ID)
			continue
		}
		al.dirtyQueue = append(al.dirtyQueue, jb)
	}
	al.acknowledgeEnds(now)
}

// acknowledgeEnds marks ends as stored, so that the next polls acknowledge them
// and the workers discard them. A poll acknowledges all ends up to a number, so
// a worker's ends are marked in order.
func (al *Allocator) acknowledgeEnds(now time.Time) {
	for wk := range al.unacknowledged {
		for len(wk.unstoredEnds) > 0 && wk.unstoredEnds[0].isStored() {
			wk.lastStoredEnd = wk.unstoredEnds[0].number
			wk.unstoredEnds = wk.unstoredEnds[1:]
		}
		if wk.owesAcknowledgement() && wk.owesAckSince.IsZero() {
			wk.owesAckSince = now
		}
		if len(wk.unstoredEnds) == 0 {
			delete(al.unacknowledged, wk)
		}
	}
}
