package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// ticket is the advice service's permission for a worker to run a step.
type ticket struct {
	text       string
	validUntil time.Time
}

// ticketMargin is the minimum remaining validity of a ticket, so that it does
// not expire while the start is in flight.
const ticketMargin = 300 * time.Millisecond

// maxAdviceWorkers is the maximum number of workers in one advice request. The
// users' accounting of a step's time assumes this number.
const maxAdviceWorkers = 30

func (ti ticket) isValid(now time.Time) bool {
	return ti.text != "" && now.Add(ticketMargin).Before(ti.validUntil)
}

// ensureTickets reports whether a step has a valid ticket for an eligible
// worker, and orders an advice request if it has none.
func (al *Allocator) ensureTickets(now time.Time, st *step, qu modeller.Queue, eligible []*worker) bool {
	for _, wk := range eligible {
		if st.tickets[wk.info.ID].isValid(now) {
			return true
		}
	}
	if al.isAdviceInFlight {
		return false
	}
	order := AdviceOrder{
		Task:   st.tasks[0].name,
		Advice: *qu.Advice,
	}
	leastUsed := slices.SortedFunc(slices.Values(eligible), func(a, b *worker) int {
		return cmp.Compare(a.used.MilliCores, b.used.MilliCores)
	})
	for _, wk := range leastUsed[:min(len(leastUsed), maxAdviceWorkers)] {
		order.Workers = append(order.Workers, wk.info.ID)
	}
	al.isAdviceInFlight = true
	al.orders = append(al.orders, order)
	return false
}

func (al *Allocator) handleAdviceResult(now time.Time, ev AdviceResult) {
	al.isAdviceInFlight = false
	tk := al.findTask(ev.Task)
	if tk == nil || ev.Failed {
		return
	}
	st := tk.step
	advice := al.configuration.Queues[st.job.info.Queue].Advice
	if advice == nil {
		return
	}
	if st.tickets == nil {
		st.tickets = map[modeller.WorkerID]ticket{}
	}
	for id, text := range ev.Tickets {
		st.tickets[id] = ticket{
			text:       text,
			validUntil: now.Add(advice.Validity),
		}
	}
}
