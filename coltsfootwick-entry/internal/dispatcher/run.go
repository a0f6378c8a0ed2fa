package dispatcher

import (
	"context"
	"time"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/scheduler"
)

// Run runs the scheduler until ctx ends, or until the dispatcher is retired and
// has no requests left. Requests that are still queued then are refused.
func (dr *Dispatcher) Run(ctx context.Context) error {
	dr.timer = time.NewTimer(time.Hour)
	defer dr.stop()
	for !dr.retired || len(dr.tickets) > 0 {
		var actions []scheduler.Action
		select {
		case sn := <-dr.submissions:
			actions = dr.submit(sn)
		case cd := <-dr.commands:
			actions = dr.handle(cd)
		case <-dr.timer.C:
			dr.nextTick = time.Time{}
			actions = dr.scheduler.Tick(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
		dr.perform(actions)
		dr.updateStatsAndTimer()
	}
	return nil
}

// updateStatsAndTimer publishes the counts and sets the timer, unless further
// commands are pending.
func (dr *Dispatcher) updateStatsAndTimer() {
	if len(dr.submissions) > 0 || len(dr.commands) > 0 {
		return
	}
	dr.stats.publish(dr.scheduler.Stats())
	next := dr.scheduler.NextTick()
	if next.Equal(dr.nextTick) || next.IsZero() {
		return
	}
	dr.nextTick = next
	dr.timer.Reset(time.Until(next))
}

func (dr *Dispatcher) handle(cd command) []scheduler.Action {
	now := time.Now()
	switch cd := cd.(type) {
	case cancellation:
		return dr.cancel(now, cd.ticket)
	case completion:
		return dr.complete(now, cd)
	case configuration:
		return dr.scheduler.Configure(now, scheduler.ConfigOf(cd.service))
	case assignment:
		return dr.assign(now, cd.targets)
	case retirement:
		dr.retired = true
		return nil
	default:
		return nil
	}
}

func (dr *Dispatcher) submit(sn submission) []scheduler.Action {
	dr.tickets[sn.request.ID] = sn.ticket
	if sn.request.Urgency < dr.Service().LongFrom {
		sn.ticket.urgent = true
		dr.load.urgentRequests.Add(1)
	}
	return dr.scheduler.Submit(time.Now(), sn.request)
}

func (dr *Dispatcher) cancel(now time.Time, tt *Ticket) []scheduler.Action {
	if tt.ended {
		return nil
	}
	actions := dr.scheduler.Cancel(now, tt.id)
	dr.closeTicket(tt, Closed{})
	return actions
}

func (dr *Dispatcher) complete(now time.Time, cn completion) []scheduler.Action {
	dr.load.attemptEnded(cn.attempt.VM)
	tt := dr.tickets[cn.attempt.Request]
	if tt != nil {
		tt.running--
		if cancel := tt.cancels[cn.attempt.Number]; cancel != nil {
			cancel()
			delete(tt.cancels, cn.attempt.Number)
		}
		if cn.result == scheduler.Succeeded && !tt.ended {
			dr.closeTicket(tt, Closed{})
		}
		dr.removeIfFinished(tt)
	}
	return dr.scheduler.Finish(now, cn.attempt, cn.result, cn.latency)
}

// closeTicket ends a ticket and sends its last event.
func (dr *Dispatcher) closeTicket(tt *Ticket, last Event) {
	tt.ended = true
	if tt.urgent {
		dr.load.urgentRequests.Add(-1)
	}
	tt.events <- last
	dr.removeIfFinished(tt)
}

// removeIfFinished removes a ticket that has ended and has no attempt in flight.
func (dr *Dispatcher) removeIfFinished(tt *Ticket) {
	if tt.ended && tt.running == 0 {
		delete(dr.tickets, tt.id)
	}
}

func (dr *Dispatcher) perform(actions []scheduler.Action) {
	for _, action := range actions {
		switch an := action.(type) {
		case scheduler.Start:
			dr.start(an)
		case scheduler.Refuse:
			dr.endRequest(an.Request, Refused{Code: an.Code, RetryAfter: an.RetryAfter})
		case scheduler.GiveUp:
			dr.endRequest(an.Request, Exhausted{})
		case scheduler.Abandon:
			dr.abandon(an.Attempt)
		}
	}
}

func (dr *Dispatcher) start(st scheduler.Start) {
	tt := dr.tickets[st.Attempt.Request]
	if tt == nil || tt.ended {
		dr.perform(dr.scheduler.Finish(time.Now(), st.Attempt, scheduler.Cancelled, 0))
		return
	}
	if st.Hedge && tt.cancels == nil {
		// The request was submitted before hedging was enabled.
		dr.perform(dr.scheduler.Finish(time.Now(), st.Attempt, scheduler.FailedUnread, 0))
		return
	}
	dr.load.attemptStarted(st.Attempt.VM)
	tt.running++
	ctx := tt.context
	if tt.cancels != nil {
		ctx, tt.cancels[st.Attempt.Number] = context.WithCancel(ctx)
	}
	tt.events <- Started{
		Attempt: st.Attempt,
		Target:  dr.targets[st.Attempt.VM],
		Context: ctx,
	}
}

func (dr *Dispatcher) endRequest(request scheduler.RequestID, last Event) {
	if tt := dr.tickets[request]; tt != nil && !tt.ended {
		dr.closeTicket(tt, last)
	}
}

func (dr *Dispatcher) abandon(attempt scheduler.Attempt) {
	tt := dr.tickets[attempt.Request]
	if tt == nil {
		return
	}
	if cancel := tt.cancels[attempt.Number]; cancel != nil {
		cancel()
	}
}

// assign replaces the targets and keeps the connections of those that remain.
func (dr *Dispatcher) assign(now time.Time, targets []Target) []scheduler.Action {
	connected := make(map[string]*sender.Target, len(targets))
	scheduled := make([]scheduler.Target, 0, len(targets))
	for _, tt := range targets {
		connected[tt.Scheduled.VM] = dr.reuseOrOpen(tt)
		scheduled = append(scheduled, tt.Scheduled)
	}
	for vm, old := range dr.targets {
		if connected[vm] != old {
			old.Close()
		}
	}
	dr.targets = connected
	actions := dr.scheduler.SetTargets(now, scheduled)
	dr.load.setTargets(targets)
	return actions
}

func (dr *Dispatcher) reuseOrOpen(tt Target) *sender.Target {
	old := dr.targets[tt.Scheduled.VM]
	if old != nil && old.Address() == tt.Address {
		old.SetLimits(tt.Connections, tt.Scheduled.Slots)
		return old
	}
	options := []sender.Option{sender.WithSoftLimit(tt.Scheduled.Slots)}
	if dr.dial != nil {
		options = append(options, sender.WithDial(dr.dial))
	}
	return sender.New(tt.Address, tt.Connections, options...)
}

// stop refuses the requests that are still queued and closes the targets.
func (dr *Dispatcher) stop() {
	defer close(dr.done)
	dr.timer.Stop()
	for {
		select {
		case sn := <-dr.submissions:
			dr.tickets[sn.request.ID] = sn.ticket
			continue
		default:
		}
		break
	}
	for _, tt := range dr.tickets {
		if !tt.ended {
			dr.closeTicket(tt, Refused{Code: classifier.EntryStopping})
		}
	}
	for _, tt := range dr.targets {
		tt.Close()
	}
}
