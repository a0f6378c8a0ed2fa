package lister

import (
	"context"
	"sync"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// Shared is a storer.Fleet whose list is read at most once in an interval,
// however many duties ask for it. It is safe for concurrent use.
type Shared struct {
	storer.Fleet
	interval time.Duration

	mu   sync.Mutex
	vms  []storer.VM
	read time.Time
}

// NewShared returns a Shared over a platform's fleet.
func NewShared(fleet storer.Fleet, interval time.Duration) *Shared {
	return &Shared{
		Fleet:    fleet,
		interval: interval,
	}
}

// VMs implements storer.Fleet. The list must not be changed. Callers that come
// while the list is being read wait for it.
func (sd *Shared) VMs(ctx context.Context) ([]storer.VM, error) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	// A caller that asks once in each interval finds its own last list just as
	// old as the interval; it has to get a new one.
	const freshness = 2
	if !sd.read.IsZero() && time.Since(sd.read) < sd.interval/freshness {
		return sd.vms, nil
	}
	vms, err := sd.Fleet.VMs(ctx)
	if err != nil {
		return nil, err
	}
	sd.vms = vms
	sd.read = time.Now()
	return vms, nil
}
