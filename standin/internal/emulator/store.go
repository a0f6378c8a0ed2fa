package emulator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
)

// store models the records that survive a change of holder.
type store struct {
	isDown bool
	// isSlow is true while commits take up to slowStoreDelay.
	isSlow   bool
	jobs     map[modeller.JobID]modeller.JobRecord
	cancels  map[modeller.JobID]bool
	progress map[modeller.JobID]modeller.Progress
	roster   []modeller.RosterEntry
	waves    map[int64]allocator.WaveProgress
	// deferred holds the events that occurred while the store was down.
	deferred []allocator.Event
	// currentFence is the fencing token of the newest holder.
	currentFence uint64
}

func newStore() *store {
	return &store{
		jobs:     map[modeller.JobID]modeller.JobRecord{},
		cancels:  map[modeller.JobID]bool{},
		progress: map[modeller.JobID]modeller.Progress{},
		waves:    map[int64]allocator.WaveProgress{},
	}
}

// apply commits a batch.
func (sr *store) apply(bt *allocator.Batch) {
	for _, pg := range bt.Progress {
		sr.progress[pg.ID] = pg
	}
	for _, ej := range bt.Ended {
		sr.jobs[ej.ID] = modeller.JobRecord{
			Job: modeller.Job{
				ID:    ej.ID,
				Queue: ej.Queue,
				Team:  ej.Team,
			},
			FinalState: ej.State,
		}
		delete(sr.progress, ej.ID)
		delete(sr.cancels, ej.ID)
	}
	for _, wp := range bt.Waves {
		sr.waves[wp.Number] = wp
	}
	if bt.Roster != nil {
		sr.roster = bt.Roster
	}
}

// elect starts a new holder and schedules the loading of its records.
func (sm *Simulation) elect() {
	sm.fence++
	sm.counts.Terms++
	sm.nextElectionAt = time.Time{}
	sm.store.currentFence = sm.fence
	tm := &term{
		al:          allocator.New(sm.now, bounds),
		fence:       sm.fence,
		distributor: distributor.New(),
		conns:       map[assigner.KeeperID]*connection{},
		electedAt:   sm.now,
		awareness:   map[assigner.KeeperID]time.Duration{},
		side:        sm.side,
		skew:        time.Duration(sm.random.Int64N(2*int64(maxSkew))) - maxSkew,
	}
	for _, mg := range sm.managers {
		tm.awareness[mg.info.ID] = time.Duration(sm.random.Int64N(int64(awarenessTime)))
	}
	sm.terms = append(sm.terms, tm)
	sm.timers.add(sm.now.Add(loadTime), func() { sm.loadRecords(tm) })
}

// loadRecords applies all records to a holder's allocator. During a store
// outage it retries after loadTime.
func (sm *Simulation) loadRecords(tm *term) {
	if tm.isOver {
		return
	}
	tm.hasChanges = true
	if sm.store.isDown {
		sm.timers.add(sm.now.Add(loadTime), func() { sm.loadRecords(tm) })
		return
	}
	tm.al.Apply(sm.now, allocator.ConfigurationLoaded{Configuration: sm.operators.configuration})
	for _, id := range slices.Sorted(maps.Keys(sm.store.progress)) {
		tm.al.Apply(sm.now, allocator.ProgressLoaded{Progress: sm.store.progress[id]})
	}
	tm.al.Apply(sm.now, allocator.RosterLoaded{Workers: sm.store.roster})
	for number, wp := range sm.store.waves {
		tm.al.Apply(sm.now, allocator.WaveProgressLoaded{
			Number:     number,
			Maintained: wp.Maintained,
			Ordered:    wp.Ordered,
			Elapsed:    wp.Elapsed,
		})
	}
	if sm.wave != nil {
		tm.al.Apply(sm.now, allocator.WaveRecorded{Wave: *sm.wave})
	}
	for _, id := range slices.Sorted(maps.Keys(sm.nodes)) {
		if nd := sm.nodes[id]; nd.isListed {
			tm.al.Apply(sm.now, allocator.WorkerListed{Worker: nd.info})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sm.store.jobs)) {
		tm.al.Apply(sm.now, allocator.JobRecorded{Record: sm.store.jobs[id]})
		if sm.store.cancels[id] {
			tm.al.Apply(sm.now, allocator.CancelRecorded{Job: id})
		}
	}
	tm.al.Apply(sm.now, allocator.RecordsLoaded{})
}

// storeBatch commits a holder's batch. It retries until the batch is committed or
// the holder has been replaced.
func (sm *Simulation) storeBatch(tm *term, bt *allocator.Batch) {
	delay := storeDelay
	if sm.store.isSlow {
		delay += time.Duration(sm.random.Int64N(int64(slowStoreDelay)))
	}
	sm.timers.add(sm.now.Add(delay), func() {
		switch {
		case tm.isOver:
		case sm.store.isDown:
			sm.storeBatch(tm, bt)
		case tm.fence < sm.store.currentFence:
			tm.isOver = true
		default:
			sm.store.apply(bt)
			sm.notify(tm, messageDelay, allocator.BatchStored{Batch: bt})
		}
	})
}
