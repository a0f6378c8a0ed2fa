package submitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// answers are the answers that the submissions and cancellations of a job got. isCancelSent
// is true if there was a cancellation, whatever its answer.
type answers struct {
	isAccepted, mayBeStored, isCancelled, isCancelSent bool
}

// isLive reports whether a job is stored and hasn't been cancelled.
func isLive(t *testing.T, store storer.Store, id modeller.JobID) (isStored, isLive bool) {
	et, err := store.Get(t.Context(), archiver.JobKey(id))
	if err != nil {
		return false, false
	}
	jr, err := modeller.DecodeJob(et.Value)
	must.NoError(t, err)
	_, err = store.Get(t.Context(), archiver.CancelKey(id))
	return !jr.IsTombstone, !jr.IsTombstone && err != nil
}

// Guards against accepted jobs that aren't stored, refused ones that are, and cancelled
// ones that are stored and not cancelled, also if the cancellation was refused or its
// caller has gone.
func TestAnswersToSubmissionsHold(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			kr := keeper.New()
			ctx, cancel := context.WithCancel(t.Context())
			var managers []*Submitter
			for _, zone := range []string{"a", "b"} {
				sm := New(kr.Zone(zone, keeper.WithCallTimeout(time.Second)), fakeScheduler{}, fakeScheduler{}, fakeScheduler{}, fakeScheduler{}, zap.NewNop())
				managers = append(managers, sm)
				go func() { _ = sm.Run(ctx) }()
			}
			var mutex sync.Mutex
			var submissions sync.WaitGroup
			byJob := map[modeller.JobID]answers{}
			for number := range 120 {
				if number%10 == 0 {
					must.NoError(t, kr.SetFaults(
						keeper.Outage{Scope: keeper.Scope{Share: random.Float64() / 2, Seed: random.Uint64()}},
						keeper.AnswerLost{Scope: keeper.Scope{Share: random.Float64() / 2, Seed: random.Uint64()}},
						keeper.Slow{Scope: keeper.Scope{Share: random.Float64(), Seed: random.Uint64()}, Delay: time.Duration(1+random.IntN(3000)) * time.Millisecond},
					))
				}
				jb := newJob(fmt.Sprintf("j%d", random.IntN(60)))
				sm := managers[random.IntN(len(managers))]
				if random.IntN(4) == 0 {
					patience := time.Duration(random.IntN(3000)) * time.Millisecond
					submissions.Go(func() {
						ctx, leave := context.WithTimeout(callerContext(t), patience)
						defer leave()
						code := classifier.CodeOf(sm.Cancel(ctx, queueQ, "", jb.ID))
						mutex.Lock()
						defer mutex.Unlock()
						as := byJob[jb.ID]
						as.isCancelSent = true
						as.isCancelled = as.isCancelled || code == classifier.OK || code == classifier.JobUnknown
						byJob[jb.ID] = as
					})
					continue
				}
				submissions.Go(func() {
					err := sm.Submit(callerContext(t), jb)
					mutex.Lock()
					defer mutex.Unlock()
					as := byJob[jb.ID]
					as.isAccepted = as.isAccepted || err == nil
					as.mayBeStored = as.mayBeStored || classifier.CodeOf(err) != classifier.JobRefused
					byJob[jb.ID] = as
				})
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			}
			submissions.Wait()
			// Delayed writes may take effect after their callers have given up.
			time.Sleep(time.Minute)
			must.NoError(t, kr.SetFaults())
			for id, as := range byJob {
				if as.isCancelled {
					_, isLive := isLive(t, kr.Zone("c"), id)
					must.False(t, isLive, must.Sprintf("seed %d: cancelled job %s", seed, id))
				}
			}
			time.Sleep(30 * time.Second)
			cancel()
			for id, as := range byJob {
				isStored, isLive := isLive(t, kr.Zone("c"), id)
				if as.isCancelSent {
					must.False(t, isLive, must.Sprintf("seed %d: job %s with a cancellation", seed, id))
				}
				if as.isAccepted {
					must.True(t, isStored, must.Sprintf("seed %d: accepted job %s", seed, id))
				}
				if !as.mayBeStored {
					must.False(t, isStored, must.Sprintf("seed %d: refused job %s", seed, id))
				}
				_, err := kr.Zone("c").Get(t.Context(), archiver.PayloadKey(queueQ.Name, id))
				must.Eq(t, isStored, err == nil, must.Sprintf("seed %d: payload of job %s", seed, id))
			}
			synctest.Wait()
		})
	}
}
