package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// probeWait is how long a probing target waits for an urgent, repeatable
	// request before any request may be used as its probe.
	probeWait = 3 * time.Second
)

// picker selects the target of an attempt: one that needs a probe, else the
// least loaded one. Ties are broken by the load of the rack.
type picker struct {
	fleet  *fleet
	random *rand.Rand
}

// pick returns a target with a free slot for the request, or nil. Targets
// already tried are used only if no other has a free slot.
func (pk *picker) pick(now time.Time, pd *pending, kd kind) *target {
	if tt := pk.pickFrom(now, pd, kd, false); tt != nil {
		return tt
	}
	if len(pd.tried) == 0 {
		return nil
	}
	return pk.pickFrom(now, pd, kd, true)
}

// pickUntried returns a healthy target with a free slot on which the request
// has not been tried, or nil.
func (pk *picker) pickUntried(now time.Time, pd *pending, kd kind) *target {
	tt := pk.pickFrom(now, pd, kd, false)
	if tt == nil || tt.health != healthy {
		return nil
	}
	return tt
}

func (pk *picker) pickFrom(now time.Time, pd *pending, kd kind, tried bool) *target {
	var best *target
	var bestScore score
	ties := 0
	pk.fleet.countRacks()
	for _, tt := range pk.fleet.targets {
		if tt.free() == 0 || pd.hasTried(tt.VM) != tried || !mayServe(now, tt, pd, kd) {
			continue
		}
		sc := scoreOf(now, tt, kd)
		switch order := sc.compare(bestScore); {
		case best == nil || order < 0:
			best = tt
			bestScore = sc
			ties = 1
		case order == 0:
			ties++
			if pk.random.IntN(ties) == 0 {
				best = tt
			}
		}
	}
	return best
}

// mayServe reports whether the request may be sent to the target. A probe must
// be a first attempt, and preferably of an urgent, repeatable request.
func mayServe(now time.Time, tt *target, pd *pending, kd kind) bool {
	if tt.health != probing {
		return true
	}
	if pd.attemptCount > 0 {
		return false
	}
	return pd.Repeatable && kd == urgentWork || now.Sub(tt.probeAt) >= probeWait
}

// score ranks targets; lower is better.
type score struct {
	// notProbing is 0 for a target that needs a probe, else 1.
	notProbing int
	// load is the load per slot. For long work it counts the target's long
	// requests twice.
	load float64
	// rack is the load per slot of the target's rack.
	rack float64
}

func scoreOf(now time.Time, tt *target, kd kind) score {
	sc := score{
		notProbing: 1,
		load:       tt.load(now),
		rack:       tt.rack.load(),
	}
	if tt.health == probing {
		sc.notProbing = 0
	}
	if kd == longWork {
		sc.load += float64(tt.longInFlight) / float64(max(tt.Slots, 1))
	}
	return sc
}

func (sc score) compare(other score) int {
	switch {
	case sc.notProbing != other.notProbing:
		return sc.notProbing - other.notProbing
	case sc.load != other.load:
		return sign(sc.load - other.load)
	default:
		return sign(sc.rack - other.rack)
	}
}

func sign(difference float64) int {
	switch {
	case difference < 0:
		return -1
	case difference > 0:
		return 1
	default:
		return 0
	}
}
