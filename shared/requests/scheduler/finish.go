package scheduler

import "time"

func (po *policy) Finish(now time.Time, attempt Attempt, result Result, latency time.Duration) []Action {
	po.now = now
	pd, known := po.requests[attempt.Request]
	if !known {
		return po.process(now)
	}
	ra, found := pd.detach(attempt.Number)
	if !found {
		return po.process(now)
	}
	po.releaseSlot(ra)
	po.recordResult(now, ra, result, latency)
	po.handleAttemptEnd(now, pd, result)
	return po.process(now)
}

// releaseSlot frees the slot held by an attempt.
func (po *policy) releaseSlot(ra runningAttempt) {
	ra.target.inFlight--
	if ra.kind == longWork {
		ra.target.longInFlight--
	}
	po.divider.finish(ra.kind)
	if !ra.target.listed {
		po.fleet.prune()
	}
}

// recordResult updates the service time estimate and the health of the target
// with the result of an attempt.
func (po *policy) recordResult(now time.Time, ra runningAttempt, result Result, latency time.Duration) {
	switch result {
	case Succeeded:
		po.estimator.observe(now, ra.kind, latency)
		po.ejector.recordSuccess(now, ra.target, ra.probe)
	case Failed, FailedUnread:
		po.ejector.recordFailure(now, ra.target, ra.probe)
	case Refused:
		po.ejector.recordRefusal(now, ra.target)
		po.ejector.readmitExcess()
	case Cancelled:
	}
}

// handleAttemptEnd closes, retries or fails a request after one of its attempts
// has ended.
func (po *policy) handleAttemptEnd(now time.Time, pd *pending, result Result) {
	switch {
	case pd.stage == answered:
		po.removeIfIdle(pd)
	case result == Succeeded || result == Cancelled:
		po.closeRequest(pd)
	case len(pd.attempts) > 0:
	case po.retry(now, pd, result):
	default:
		po.giveUp(pd)
	}
}

// closeRequest removes a request from the queue and the timers, marks it as
// answered and abandons its running attempts.
func (po *policy) closeRequest(pd *pending) {
	if pd.stage == queued {
		po.queue.remove(pd)
	}
	po.timers.clear(pd)
	pd.stage = answered
	for _, ra := range pd.attempts {
		po.actions = append(po.actions, Abandon{Attempt: ra.attempt})
	}
	po.removeIfIdle(pd)
}

// removeIfIdle deletes an answered request once it has no running attempts.
func (po *policy) removeIfIdle(pd *pending) {
	if len(pd.attempts) == 0 {
		delete(po.requests, pd.ID)
	}
}

// giveUp closes a request and answers it with the failure of its last attempt.
func (po *policy) giveUp(pd *pending) {
	po.closeRequest(pd)
	po.actions = append(po.actions, GiveUp{Request: pd.ID})
}
