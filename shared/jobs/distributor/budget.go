package distributor

import "time"

// budgetBurst is the time for which an unused budget is kept.
const budgetBurst = 500 * time.Millisecond

// budget limits the rate of bytes.
type budget struct {
	// bytesPerSecond is the rate, or zero if there is no limit.
	bytesPerSecond float64
	available      float64
	updatedAt      time.Time
}

// take takes a number of bytes. It returns false if the rate doesn't permit it.
func (bu *budget) take(now time.Time, count int) bool {
	if bu.bytesPerSecond <= 0 {
		return true
	}
	most := bu.bytesPerSecond * budgetBurst.Seconds()
	if bu.updatedAt.IsZero() {
		bu.available = most
	} else {
		bu.available = min(bu.available+bu.bytesPerSecond*now.Sub(bu.updatedAt).Seconds(), most)
	}
	bu.updatedAt = now
	if bu.available < float64(count) {
		return false
	}
	bu.available -= float64(count)
	return true
}
