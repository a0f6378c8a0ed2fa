package target

import (
	"context"
	"sync"
	"time"
)

// answerSwapper swaps the answers of pairs of requests.
type answerSwapper struct {
	mu      sync.Mutex
	pending *pendingSwap
}

// pendingSwap is the first answer of a pair, with the channel on which its request
// receives the other answer.
type pendingSwap struct {
	own   answer
	other chan answer
}

func newAnswerSwapper() *answerSwapper { return &answerSwapper{} }

// swap exchanges own with the answer of another request that calls swap within
// wait. It returns own if there is no such request.
func (cg *answerSwapper) swap(ctx context.Context, own answer, wait time.Duration) answer {
	cg.mu.Lock()
	if first := cg.pending; first != nil {
		cg.pending = nil
		first.other <- own
		cg.mu.Unlock()
		return first.own
	}
	side := &pendingSwap{
		own:   own,
		other: make(chan answer, 1),
	}
	cg.pending = side
	cg.mu.Unlock()
	return cg.wait(ctx, side, wait)
}

func (cg *answerSwapper) wait(ctx context.Context, side *pendingSwap, wait time.Duration) answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case other := <-side.other:
		return other
	case <-ctx.Done():
	case <-timer.C:
	}
	cg.mu.Lock()
	defer cg.mu.Unlock()
	if cg.pending == side {
		cg.pending = nil
		return side.own
	}
	return <-side.other
}
