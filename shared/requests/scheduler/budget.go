package scheduler

import (
	"math"
	"time"
)

const (
	// tokenDecayTime is the time constant of the exponential decay of unused
	// tokens.
	tokenDecayTime = 5 * time.Second
	// reserveTokens is the size of the reserve, which allows extra attempts at
	// low request rates.
	reserveTokens = 5
	// reserveInterval is the time in which the reserve regains one token.
	reserveInterval = 10 * time.Second
)

// budget is a token bucket that bounds extra attempts. Each first attempt adds
// a fraction of a token, and each retry or hedge takes a whole one. Unused
// tokens decay, and a small reserve allows extra attempts at request rates that
// earn too few tokens.
type budget struct {
	share     float64
	tokens    float64
	reserve   float64
	updatedAt time.Time
	unlimited bool
}

func newBudget(share float64, unlimited bool) *budget {
	return &budget{
		share:     share,
		reserve:   reserveTokens,
		unlimited: unlimited,
	}
}

// earn adds the tokens of a first attempt.
func (bu *budget) earn(now time.Time) {
	bu.advance(now)
	bu.tokens += bu.share
}

// take takes the token for an extra attempt. It returns false if there is none.
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
	elapsed := now.Sub(bu.updatedAt)
	if bu.updatedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	bu.updatedAt = now
	bu.tokens *= math.Exp(-float64(elapsed) / float64(tokenDecayTime))
	earned := float64(elapsed) / float64(reserveInterval)
	bu.reserve = min(reserveTokens, bu.reserve+earned)
}
