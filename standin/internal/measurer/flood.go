package measurer

import "time"

// flood is the demand of one kind of work of a service beyond its mean.
type flood struct {
	service int
	urgency int
}

// floodCase is a set of floods at the same time.
type floodCase struct {
	name   string
	floods []flood
}

var floodCases = []floodCase{
	{
		name: "Least",
		floods: []flood{{
			service: 0,
			urgency: leastUrgent,
		}},
	},
	{
		name: "Most",
		floods: []flood{{
			service: 0,
			urgency: mostUrgent,
		}},
	},
	{
		name: "Two",
		floods: []flood{
			{
				service: 0,
				urgency: mostUrgent,
			},
			{
				service: 1,
				urgency: leastUrgent,
			},
		},
	},
}

const floodLength = 150 * time.Second

var (
	// floodWindow is when a flood arrives.
	floodWindow = window{
		from: 60 * time.Second,
		to:   80 * time.Second,
	}
	// keptWindow is when others are judged: the flood and what it leaves.
	keptWindow = window{
		from: 60 * time.Second,
		to:   100 * time.Second,
	}
)

const floodSeeds = 2

// floodStudy measures what services and kinds that do not flood keep.
func floodStudy(seed uint64) []figure {
	var figures []figure
	policies := []policy{chosen, noShedding, fixedLimits, plainFIFO}
	for _, dt := range []deployment{addis, sul} {
		for _, po := range policies {
			calm := runZones(dt, nil, po, seed)
			for _, fc := range floodCases {
				figures = append(figures, floodKept(dt, fc, po, calm, seed)...)
			}
		}
	}
	return figures
}

// floodKept returns the least share of its goodput that a service or a kind
// that does not flood keeps, and what the flooded kind itself gets.
func floodKept(dt deployment, fc floodCase, po policy, calm []*zoneRun, seed uint64) []figure {
	flooded := runZones(dt, fc.floods, po, seed)
	kept := 1.0
	for service := range dt.targets {
		for _, isLong := range []bool{false, true} {
			if isFlooded(fc, service, isLong) {
				continue
			}
			kept = min(kept, ratio(goodput(flooded, service, isLong), goodput(calm, service, isLong)))
		}
	}
	suffix := "." + dt.name + fc.name + "." + po.name
	return []figure{
		{
			name:  "floodGoodputKept" + suffix,
			value: kept,
			unit:  "share",
		},
		{
			name:  "floodUsefulWork" + suffix,
			value: usefulWork(flooded, dt, fc),
			unit:  "share",
		},
	}
}

func isFlooded(fc floodCase, service int, isLong bool) bool {
	for _, fl := range fc.floods {
		if fl.service == service && (fl.urgency == leastUrgent) == isLong {
			return true
		}
	}
	return false
}

// goodput returns what a service's kind of work got done while others flooded:
// requests of urgent work started in time, seconds of long work.
func goodput(runs []*zoneRun, service int, isLong bool) float64 {
	total := 0.0
	for _, zr := range runs {
		if isLong {
			total += zr.long[service].work(keptWindow)
			continue
		}
		total += float64(zr.urgent[service].inTime(keptWindow))
	}
	return total
}

// usefulWork returns the share of the slots of the first flooded service that
// was spent on requests that succeeded and, if urgent, started in time.
func usefulWork(runs []*zoneRun, dt deployment, fc floodCase) float64 {
	service := fc.floods[0].service
	work := 0.0
	for _, zr := range runs {
		for _, sm := range []*stream{zr.urgent[service], zr.long[service], zr.floods[0]} {
			work += sm.promisedWork(floodWindow)
		}
	}
	slots := dt.targets[service] * slotsPerTarget
	return work / (float64(slots) * (floodWindow.to - floodWindow.from).Seconds() * float64(len(runs)))
}

// zoneRun is a run of all services of a zone.
type zoneRun struct {
	urgent, long, floods []*stream
}

// runZones runs a zone with several seeds.
func runZones(dt deployment, floods []flood, po policy, seed uint64) []*zoneRun {
	var runs []*zoneRun
	for i := range uint64(floodSeeds) {
		runs = append(runs, runZone(dt, floods, po, seed+i))
	}
	return runs
}

func runZone(dt deployment, floods []flood, po policy, seed uint64) *zoneRun {
	tl := newTimeline()
	zr := &zoneRun{}
	var stations []*station
	for i, count := range dt.targets {
		st := newStation(tl, po.build(settings(), newRandom(seed)))
		st.setTargets(targetsOf(count))
		stations = append(stations, st)
		slots := count * slotsPerTarget
		zr.urgent = append(zr.urgent, urgentStream(3, slots, steady(meanLoad/2), meanLoad/2))
		zr.long = append(zr.long, longStream(slots, steady(meanLoad/2), meanLoad/2))
		zr.urgent[i].feed(tl, seed*100+uint64(i), st.send)
		zr.long[i].feed(tl, seed*100+uint64(i), st.send)
	}
	for i, fl := range floods {
		sm := fl.stream(dt)
		zr.floods = append(zr.floods, sm)
		sm.feed(tl, seed*100+50+uint64(i), stations[fl.service].send)
	}
	tl.run(floodLength)
	return zr
}

func (fl flood) stream(dt deployment) *stream {
	slots := dt.targets[fl.service] * slotsPerTarget
	load := within(floodWindow, floodFactor*meanLoad)
	if fl.urgency == leastUrgent {
		return longStream(slots, load, floodFactor*meanLoad)
	}
	return urgentStream(fl.urgency, slots, load, floodFactor*meanLoad)
}
