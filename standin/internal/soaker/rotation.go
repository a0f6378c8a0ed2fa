package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval is the interval of the platform's readiness checks, and
	// missesUntilOut the number of missed checks after which a manager gets no new
	// connections.
	probeInterval  = time.Second
	missesUntilOut = 2
)

// rotation is the platform's selection of the managers that get new connections.
type rotation struct {
	managers []*manager
	client   *http.Client

	mu     sync.Mutex
	misses []int
}

func newRotation(managers []*manager) *rotation {
	ro := &rotation{
		managers: managers,
		client: &http.Client{
			Timeout: probeInterval,
		},
		misses: make([]int, len(managers)),
	}
	for number := range ro.misses {
		ro.misses[number] = missesUntilOut
	}
	return ro
}

// run checks a manager's readiness until the context is done.
func (ro *rotation) run(ctx context.Context, mg *manager) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		isReady := ro.probe(ctx, mg)
		if isReady {
			mg.setReady()
		}
		ro.mu.Lock()
		if isReady {
			ro.misses[mg.number] = 0
		} else {
			ro.misses[mg.number]++
		}
		ro.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (ro *rotation) probe(ctx context.Context, mg *manager) bool {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+mg.node.Ready.String()+"/ready", nil)
	if err != nil {
		return false
	}
	rs, err := ro.client.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// pick returns a manager for a new connection, other than those to avoid as far as
// possible. If fewer than half of the managers are in rotation, all are used.
func (ro *rotation) pick(random *rand.Rand, avoid map[int]bool) *manager {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var ready []*manager
	for _, mg := range ro.managers {
		if ro.misses[mg.number] < missesUntilOut {
			ready = append(ready, mg)
		}
	}
	if 2*len(ready) < len(ro.managers) {
		ready = ro.managers
	}
	var others []*manager
	for _, mg := range ready {
		if !avoid[mg.number] {
			others = append(others, mg)
		}
	}
	if len(others) > 0 {
		ready = others
	}
	return ready[random.IntN(len(ready))]
}

// isAllReady reports whether all managers are in rotation.
func (ro *rotation) isAllReady() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, misses := range ro.misses {
		if misses > 0 {
			return false
		}
	}
	return true
}
