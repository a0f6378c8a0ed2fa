package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// maxBatchJobs bounds the jobs of a batch, so that it is stored in few
// transactions.
const maxBatchJobs = 60

// Batch is what has to be stored at once. Ends of runs are acknowledged to
// their workers only once the batch that holds them is stored.
type Batch struct {
	// Progress is the progress of live jobs.
	Progress []modeller.Progress
	// Ended are the jobs that have ended.
	Ended []EndedJob
	// Expired are jobs whose records can go.
	Expired []EndedJob
	// Waves is the progress of waves that has changed.
	Waves []WaveProgress
	// Roster is set if the workers have changed.
	Roster []modeller.Worker

	versions map[modeller.JobID]int
	ends     map[modeller.WorkerID]lifeEnd
}

// EndedJob is a job that has ended.
type EndedJob struct {
	// ID and Queue name the job.
	ID    modeller.JobID
	Queue string
	// State is its final state.
	State modeller.JobState
}

// WaveProgress is how far a wave has come.
type WaveProgress struct {
	// Number names the wave.
	Number int64
	// Maintained are the VMs that have been maintained.
	Maintained []string
	// IsCompleted is true once that is all of them.
	IsCompleted bool
	// Elapsed is how long the wave has lasted.
	Elapsed time.Duration
}

// lifeEnd is the last processed end of a life of a worker.
type lifeEnd struct {
	bornMS int64
	number int64
}

// IsEmpty reports whether there is nothing to store.
func (bt *Batch) IsEmpty() bool {
	return len(bt.Progress)+len(bt.Ended)+len(bt.Expired)+len(bt.Waves) == 0 && bt.Roster == nil
}

// Batch returns what has to be stored, or nil if there is nothing or a batch is
// under way. Every batch has to be stored and then answered by BatchStored.
func (al *Allocator) Batch(now time.Time) *Batch {
	if al.isStoring || !al.isLoaded {
		return nil
	}
	bt := &Batch{
		versions: map[modeller.JobID]int{},
		ends:     map[modeller.WorkerID]lifeEnd{},
		Waves:    al.fleet.changed(now),
		Expired:  al.expired(now),
	}
	isWhole := true
	for _, id := range slices.Sorted(maps.Keys(al.dirty)) {
		jb := al.dirty[id]
		if len(bt.versions) >= maxBatchJobs {
			isWhole = false
			break
		}
		bt.versions[id] = jb.version
		if jb.outcome != "" {
			bt.Ended = append(bt.Ended, EndedJob{
				ID:    id,
				Queue: jb.info.Queue,
				State: jb.outcome,
			})
			continue
		}
		bt.Progress = append(bt.Progress, jb.progress())
	}
	if isWhole {
		for id, wk := range al.workers {
			if wk.processedEnd > wk.storedEnd {
				bt.ends[id] = lifeEnd{
					bornMS: wk.bornMS,
					number: wk.processedEnd,
				}
			}
		}
	}
	if al.isRosterDirty {
		bt.Roster = al.Roster()
		al.isRosterDirty = false
	}
	if bt.IsEmpty() {
		al.acknowledge(bt)
		return nil
	}
	al.isStoring = true
	return bt
}

// progress returns what is known of a job's tasks.
func (jb *job) progress() modeller.Progress {
	pg := modeller.Progress{
		ID:    jb.info.ID,
		Queue: jb.info.Queue,
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
					FailedAttempts: tk.failed,
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

// expired returns the ended jobs whose states need no longer be told.
func (al *Allocator) expired(now time.Time) []EndedJob {
	var expired []EndedJob
	for id, ended := range al.ended {
		if now.Sub(ended.endedAt) > al.bounds.StatusRetention+expiryMargin {
			expired = append(expired, EndedJob{
				ID:    id,
				Queue: ended.queue,
				State: ended.state,
			})
		}
	}
	slices.SortFunc(expired, func(a, b EndedJob) int { return cmp.Compare(a.ID, b.ID) })
	return expired[:min(len(expired), maxBatchJobs)]
}

func (al *Allocator) batchStored(now time.Time, bt *Batch) {
	al.isStoring = false
	for _, ej := range bt.Ended {
		al.ended[ej.ID] = endedJob{
			queue:   ej.Queue,
			state:   ej.State,
			endedAt: now,
		}
		al.note(LogEntry{Message: "job's end stored", Job: ej.ID, Reason: string(ej.State)})
		delete(al.jobs, ej.ID)
	}
	for _, ej := range bt.Expired {
		delete(al.ended, ej.ID)
	}
	for _, info := range bt.Roster {
		if wk := al.workers[info.ID]; wk != nil && wk.isAt(info) {
			wk.isRostered = true
		}
	}
	for id, version := range bt.versions {
		if jb := al.jobs[id]; jb != nil {
			jb.isMarked = true
		}
		if jb := al.dirty[id]; jb != nil && (jb.version == version || jb.outcome != "" && al.jobs[id] == nil) {
			delete(al.dirty, id)
		}
	}
	al.acknowledge(bt)
}

// acknowledge lets the workers forget the ends of a batch.
func (al *Allocator) acknowledge(bt *Batch) {
	for id, le := range bt.ends {
		if wk := al.workers[id]; wk != nil && wk.bornMS == le.bornMS {
			wk.storedEnd = max(wk.storedEnd, le.number)
		}
	}
}
