package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// ticket lets a worker run a step.
type ticket struct {
	text       string
	validUntil time.Time
}

// ticketMargin is how much longer than a start takes a ticket must hold.
const ticketMargin = 300 * time.Millisecond

// adviceWorkers is how many workers a call for advice names; the users' account
// of a step's time counts as many.
const adviceWorkers = 30

func (ti ticket) isValid(now time.Time) bool {
	return ti.text != "" && now.Add(ticketMargin).Before(ti.validUntil)
}

// hasAdvice reports whether a step has valid tickets, and asks for some if not.
func (al *Allocator) hasAdvice(now time.Time, st *step, qu modeller.Queue, open []*worker) bool {
	for _, wk := range open {
		if st.tickets[wk.info.ID].isValid(now) {
			return true
		}
	}
	if al.adviceInFlight {
		return false
	}
	order := AdviseOrder{
		Task:   st.tasks[0].name,
		Advice: *qu.Advice,
	}
	byRoom := slices.SortedFunc(slices.Values(open), func(a, b *worker) int {
		return cmp.Compare(a.used.MilliCores, b.used.MilliCores)
	})
	for _, wk := range byRoom[:min(len(byRoom), adviceWorkers)] {
		order.Workers = append(order.Workers, wk.info.ID)
	}
	al.adviceInFlight = true
	al.orders = append(al.orders, order)
	return false
}

func (al *Allocator) advised(now time.Time, ev AdviceResult) {
	al.adviceInFlight = false
	tk := al.findTask(ev.Task)
	if tk == nil || ev.Failed {
		return
	}
	st := tk.step
	validity := al.configuration.Queues[st.job.info.Queue].Advice
	if validity == nil {
		return
	}
	if st.tickets == nil {
		st.tickets = map[modeller.WorkerID]ticket{}
	}
	for id, text := range ev.Tickets {
		st.tickets[id] = ticket{
			text:       text,
			validUntil: now.Add(validity.Validity),
		}
	}
}
