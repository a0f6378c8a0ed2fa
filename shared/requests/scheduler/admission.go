package scheduler

import (
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// admit checks whether a new request can be served in time; OK if so.
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
	if !po.isInTime(now.Add(wait), pd) {
		return classifier.DeadlineUnreachable
	}
	return classifier.OK
}

// expectedWait estimates how long a new request of an urgency would wait. Less
// than one request ahead for each slot is no wait.
func (po *policy) expectedWait(now time.Time, urgency int) time.Duration {
	kd := po.queue.kindOf(urgency)
	ahead := po.queue.ahead(urgency)
	slots := po.slotsOf(kd)
	if slots == 0 || ahead < slots {
		return 0
	}
	mean := po.estimator.meanToRefuse(now, kd)
	return time.Duration(float64(mean) * float64(ahead) / float64(slots))
}

// slotsOf returns the slots that a kind of work can count on.
func (po *policy) slotsOf(kd kind) int {
	total := po.fleet.slots()
	if kd == longWork {
		return max(po.divider.guaranteed(total), po.divider.running[longWork])
	}
	return max(total-po.divider.running[longWork], 0)
}

// expire refuses waiting requests that waited too long or can't end in time.
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
	for lv.len() > 0 && !po.isInTime(now, lv.earliest()) {
		po.drop(now, lv.earliest(), classifier.DeadlineUnreachable)
	}
	if !po.isDelayBounded(le) {
		return
	}
	limit := po.waitLimit(le)
	for lv.len() > 0 && now.Sub(lv.oldest.joined) >= limit {
		po.drop(now, lv.oldest, classifier.QueueDelay)
	}
}

func (po *policy) isDelayBounded(urgency int) bool {
	return !po.shedder.disabled && po.queue.kindOf(urgency) == urgentWork
}

func (po *policy) waitLimit(urgency int) time.Duration {
	return po.shedder.limit(urgency, po.config.TargetQueueDelay, po.config.MaxQueueDelay)
}

// nextExpiry returns when expire is next due; zero if never.
func (po *policy) nextExpiry() time.Time {
	var next time.Time
	for le := range levelCount {
		lv := &po.queue.levels[le]
		if lv.len() == 0 {
			continue
		}
		least := po.estimator.leastToRefuse(po.now, po.queue.kindOf(le))
		next = sooner(next, lv.earliest().Deadline.Add(-least))
		if po.isDelayBounded(le) {
			next = sooner(next, lv.oldest.joined.Add(po.waitLimit(le)))
		}
	}
	return next
}

// bound refuses what the queue holds beyond its bounds.
func (po *policy) bound(now time.Time) {
	for {
		pd := po.queue.excess(po.config.MaxQueued, po.config.MaxQueuedBytes)
		if pd == nil {
			return
		}
		po.drop(now, pd, classifier.QueueFull)
	}
}

// drop takes a waiting request out of the queue and answers it.
func (po *policy) drop(now time.Time, pd *pending, code classifier.Code) {
	if pd.made > 0 {
		po.giveUp(pd)
		return
	}
	po.end(pd)
	if code == classifier.QueueDelay && po.fleet.usable() == 0 {
		code = classifier.NoTarget
	}
	po.refuse(now, pd, code)
}

// refuse answers a request that no attempt was made for.
func (po *policy) refuse(now time.Time, pd *pending, code classifier.Code) {
	retryAfter := time.Duration(0)
	if po.isWorthRepeating(now, pd, code) {
		retryAfter = po.adviser.refuse(now, po.queue.lenOf(po.queue.kindOf(pd.Urgency)), po.drainInterval(pd.Urgency))
	}
	po.actions = append(po.actions, Refuse{
		Request:    pd.ID,
		Code:       code,
		RetryAfter: retryAfter,
	})
}

// isWorthRepeating reports whether the same request can succeed later: it has
// to fit in the queue, and to be in time when nothing else waits.
func (po *policy) isWorthRepeating(now time.Time, pd *pending, code classifier.Code) bool {
	if code == classifier.DeadlineUnreachable {
		arrived := pd.joined
		if arrived.IsZero() {
			arrived = now
		}
		return po.isInTime(arrived, pd)
	}
	return pd.Bytes <= po.config.MaxQueuedBytes
}

// drainInterval returns the mean time in which one request of an urgency's
// kind leaves the queue.
func (po *policy) drainInterval(urgency int) time.Duration {
	kd := po.queue.kindOf(urgency)
	return po.estimator.mean(kd) / time.Duration(max(po.slotsOf(kd), 1))
}
