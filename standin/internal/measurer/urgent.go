package measurer

import (
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
)

const (
	// heavyLoad is the load at which urgent work must still start in time.
	heavyLoad = 0.95
	// heavyUrgent is its urgent part.
	heavyUrgent = 0.6
	heavyLength = 10 * time.Minute

	// calmUrgent is the urgent load beside which long work may borrow slots.
	calmUrgent = 0.2
	// urgentExcess is the urgent load that would leave long work nothing.
	urgentExcess = 2
	excessLength = 4 * time.Minute

	// turnTime and turnCount are the length and number of turns in which one of
	// the services asks for floodFactor times its mean.
	turnTime    = 8 * time.Second
	turnCount   = 5
	betweenLoad = 0.05

	loadedTargets = 3
)

var (
	heavyWindow = window{
		from: 5 * time.Minute,
		to:   heavyLength,
	}
	excessWindow = window{
		from: time.Minute,
		to:   excessLength,
	}
)

// loadStudy measures urgent beside long work on one service.
func loadStudy(seed uint64) []figure {
	var figures []figure
	policies := []policy{chosen, without("noHeadroom", scheduler.Headroom), noShedding, fixedLimits, plainFIFO}
	for _, po := range policies {
		figures = append(figures, heavyLoadFigures(po, seed)...)
		figures = append(figures, turnFigures(po, seed)...)
		figures = append(figures, calmFigures(po, seed)...)
		figures = append(figures, starvationFigures(po, seed)...)
	}
	return figures
}

// heavyLoadFigures loads a service to 95%, urgent and long work together.
func heavyLoadFigures(po policy, seed uint64) []figure {
	urgent, long := runLoad(po, seed, heavyLength, steady(heavyUrgent), steady(heavyLoad-heavyUrgent))
	delays := urgent.startDelays(heavyWindow)
	offered, turnedAway := urgent.count(heavyWindow, refused)
	longOffered, longDone := long.count(window{to: heavyLength / 2}, succeeded)
	return []figure{
		{
			name:  "urgentStartDelayP99." + po.name,
			value: quantile(delays, 0.99),
			unit:  "s",
		},
		{
			name:  "urgentStartDelayMax." + po.name,
			value: quantile(delays, 1),
			unit:  "s",
		},
		{
			name:  "urgentRefused." + po.name,
			value: ratio(float64(turnedAway), float64(offered)),
			unit:  "share",
		},
		{
			name:  "longCompleted." + po.name,
			value: ratio(float64(longDone), float64(longOffered)),
			unit:  "share",
		},
	}
}

// turnFigures lets the urgent demand come in turns while long work always
// waits.
func turnFigures(po policy, seed uint64) []figure {
	cycle := turnTime * turnCount
	turns := func(since time.Duration) float64 {
		if since%cycle < turnTime {
			return floodFactor * meanLoad / 2
		}
		return betweenLoad * meanLoad / 2
	}
	urgent, long := runLoad(po, seed, heavyLength, turns, steady(1))
	offered, _ := urgent.count(heavyWindow, succeeded)
	return []figure{
		{
			name:  "turnsStartDelayP99." + po.name,
			value: quantile(urgent.startDelays(heavyWindow), 0.99),
			unit:  "s",
		},
		{
			name:  "turnsInTime." + po.name,
			value: ratio(float64(urgent.inTime(heavyWindow)), float64(offered)),
			unit:  "share",
		},
		{
			name:  "turnsSlotUse." + po.name,
			value: slotUse(heavyWindow, urgent, long),
			unit:  "share",
		},
	}
}

// calmFigures lets long work always wait beside little urgent work.
func calmFigures(po policy, seed uint64) []figure {
	urgent, long := runLoad(po, seed, heavyLength, steady(calmUrgent), steady(1))
	return []figure{
		{
			name:  "calmStartDelayP99." + po.name,
			value: quantile(urgent.startDelays(heavyWindow), 0.99),
			unit:  "s",
		},
		{
			name:  "calmSlotUse." + po.name,
			value: slotUse(heavyWindow, urgent, long),
			unit:  "share",
		},
	}
}

// starvationFigures floods with more urgent work than the service takes, while
// long work always waits.
func starvationFigures(po policy, seed uint64) []figure {
	_, long := runLoad(po, seed, excessLength, steady(urgentExcess), steady(1))
	return []figure{{
		name:  "longShareKept." + po.name,
		value: slotUse(excessWindow, long) / settings().LongShare,
		unit:  "share",
	}}
}

// slotUse returns the share of the slots spent on requests that succeeded.
func slotUse(wi window, streams ...*stream) float64 {
	work := 0.0
	for _, sm := range streams {
		work += sm.work(wi)
	}
	return work / ((wi.to - wi.from).Seconds() * loadedTargets * slotsPerTarget)
}

// runLoad runs one service with urgent and long work, given as shares of its
// slots.
func runLoad(po policy, seed uint64, length time.Duration, urgentLoad, longLoad func(time.Duration) float64) (urgent, long *stream) {
	tl := newTimeline()
	st := newStation(tl, po.build(settings(), newRandom(seed)))
	st.setTargets(targetsOf(loadedTargets))
	slots := loadedTargets * slotsPerTarget
	urgent = urgentStream(mostUrgent, slots, urgentLoad, urgentExcess)
	long = longStream(slots, longLoad, urgentExcess)
	urgent.feed(tl, seed, st.send)
	long.feed(tl, seed, st.send)
	tl.run(length)
	return urgent, long
}
