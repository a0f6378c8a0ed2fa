// Package forecaster forecasts the demand for cores from the jobs that arrive. It
// does no I/O and reads no clock.
package forecaster

import (
	"math"
	"time"
)

const (
	// binLength is the resolution of the record of arrivals.
	binLength = 125 * time.Millisecond
	// windowBins is the number of bins of a window. The forecast compares two
	// windows, the latest one and the one before it.
	windowBins = 8
	// window is the duration of a window.
	window = windowBins * binLength
	// rewindBins is the number of bins that Suspend can leave out in retrospect.
	rewindBins = 8
)

// bin holds the arrivals of one interval, or of several.
type bin struct {
	// work is the sum of the jobs' core time in seconds, and variance that of
	// its squares: the variance of the sum if the jobs arrive independently.
	work, variance float64
}

func (bn *bin) add(other bin) {
	bn.work += other.work
	bn.variance += other.variance
}

// Forecaster records the jobs that arrive for a pool. The zero value is ready
// for use.
type Forecaster struct {
	// bins is a ring. The bin of the present interval is at position
	// present modulo the length; it is not part of a window yet.
	bins    [2*windowBins + 1 + rewindBins]bin
	present int64
	// suspendedAt is the time from which jobs can't arrive, or zero if they can.
	suspendedAt time.Time
	// suspended is the duration of the suspensions that are over.
	suspended time.Duration
}

// Suspend leaves out the time from a moment on until Resume is called: that no jobs
// arrive in it says nothing of the demand. The moment is at most a second ago.
func (fc *Forecaster) Suspend(since time.Time) {
	if !fc.suspendedAt.IsZero() {
		return
	}
	fc.suspendedAt = since
	fc.present = max(min(fc.present, fc.binOf(since)), fc.present-rewindBins)
}

// Resume ends a suspension.
func (fc *Forecaster) Resume(now time.Time) {
	if fc.suspendedAt.IsZero() {
		return
	}
	fc.suspended += now.Sub(fc.suspendedAt)
	fc.suspendedAt = time.Time{}
}

// binOf returns the number of the bin of a moment. The suspensions have none.
func (fc *Forecaster) binOf(at time.Time) int64 {
	if !fc.suspendedAt.IsZero() {
		at = fc.suspendedAt
	}
	return at.Add(-fc.suspended).UnixNano() / int64(binLength)
}

// Add records the arrival of a job with the given core time.
func (fc *Forecaster) Add(now time.Time, work time.Duration) {
	fc.advance(now)
	seconds := work.Seconds()
	fc.bins[fc.present%int64(len(fc.bins))].add(bin{
		work:     seconds,
		variance: seconds * seconds,
	})
}

// advance empties the bins of the intervals that have begun since the last call.
func (fc *Forecaster) advance(now time.Time) {
	number := fc.binOf(now)
	first := max(fc.present+1, number-int64(len(fc.bins))+1)
	for idx := first; idx <= number; idx++ {
		fc.bins[idx%int64(len(fc.bins))] = bin{}
	}
	fc.present = max(fc.present, number)
}

// Cores returns the number of cores that the jobs of a moment require at least if
// they arrive as the trend of the last two seconds suggests. The moment is the
// given time ahead of now. What may be due to chance, by one standard deviation,
// is not taken for demand or for a trend: a single large job is neither.
func (fc *Forecaster) Cores(now time.Time, ahead time.Duration) float64 {
	fc.advance(now)
	earlier, latest := fc.sum(windowBins+1), fc.sum(1)
	change := shrink(latest.work-earlier.work, latest.variance+earlier.variance)
	// The latest window's work is that of its middle.
	expected := shrink(latest.work, latest.variance) + change*(ahead+window/2).Seconds()/window.Seconds()
	return max(expected, 0) / window.Seconds()
}

// shrink returns an amount that is nearer to zero by its standard deviation.
func shrink(amount, variance float64) float64 {
	return math.Copysign(max(math.Abs(amount)-math.Sqrt(variance), 0), amount)
}

// sum returns the arrivals of the window whose last bin is the given number of
// bins before the present one.
func (fc *Forecaster) sum(before int64) bin {
	var total bin
	for idx := range int64(windowBins) {
		if number := fc.present - before - idx; number >= 0 {
			total.add(fc.bins[number%int64(len(fc.bins))])
		}
	}
	return total
}
