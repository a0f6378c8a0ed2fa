package scheduler

import (
	"math"
	"time"
)

const (
	// budgetWindow is the time constant with which unused tokens expire.
	budgetWindow = 5 * time.Second
	// reserveTokens is the number of extra attempts allowed at low rates.
	reserveTokens = 5
	// reserveInterval is the time in which a token of the reserve returns.
	reserveInterval = 10 * time.Second
)

// budget bounds extra attempts: each first attempt earns a share of a token,
// each retry and hedge takes a whole one. Unused tokens expire, and a small
// reserve serves rates that earn too little.
type budget struct {
	share     float64
	tokens    float64
	reserve   float64
	at        time.Time
	unlimited bool
}

func newBudget(share float64, unlimited bool) *budget {
	return &budget{
		share:     share,
		reserve:   reserveTokens,
		unlimited: unlimited,
	}
}

// earn counts a first attempt.
func (bu *budget) earn(now time.Time) {
	bu.advance(now)
	bu.tokens += bu.share
}

// take takes the token of an extra attempt; false if there is none.
func (bu *budget) take(now time.Time) bool {
	if bu.unlimited {
		return true
	}
	bu.advance(now)
	switch {
	case bu.tokens >= 1:
		bu.tokens--
	case bu.reserve >= 1 && bu.share > 0:
		bu.reserve--
	default:
		return false
	}
	return true
}

func (bu *budget) advance(now time.Time) {
	elapsed := now.Sub(bu.at)
	if bu.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	bu.at = now
	bu.tokens *= math.Exp(-float64(elapsed) / float64(budgetWindow))
	earned := float64(elapsed) / float64(reserveInterval)
	bu.reserve = min(reserveTokens, bu.reserve+earned)
}
