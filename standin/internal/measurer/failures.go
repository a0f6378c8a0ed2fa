package measurer

import (
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
)

const (
	// failureLatency is how fast a broken target fails.
	failureLatency = time.Millisecond
	// brokenFrom is when targets break, mendedFrom when they work again.
	brokenFrom = 60 * time.Second
	mendedFrom = 120 * time.Second
	// ejectedAfter is the time after which a broken target must get no more
	// than its probes.
	ejectedAfter  = 2 * time.Second
	failureLength = 180 * time.Second

	failureTargets = 12
	failureLoad    = 0.5
)

var (
	brokenWindow = window{
		from: brokenFrom,
		to:   mendedFrom,
	}
	ejectedWindow = window{
		from: brokenFrom + ejectedAfter,
		to:   mendedFrom,
	}
	mendedWindow = window{
		from: mendedFrom + 10*time.Second,
		to:   failureLength - urgentTimeout,
	}
)

// breaks makes a target fail everything at once while it is broken.
func breaks(since time.Duration, rc *record) (scheduler.Result, time.Duration) {
	if brokenWindow.contains(since) {
		return scheduler.Failed, failureLatency
	}
	return sound(since, rc)
}

// retryStudy measures extra attempts while all targets fail.
func retryStudy(seed uint64) []figure {
	var figures []figure
	for _, po := range []policy{chosen, without("noBudget", scheduler.RetryBudget), plainFIFO} {
		_, sm := runFailures(po, seed, settings(), failureTargets, failureTargets)
		attempts := 0
		requests := 0
		for _, rc := range sm.records {
			if brokenWindow.contains(rc.arrived) && rc.attempts > 0 {
				requests++
				attempts += rc.attempts
			}
		}
		offered, done := sm.count(mendedWindow, succeeded)
		figures = append(figures,
			figure{
				name:  "retryAmplification." + po.name,
				value: ratio(float64(attempts), float64(requests)),
				unit:  "attempts/request",
			},
			figure{
				name:  "retryRecovered." + po.name,
				value: ratio(float64(done), float64(offered)),
				unit:  "share",
			},
		)
	}
	return figures
}

// ejectionStudy measures what broken targets draw: one of twelve, a whole rack
// of twelve, and one of three.
func ejectionStudy(seed uint64) []figure {
	cases := []struct {
		name          string
		total, broken int
	}{
		{
			name:   "One",
			total:  failureTargets,
			broken: 1,
		},
		{
			name:   "Rack",
			total:  failureTargets,
			broken: targetsOfRack,
		},
		{
			name:   "OneOfThree",
			total:  loadedTargets,
			broken: 1,
		},
	}
	var figures []figure
	for _, po := range []policy{chosen, without("noEjection", scheduler.Ejection), plainFIFO} {
		for _, cs := range cases {
			figures = append(figures, ejectionFigures(po, seed, cs.name, cs.total, cs.broken)...)
		}
	}
	return figures
}

func ejectionFigures(po policy, seed uint64, name string, total, broken int) []figure {
	st, sm := runFailures(po, seed, settings(), total, broken)
	drawn := 0
	starts := 0
	for _, sr := range st.starts {
		if !ejectedWindow.contains(sr.at) {
			continue
		}
		starts++
		if st.behaviours[sr.vm] != nil {
			drawn++
		}
	}
	offered, done := sm.count(ejectedWindow, succeeded)
	suffix := name + "." + po.name
	return []figure{
		{
			name:  "ejectedProbeShare" + suffix,
			value: ratio(float64(drawn), float64(starts)),
			unit:  "share",
		},
		{
			name:  "ejectedProbesPerTarget" + suffix,
			value: float64(drawn) / float64(broken) / (ejectedWindow.to - ejectedWindow.from).Minutes(),
			unit:  "probes/min",
		},
		{
			name:  "ejectedGoodput" + suffix,
			value: ratio(float64(done), float64(offered)),
			unit:  "share",
		},
	}
}

// runFailures runs a service of which the first targets break for a while.
func runFailures(po policy, seed uint64, config scheduler.Config, total, broken int) (*station, *stream) {
	tl := newTimeline()
	st := newStation(tl, po.build(config, newRandom(seed)))
	targets := targetsOf(total)
	for _, tt := range targets[:broken] {
		st.behaviours[tt.VM] = breaks
	}
	st.setTargets(targets)
	sm := urgentStream(3, total*slotsPerTarget, steady(failureLoad), failureLoad)
	sm.feed(tl, seed, st.send)
	tl.run(failureLength)
	return st, sm
}
