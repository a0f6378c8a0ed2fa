package sizer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Plan returns the move to begin now, and false if there is none:
//
//   - a pool that has lost VMs gets one from the spare pool at once;
//   - a spare VM beyond the buffer goes where it meets the most urgent demand;
//   - a spare pool below the buffer gets a VM from where it is missed least;
//   - a VM moves between pools if it brings much more where it goes.
//
// All but the first wait until the estimate is ripe, as a steward that has just
// taken over knows no demand, and for the interval since the last move. Floods of some
// seconds so cause no moves by themselves; they weigh in the estimate only by
// how often they come.
func (sr *Sizer) Plan(pools []Pool, er *Estimator, now time.Time) (Move, bool) {
	spare := sr.sparePool(pools)
	if mv, ok := sr.makeUp(pools, spare); ok {
		sr.lastMove = now
		return mv, true
	}
	if !er.Ripe(now) {
		return Move{}, false
	}
	if !sr.lastMove.IsZero() && now.Sub(sr.lastMove) < sr.interval {
		return Move{}, false
	}
	mv, ok := sr.improve(pools, spare, er)
	if ok {
		sr.lastMove = now
	}
	return mv, ok
}

func (sr *Sizer) sparePool(pools []Pool) Pool {
	for _, pl := range pools {
		if pl.Name == sr.spare {
			return pl
		}
	}
	return Pool{Name: sr.spare}
}

// makeUp replaces a lost VM of the pool that has lost the most.
func (sr *Sizer) makeUp(pools []Pool, spare Pool) (Move, bool) {
	var worst Pool
	for _, pl := range pools {
		if pl.Name != sr.spare && pl.Lost > worst.Lost {
			worst = pl
		}
	}
	if worst.Name == "" || spare.Size() == 0 {
		return Move{}, false
	}
	return Move{
		From:    sr.spare,
		To:      worst.Name,
		MakesUp: true,
		Reason:  fmt.Sprintf("makes up for %d lost VMs", worst.Lost),
	}, true
}

func (sr *Sizer) improve(pools []Pool, spare Pool, er *Estimator) (Move, bool) {
	taker, gain := sr.taker(pools, er)
	giver, loss := sr.giver(pools, er)
	buffer := sr.Buffer(pools)
	stock := spare.Size() + spare.Arriving
	switch {
	case stock > buffer && spare.Size() > 0 && taker != "" && gain >= sr.minGain:
		return Move{
			From:   sr.spare,
			To:     taker,
			Reason: fmt.Sprintf("meets %.2f slots more of urgent demand", gain),
		}, true
	case stock < buffer && giver != "":
		return Move{
			From:   giver,
			To:     sr.spare,
			Reason: fmt.Sprintf("the spare pool has %d VMs and needs %d", stock, buffer),
		}, true
	case taker != "" && giver != "" && taker != giver && gain >= sr.minGain && gain >= sr.advantage*loss:
		return Move{
			From:   giver,
			To:     taker,
			Reason: fmt.Sprintf("meets %.2f slots more of urgent demand and %.2f less", gain, loss),
		}, true
	default:
		return Move{}, false
	}
}

// taker returns the pool where one more VM meets the most urgent demand.
func (sr *Sizer) taker(pools []Pool, er *Estimator) (string, float64) {
	name := ""
	best := 0.0
	for _, pl := range pools {
		if pl.Name == sr.spare {
			continue
		}
		if gain := sr.gain(er, pl); gain > best {
			name = pl.Name
			best = gain
		}
	}
	return name, best
}

// giver returns the pool where one VM less leaves the least urgent demand
// unmet. Pools with lost or arriving VMs, and those at their least number,
// give none.
func (sr *Sizer) giver(pools []Pool, er *Estimator) (string, float64) {
	name := ""
	least := math.Inf(1)
	for _, pl := range pools {
		if pl.Name == sr.spare || pl.Lost+pl.Arriving > 0 || pl.Size() <= max(pl.MinMembers, 1) {
			continue
		}
		if loss := sr.loss(er, pl); loss < least {
			name = pl.Name
			least = loss
		}
	}
	return name, least
}

func racksOf(pools []Pool, spare string) []string {
	var racks []string
	for _, pl := range pools {
		if pl.Name == spare {
			continue
		}
		for rack, count := range pl.VMs {
			if count > 0 && !slices.Contains(racks, rack) {
				racks = append(racks, rack)
			}
		}
	}
	slices.Sort(racks)
	return racks
}
