package generator

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// balancer picks the entries of one zone in turn. It leaves out those that
// refused a connection, for one interval, and those whose last check failed.
type balancer struct {
	interval time.Duration
	entries  []Entry

	mu       sync.Mutex
	next     int
	outUntil []time.Time
	unready  []bool
}

func newBalancer(entries []Entry, interval time.Duration) *balancer {
	return &balancer{
		interval: interval,
		entries:  entries,
		outUntil: make([]time.Time, len(entries)),
		unready:  make([]bool, len(entries)),
	}
}

// pick returns the next entry in turn that is not out and is not the avoided
// one; when there is none, the next one in turn.
func (br *balancer) pick(now time.Time, avoided netip.AddrPort) netip.AddrPort {
	br.mu.Lock()
	defer br.mu.Unlock()
	first := br.next
	br.next = (br.next + 1) % len(br.entries)
	for offset := range br.entries {
		index := (first + offset) % len(br.entries)
		address := br.entries[index].Address
		if address != avoided && !br.unready[index] && !br.outUntil[index].After(now) {
			br.next = (index + 1) % len(br.entries)
			return address
		}
	}
	return br.entries[first].Address
}

// leaveOut takes an entry out for one interval.
func (br *balancer) leaveOut(address netip.AddrPort, now time.Time) {
	br.mu.Lock()
	defer br.mu.Unlock()
	for index, ey := range br.entries {
		if ey.Address == address {
			br.outUntil[index] = now.Add(br.interval)
		}
	}
}

// watch asks each entry's readiness once an interval until ctx ends.
func (br *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(br.interval)
	defer ticker.Stop()
	for {
		for index, ey := range br.entries {
			if ey.Check.IsValid() {
				br.setReady(index, isReady(ctx, ey.Check, br.interval))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (br *balancer) setReady(index int, ready bool) {
	br.mu.Lock()
	defer br.mu.Unlock()
	br.unready[index] = !ready
}

func isReady(ctx context.Context, check netip.AddrPort, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+check.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}
