package scheduler

import (
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// admit returns OK if a new request is expected to be served before its
// deadline and within the queue delay bound, else the code to refuse it with.
func (po *policy) admit(now time.Time, pd *pending) classifier.Code {
	if !now.Before(pd.Deadline) {
		return classifier.DeadlineUnreachable
	}
	if po.shedder.disabled {
		return classifier.OK
	}
	wait := po.expectedWait(now, pd.Urgency)
	if po.queue.kindOf(pd.Urgency) == urgentWork && wait > po.config.MaxQueueDelay {
		return classifier.QueueDelay
	}
	if !po.canMeetDeadline(now.Add(wait), pd) {
		return classifier.DeadlineUnreachable
	}
	return classifier.OK
}

// expectedWait estimates the queue delay of a new request with the given
// urgency. It is zero while there are fewer requests ahead than slots.
func (po *policy) expectedWait(now time.Time, urgency int) time.Duration {
	kd := po.queue.kindOf(urgency)
	ahead := po.queue.ahead(urgency)
	slots := po.slotsOf(kd)
	if slots == 0 || ahead < slots {
		return 0
	}
	mean := po.estimator.decayedMean(now, kd)
	return time.Duration(float64(mean) * float64(ahead) / float64(slots))
}

// slotsOf returns the number of slots available to a kind of work.
func (po *policy) slotsOf(kd kind) int {
	total := po.fleet.slots()
	if kd == longWork {
		return max(po.divider.guaranteed(total), po.divider.running[longWork])
	}
	return max(total-po.divider.running[longWork], 0)
}

// expire refuses queued requests that have exceeded the queue delay bound or
// can no longer meet their deadline.
func (po *policy) expire(now time.Time) {
	if po.queue.count == 0 {
		return
	}
	for le := levelCount - 1; le >= 0; le-- {
		po.expireLevel(now, le)
	}
}

func (po *policy) expireLevel(now time.Time, le int) {
	lv := &po.queue.levels[le]
	for lv.len() > 0 && !po.canMeetDeadline(now, lv.earliest()) {
		po.evict(now, lv.earliest(), classifier.DeadlineUnreachable)
	}
	if !po.isDelayBounded(le) {
		return
	}
	limit := po.waitLimit(le)
	for lv.len() > 0 && now.Sub(lv.oldest.enqueuedAt) >= limit {
		po.evict(now, lv.oldest, classifier.QueueDelay)
	}
}

func (po *policy) isDelayBounded(urgency int) bool {
	return !po.shedder.disabled && po.queue.kindOf(urgency) == urgentWork
}

func (po *policy) waitLimit(urgency int) time.Duration {
	return po.shedder.maxWait(urgency, po.config.TargetQueueDelay, po.config.MaxQueueDelay)
}

// nextExpiry returns when expire is next due, or zero if no request is queued.
func (po *policy) nextExpiry() time.Time {
	var next time.Time
	for le := range levelCount {
		lv := &po.queue.levels[le]
		if lv.len() == 0 {
			continue
		}
		serviceTime := po.estimator.decayedLow(po.now, po.queue.kindOf(le))
		next = earlier(next, lv.earliest().Deadline.Add(-serviceTime))
		if po.isDelayBounded(le) {
			next = earlier(next, lv.oldest.enqueuedAt.Add(po.waitLimit(le)))
		}
	}
	return next
}

// enforceBounds refuses queued requests until the queue is within its bounds.
func (po *policy) enforceBounds(now time.Time) {
	for {
		pd := po.queue.nextEviction(po.config.MaxQueued, po.config.MaxQueuedBytes)
		if pd == nil {
			return
		}
		po.evict(now, pd, classifier.QueueFull)
	}
}

// evict removes a request from the queue and answers it.
func (po *policy) evict(now time.Time, pd *pending, code classifier.Code) {
	if pd.attemptCount > 0 {
		po.giveUp(pd)
		return
	}
	po.closeRequest(pd)
	if code == classifier.QueueDelay && po.fleet.usable() == 0 {
		code = classifier.NoTarget
	}
	po.refuse(now, pd, code)
}

// refuse answers a request of which no attempt was made.
func (po *policy) refuse(now time.Time, pd *pending, code classifier.Code) {
	retryAfter := time.Duration(0)
	if po.canSucceedLater(now, pd, code) {
		retryAfter = po.retryEstimator.estimate(now, po.queue.lenOf(po.queue.kindOf(pd.Urgency)), po.drainInterval(pd.Urgency))
	}
	po.actions = append(po.actions, Refuse{
		Request:    pd.ID,
		Code:       code,
		RetryAfter: retryAfter,
	})
}

// canSucceedLater reports whether the same request could succeed if sent again:
// it must fit in an empty queue and have had enough time on arrival to be
// served without queueing.
func (po *policy) canSucceedLater(now time.Time, pd *pending, code classifier.Code) bool {
	if code == classifier.DeadlineUnreachable {
		arrived := pd.enqueuedAt
		if arrived.IsZero() {
			arrived = now
		}
		return po.canMeetDeadline(arrived, pd)
	}
	return pd.Bytes <= po.config.MaxQueuedBytes
}

// drainInterval returns the mean time between two requests of the urgency's
// kind leaving the queue.
func (po *policy) drainInterval(urgency int) time.Duration {
	kd := po.queue.kindOf(urgency)
	return po.estimator.mean(kd) / time.Duration(max(po.slotsOf(kd), 1))
}
