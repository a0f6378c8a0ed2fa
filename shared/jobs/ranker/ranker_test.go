package ranker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/ranker"
)

func Example() {
	noon := time.Date(2026, time.December, 7, 12, 0, 0, 0, time.UTC)
	small := ranker.New(ranker.Job{LatestStart: noon.Add(2 * time.Second), Work: 4 * time.Second})
	large := ranker.New(ranker.Job{LatestStart: noon, Work: 8 * time.Second})
	urgent := ranker.New(ranker.Job{LatestStart: noon, Work: time.Second})
	fmt.Println(urgent.Compare(large), large.Compare(small))
	// Output: -1 -1
}

// Guards against a queue of lower priority that overtakes by its deadlines.
func TestPriorityOrdersBeforeDeadlineAndWork(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	first := ranker.New(ranker.Job{Priority: 0, LatestStart: now.Add(time.Hour), Work: time.Hour})
	second := ranker.New(ranker.Job{Priority: 1, LatestStart: now, Work: time.Millisecond})
	must.Negative(t, first.Compare(second))
}

// orders are the orders of service that the load is played with.
var orders = map[string]func(a, b simJob) int{
	"virtual start": func(a, b simJob) int { return a.key().Compare(b.key()) },
	"first come":    func(a, b simJob) int { return a.arrivedAt.Compare(b.arrivedAt) },
	"smallest":      func(a, b simJob) int { return int(a.work - b.work) },
	"deadline":      func(a, b simJob) int { return a.latestStart.Compare(b.latestStart) },
}

// simJob is a job of one chain on one core.
type simJob struct {
	arrivedAt, latestStart time.Time
	work                   time.Duration
}

func (sj simJob) key() ranker.Key {
	return ranker.New(ranker.Job{LatestStart: sj.latestStart, Work: sj.work})
}

// result is what the callers of a load got: the share of the jobs that started on time,
// of all and of the largest tenth, and the share of the work of these jobs.
type result struct {
	all, largest, work float64
}

// Guards against an order that spends the room of an overloaded pool on jobs that are
// late anyway, or leaves out the large ones: twice the work that a pool of 40 cores has
// room for arrives for ten seconds.
func TestOverloadedPoolServesSmallAndLargeJobs(t *testing.T) {
	got := map[string]result{}
	for name, compare := range orders {
		got[name] = playOverload(compare)
		t.Logf("%s: %+v", name, got[name])
	}
	must.Greater(t, 1.5*got["first come"].all, got["virtual start"].all, must.Sprint("share of jobs on time against first come"))
	must.Greater(t, got["deadline"].all, got["virtual start"].all, must.Sprint("share of jobs on time against the deadline alone"))
	must.Greater(t, got["smallest"].largest, got["virtual start"].largest, must.Sprint("share of large jobs on time against smallest first"))
	must.Greater(t, got["smallest"].work, got["virtual start"].work, must.Sprint("share of the work on time against smallest first"))
}

func playOverload(compare func(a, b simJob) int) result {
	const cores = 40
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	begin := time.Unix(1_700_000_000, 0)
	var arrivals []simJob
	for at, total := time.Duration(0), time.Duration(0); at < 10*time.Second; at += step {
		for total < 2*cores*at {
			work := time.Duration((0.3 + random.ExpFloat64()) * float64(time.Second))
			arrivals = append(arrivals, simJob{
				arrivedAt:   begin.Add(at),
				latestStart: begin.Add(at + 600*time.Millisecond + 6*work/10),
				work:        work,
			})
			total += work
		}
	}
	sizes := make([]time.Duration, 0, len(arrivals))
	for _, sj := range arrivals {
		sizes = append(sizes, sj.work)
	}
	slices.Sort(sizes)
	large := sizes[len(sizes)*9/10]
	var waiting []simJob
	var busyUntil [cores]time.Time
	var served, servedLarge, countLarge int
	var servedWork, work time.Duration
	next := 0
	for now := begin; now.Before(begin.Add(30 * time.Second)); now = now.Add(step) {
		for ; next < len(arrivals) && !arrivals[next].arrivedAt.After(now); next++ {
			waiting = append(waiting, arrivals[next])
		}
		waiting = slices.DeleteFunc(waiting, func(sj simJob) bool { return now.After(sj.latestStart) })
		slices.SortStableFunc(waiting, compare)
		for idx := range busyUntil {
			if len(waiting) > 0 && !now.Before(busyUntil[idx]) {
				busyUntil[idx] = now.Add(waiting[0].work)
				served++
				servedWork += waiting[0].work
				if waiting[0].work >= large {
					servedLarge++
				}
				waiting = waiting[1:]
			}
		}
	}
	for _, sj := range arrivals {
		work += sj.work
		if sj.work >= large {
			countLarge++
		}
	}
	return result{
		all:     float64(served) / float64(len(arrivals)),
		largest: float64(servedLarge) / float64(countLarge),
		work:    float64(servedWork) / float64(work),
	}
}
