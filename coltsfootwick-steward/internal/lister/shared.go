package lister

import (
	"context"
	"sync"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// CachingFleet is a storer.Fleet that caches the VM list, so that duties that each
// read it once per interval share one call. It is safe for concurrent use.
type CachingFleet struct {
	storer.Fleet
	interval time.Duration

	mu     sync.Mutex
	vms    []storer.VM
	readAt time.Time
}

// NewCachingFleet returns a CachingFleet that reads from a fleet.
func NewCachingFleet(fleet storer.Fleet, interval time.Duration) *CachingFleet {
	return &CachingFleet{
		Fleet:    fleet,
		interval: interval,
	}
}

// VMs implements storer.Fleet. The list must not be modified. Concurrent calls
// wait for the same read.
func (cf *CachingFleet) VMs(ctx context.Context) ([]storer.VM, error) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	// The cache expires after half an interval: a duty that reads once per
	// interval would otherwise find its own last list still cached.
	const halves = 2
	if !cf.readAt.IsZero() && time.Since(cf.readAt) < cf.interval/halves {
		return cf.vms, nil
	}
	vms, err := cf.Fleet.VMs(ctx)
	if err != nil {
		return nil, err
	}
	cf.vms = vms
	cf.readAt = time.Now()
	return vms, nil
}
