package scheduler

import "time"

func (po *policy) Finish(now time.Time, attempt Attempt, result Result, latency time.Duration) []Action {
	po.now = now
	pd, known := po.requests[attempt.Request]
	if !known {
		return po.run(now)
	}
	ra, found := pd.detach(attempt.Number)
	if !found {
		return po.run(now)
	}
	po.release(ra)
	po.learn(now, ra, result, latency)
	po.settle(now, pd, result)
	return po.run(now)
}

// release frees the slot of an attempt.
func (po *policy) release(ra runningAttempt) {
	ra.target.inFlight--
	if ra.kind == longWork {
		ra.target.long--
	}
	po.divider.finish(ra.kind)
	if !ra.target.listed {
		po.fleet.prune()
	}
}

// learn takes what the result says about the target.
func (po *policy) learn(now time.Time, ra runningAttempt, result Result, latency time.Duration) {
	switch result {
	case Succeeded:
		po.estimator.observe(now, ra.kind, latency)
		po.ejector.succeed(now, ra.target, ra.probe)
	case Failed, FailedUnread:
		po.ejector.fail(now, ra.target, ra.probe)
	case Refused:
		po.ejector.refuse(now, ra.target)
		po.ejector.trim()
	case Cancelled:
	}
}

// settle decides what becomes of a request after one of its attempts ended.
func (po *policy) settle(now time.Time, pd *pending, result Result) {
	switch {
	case pd.stage == over:
		po.forget(pd)
	case result == Succeeded || result == Cancelled:
		po.end(pd)
	case len(pd.attempts) > 0:
	case po.retry(now, pd, result):
	default:
		po.giveUp(pd)
	}
}

// end makes a request over: it is withdrawn from where it waits, and its
// running attempts are abandoned.
func (po *policy) end(pd *pending) {
	if pd.stage == queued {
		po.queue.remove(pd)
	}
	po.alarms.clear(pd)
	pd.stage = over
	for _, ra := range pd.attempts {
		po.actions = append(po.actions, Abandon{Attempt: ra.attempt})
	}
	po.forget(pd)
}

// forget drops a request that is over once its last attempt has ended.
func (po *policy) forget(pd *pending) {
	if len(pd.attempts) == 0 {
		delete(po.requests, pd.ID)
	}
}

// giveUp answers a request with the failure of its last attempt.
func (po *policy) giveUp(pd *pending) {
	po.end(pd)
	po.actions = append(po.actions, GiveUp{Request: pd.ID})
}
