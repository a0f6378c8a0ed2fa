package emulator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// store is the model of the records that outlast a holder.
type store struct {
	isDown   bool
	jobs     map[modeller.JobID]modeller.JobRecord
	cancels  map[modeller.JobID]bool
	progress map[modeller.JobID]modeller.Progress
	roster   []modeller.Worker
	waves    map[int64]allocator.WaveProgress
	// held are events that happened while the store was down.
	held []allocator.Event
	// epoch is the fence of the last holder that began.
	epoch uint64
}

func newStore() *store {
	return &store{
		jobs:     map[modeller.JobID]modeller.JobRecord{},
		cancels:  map[modeller.JobID]bool{},
		progress: map[modeller.JobID]modeller.Progress{},
		waves:    map[int64]allocator.WaveProgress{},
	}
}

// apply stores a batch.
func (sr *store) apply(bt *allocator.Batch) {
	for _, pg := range bt.Progress {
		sr.progress[pg.ID] = pg
	}
	for _, ej := range bt.Ended {
		sr.jobs[ej.ID] = modeller.JobRecord{
			Job: modeller.Job{
				ID:    ej.ID,
				Queue: ej.Queue,
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

// win starts a new holder, which loads the records.
func (dy *Day) win() {
	dy.fence++
	dy.counts.Terms++
	dy.nextTermAt = time.Time{}
	dy.store.epoch = dy.fence
	tm := &term{
		al:      allocator.New(dy.now, bounds),
		fence:   dy.fence,
		cutFrom: dy.nextCut,
		skew:    time.Duration(dy.random.Int64N(2*int64(maxSkew))) - maxSkew,
	}
	dy.nextCut = nil
	dy.terms = append(dy.terms, tm)
	dy.due.add(dy.now.Add(loadTime), func() { dy.load(tm) })
}

// load tells a holder of all records.
func (dy *Day) load(tm *term) {
	if tm.isOver {
		return
	}
	tm.hasNews = true
	if dy.store.isDown {
		dy.due.add(dy.now.Add(loadTime), func() { dy.load(tm) })
		return
	}
	tm.al.Apply(dy.now, allocator.ConfigurationLoaded{Configuration: configuration()})
	for _, id := range slices.Sorted(maps.Keys(dy.store.progress)) {
		tm.al.Apply(dy.now, allocator.ProgressLoaded{Progress: dy.store.progress[id]})
	}
	tm.al.Apply(dy.now, allocator.RosterLoaded{Workers: dy.store.roster})
	for number, wp := range dy.store.waves {
		tm.al.Apply(dy.now, allocator.WaveProgressLoaded{
			Number:     number,
			Maintained: wp.Maintained,
			Elapsed:    wp.Elapsed,
		})
	}
	if dy.wave != nil {
		tm.al.Apply(dy.now, allocator.WaveRecorded{Wave: *dy.wave})
	}
	for _, id := range slices.Sorted(maps.Keys(dy.nodes)) {
		if nd := dy.nodes[id]; nd.isListed {
			tm.al.Apply(dy.now, allocator.WorkerListed{Worker: nd.info})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(dy.store.jobs)) {
		tm.al.Apply(dy.now, allocator.JobRecorded{Record: dy.store.jobs[id]})
		if dy.store.cancels[id] {
			tm.al.Apply(dy.now, allocator.CancelRecorded{Job: id})
		}
	}
	tm.al.Apply(dy.now, allocator.RecordsLoaded{})
}

// keep stores a holder's batch, again and again until it is stored or the
// holder has been replaced.
func (dy *Day) keep(tm *term, bt *allocator.Batch) {
	dy.due.add(dy.now.Add(storeTime), func() {
		switch {
		case tm.isOver:
		case dy.store.isDown:
			dy.keep(tm, bt)
		case tm.fence < dy.store.epoch:
			tm.isOver = true
		default:
			dy.store.apply(bt)
			dy.tell(tm, hop, allocator.BatchStored{Batch: bt})
		}
	})
}

// configuration is the operators' configuration of all days.
func configuration() modeller.Configuration {
	cf := modeller.Configuration{
		Version: 1,
		Queues:  map[string]modeller.Queue{},
		Pools:   map[string]modeller.Pool{},
	}
	for _, number := range []string{"0", "1"} {
		cf.Queues["q"+number] = modeller.Queue{
			Name:        "q" + number,
			Pool:        "p" + number,
			MaxAttempts: maxAttempts,
			Stretch:     1.6,
			Slack:       600 * time.Millisecond,
		}
		cf.Pools["p"+number] = modeller.Pool{
			Name: "p" + number,
		}
	}
	return cf
}
