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
)

// bin holds the arrivals of one interval.
type bin struct {
	jobs int
	work time.Duration
}

// Forecaster records the jobs that arrive for a pool. The zero value is ready
// for use.
type Forecaster struct {
	// bins is a ring. The bin of the present interval is at position
	// present modulo the length; it is not part of a window yet.
	bins    [2*windowBins + 1]bin
	present int64
}

// Add records the arrival of a job with the given core time.
func (fc *Forecaster) Add(now time.Time, work time.Duration) {
	fc.advance(now)
	bn := &fc.bins[fc.present%int64(len(fc.bins))]
	bn.jobs++
	bn.work += work
}

// advance empties the bins of the intervals that have begun since the last call.
func (fc *Forecaster) advance(now time.Time) {
	number := now.UnixNano() / int64(binLength)
	first := max(fc.present+1, number-int64(len(fc.bins))+1)
	for idx := first; idx <= number; idx++ {
		fc.bins[idx%int64(len(fc.bins))] = bin{}
	}
	fc.present = max(fc.present, number)
}

// Cores returns the number of cores that the jobs of a moment require if they
// arrive as the trend of the last two seconds suggests. The moment is the given
// time ahead of now. A change within the statistical error of the counts is not
// taken for a trend.
func (fc *Forecaster) Cores(now time.Time, ahead time.Duration) float64 {
	fc.advance(now)
	earlier, latest := fc.sum(windowBins+1), fc.sum(1)
	jobs := earlier.jobs + latest.jobs
	if jobs == 0 {
		return 0
	}
	change := float64(latest.jobs - earlier.jobs)
	change = math.Copysign(max(math.Abs(change)-math.Sqrt(float64(jobs)), 0), change)
	// The latest window's rate is that of its middle.
	expected := float64(latest.jobs) + change*(ahead+window/2).Seconds()/window.Seconds()
	meanWork := (earlier.work + latest.work).Seconds() / float64(jobs)
	return max(expected, 0) * meanWork / window.Seconds()
}

// sum returns the arrivals of the window whose last bin is the given number of
// bins before the present one.
func (fc *Forecaster) sum(before int64) bin {
	var total bin
	for idx := range int64(windowBins) {
		number := fc.present - before - idx
		if number < 0 {
			break
		}
		bn := fc.bins[number%int64(len(fc.bins))]
		total.jobs += bn.jobs
		total.work += bn.work
	}
	return total
}
