package keeper

import (
	"maps"
	"time"

	"golang.org/x/time/rate"
)

// Counts is the number of calls that have reached the service.
type Counts struct {
	// Zones holds the counts of each availability zone.
	Zones map[string]ZoneCounts
}

// ZoneCounts is the number of calls that came from one availability zone.
type ZoneCounts struct {
	// Calls holds the number of calls of each kind. A watch counts as one call,
	// however long it waits.
	Calls map[Kind]uint64
	// Limited is the number of calls rejected by the rate limit.
	Limited uint64
}

// Total returns the number of calls of all kinds from all availability zones.
func (ct Counts) Total() uint64 {
	var total uint64
	for _, zc := range ct.Zones {
		for _, number := range zc.Calls {
			total += number
		}
	}
	return total
}

// meter counts calls and applies the service's rate limits.
type meter struct {
	writes *rate.Limiter
	reads  *rate.Limiter
	zones  map[string]*ZoneCounts
}

// newMeter returns a meter with rates in calls per second. The burst of each rate
// equals one second of calls.
func newMeter(writes, reads float64) *meter {
	return &meter{
		writes: newLimiter(writes),
		reads:  newLimiter(reads),
		zones:  map[string]*ZoneCounts{},
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// count counts a call and reports whether the rate limit admits it.
func (mt *meter) count(now time.Time, zone string, kd Kind) bool {
	zc, ok := mt.zones[zone]
	if !ok {
		zc = &ZoneCounts{
			Calls: map[Kind]uint64{},
		}
		mt.zones[zone] = zc
	}
	zc.Calls[kd]++
	limiter := mt.reads
	if kd.IsWrite() {
		limiter = mt.writes
	}
	if limiter.AllowN(now, 1) {
		return true
	}
	zc.Limited++
	return false
}

// counts returns a copy of the counts.
func (mt *meter) counts() Counts {
	ct := Counts{
		Zones: map[string]ZoneCounts{},
	}
	for zone, zc := range mt.zones {
		ct.Zones[zone] = ZoneCounts{
			Calls:   maps.Clone(zc.Calls),
			Limited: zc.Limited,
		}
	}
	return ct
}
