package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// probePatience is how long a target's probe waits for a repeatable
	// urgent request before any other will do.
	probePatience = 3 * time.Second
)

// picker picks the target of an attempt: one that needs a probe, else the
// least loaded, spread over racks.
type picker struct {
	fleet  *fleet
	random *rand.Rand
}

// pick returns a target with a free slot for the request, or nil. Targets
// that were tried before serve only when no other has a free slot.
func (pk *picker) pick(now time.Time, pd *pending, kd kind) *target {
	if tt := pk.pickAmong(now, pd, kd, false); tt != nil {
		return tt
	}
	if len(pd.tried) == 0 {
		return nil
	}
	return pk.pickAmong(now, pd, kd, true)
}

// pickUntried returns a healthy target with a free slot that the request has
// not been tried on, or nil.
func (pk *picker) pickUntried(now time.Time, pd *pending, kd kind) *target {
	tt := pk.pickAmong(now, pd, kd, false)
	if tt == nil || tt.health != healthy {
		return nil
	}
	return tt
}

func (pk *picker) pickAmong(now time.Time, pd *pending, kd kind, tried bool) *target {
	var best *target
	var bestScore score
	ties := 0
	pk.fleet.countRacks()
	for _, tt := range pk.fleet.targets {
		if tt.free() == 0 || pd.hasTried(tt.VM) != tried || !isFit(now, tt, pd, kd) {
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

// isFit reports whether the request may go to the target. A probe should be a
// short request that can be repeated.
func isFit(now time.Time, tt *target, pd *pending, kd kind) bool {
	if tt.health != probing {
		return true
	}
	if pd.made > 0 {
		return false
	}
	return pd.Repeatable && kd == urgentWork || now.Sub(tt.until) >= probePatience
}

// score ranks targets; less is better.
type score struct {
	// unprobed is 0 for a target that waits for a probe.
	unprobed int
	// load is the load on a slot, with long work counted for long work.
	load float64
	// rack is the load of the target's rack.
	rack float64
}

func scoreOf(now time.Time, tt *target, kd kind) score {
	sc := score{
		unprobed: 1,
		load:     tt.load(now),
		rack:     tt.rack.load(),
	}
	if tt.health == probing {
		sc.unprobed = 0
	}
	if kd == longWork {
		sc.load += float64(tt.long) / float64(max(tt.Slots, 1))
	}
	return sc
}

func (sc score) compare(other score) int {
	switch {
	case sc.unprobed != other.unprobed:
		return sc.unprobed - other.unprobed
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
