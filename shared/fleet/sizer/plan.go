package sizer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Plan returns the next move to start. The second result is false if there is
// none. In order of precedence:
//
//   - a lost VM is replaced at once by one from the spare pool;
//   - a spare VM in excess of the buffer moves to the pool where it meets the
//     most urgent demand;
//   - if the spare pool is smaller than the buffer, it gets a VM from the pool
//     where that leaves the least urgent demand unmet;
//   - a VM moves between pools if the gain is much greater than the loss.
//
// All but the first require that the estimator has warmed up, because a steward
// that has just taken over has no estimate of the demand, and that the interval
// since the last move has passed. A load spike of a few seconds therefore
// triggers no move; spikes count in the estimate according to their frequency.
func (sr *Sizer) Plan(pools []Pool, er *Estimator, now time.Time) (Move, bool) {
	spare := sr.sparePool(pools)
	if mv, ok := sr.replaceLost(pools, spare); ok {
		sr.lastMove = now
		return mv, true
	}
	if !er.WarmedUp(now) {
		return Move{}, false
	}
	if !sr.lastMove.IsZero() && now.Sub(sr.lastMove) < sr.interval {
		return Move{}, false
	}
	mv, ok := sr.rebalance(pools, spare, er)
	if ok {
		sr.lastMove = now
	}
	return mv, ok
}

// sparePool returns the spare pool, which is empty if it is not among pools.
func (sr *Sizer) sparePool(pools []Pool) Pool {
	for _, pl := range pools {
		if pl.Name == sr.spare {
			return pl
		}
	}
	return Pool{Name: sr.spare}
}

// replaceLost returns the move that replaces a lost VM of the pool that has lost
// the most VMs.
func (sr *Sizer) replaceLost(pools []Pool, spare Pool) (Move, bool) {
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
		From:         sr.spare,
		To:           worst.Name,
		ReplacesLost: true,
		Reason:       fmt.Sprintf("makes up for %d lost VMs", worst.Lost),
	}, true
}

// rebalance returns a move that is due to the urgent demand or to the size of
// the spare pool.
func (sr *Sizer) rebalance(pools []Pool, spare Pool, er *Estimator) (Move, bool) {
	recipient, gain := sr.recipient(pools, er)
	donor, loss := sr.donor(pools, er)
	buffer := sr.Buffer(pools)
	spareVMs := spare.Size() + spare.Arriving
	switch {
	case spareVMs > buffer && spare.Size() > 0 && recipient != "" && gain >= sr.minGain:
		return Move{
			From:   sr.spare,
			To:     recipient,
			Reason: fmt.Sprintf("meets %.2f slots more of urgent demand", gain),
		}, true
	case spareVMs < buffer && donor != "":
		return Move{
			From:   donor,
			To:     sr.spare,
			Reason: fmt.Sprintf("the spare pool has %d VMs and needs %d", spareVMs, buffer),
		}, true
	case recipient != "" && donor != "" && recipient != donor && gain >= sr.minGain && gain >= sr.minGainRatio*loss:
		return Move{
			From:   donor,
			To:     recipient,
			Reason: fmt.Sprintf("meets %.2f slots more of urgent demand and %.2f less", gain, loss),
		}, true
	default:
		return Move{}, false
	}
}

// recipient returns the pool where one more VM meets the most urgent demand, and
// that demand in slots.
func (sr *Sizer) recipient(pools []Pool, er *Estimator) (string, float64) {
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

// donor returns the pool where one VM less leaves the least urgent demand unmet,
// and that demand in slots. Pools with lost or arriving VMs and pools at their
// minimum size are excluded.
func (sr *Sizer) donor(pools []Pool, er *Estimator) (string, float64) {
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

// racksOf returns the racks that have VMs in service of any pool but the spare
// pool, in order.
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
