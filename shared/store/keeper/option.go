package keeper

import (
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// The defaults of a Keeper.
const (
	defaultWritesPerSecond = 500
	defaultReadsPerSecond  = 2000
	defaultMaxEvents       = 4096
	defaultMaxEventBytes   = 32 << 20
	defaultListLag         = 3 * time.Second
	defaultRebootTime      = 10 * time.Second
	defaultCallTimeout     = 2 * time.Second
)

// Option is an option of New.
type Option func(*config)

type config struct {
	writesPerSecond float64
	readsPerSecond  float64
	maxEvents       int
	maxEventBytes   int
	listLag         time.Duration
	rebootTime      time.Duration
	rebootHook      func(vm storer.VM)
	vms             []storer.VM
}

func newConfig(opts []Option) config {
	cf := config{
		writesPerSecond: defaultWritesPerSecond,
		readsPerSecond:  defaultReadsPerSecond,
		maxEvents:       defaultMaxEvents,
		maxEventBytes:   defaultMaxEventBytes,
		listLag:         defaultListLag,
		rebootTime:      defaultRebootTime,
		rebootHook:      func(storer.VM) {},
	}
	for _, opt := range opts {
		opt(&cf)
	}
	return cf
}

// WithRates sets the rate limits in calls per second, over all availability zones.
// Zero means no limit.
func WithRates(writes, reads float64) Option {
	return func(cf *config) {
		cf.writesPerSecond = writes
		cf.readsPerSecond = reads
	}
}

// WithHistory limits the events held for watches, by their number and by the total
// size of their values in bytes.
func WithHistory(maxEvents, maxBytes int) Option {
	return func(cf *config) {
		cf.maxEvents = maxEvents
		cf.maxEventBytes = maxBytes
	}
}

// WithListLag sets the time by which the VM list lags behind the VMs.
func WithListLag(lag time.Duration) Option {
	return func(cf *config) { cf.listLag = lag }
}

// WithRebootTime sets how long a VM takes to reboot.
func WithRebootTime(duration time.Duration) Option {
	return func(cf *config) { cf.rebootTime = duration }
}

// WithRebootHook sets a function that is called in its own goroutine for each
// accepted reboot.
func WithRebootHook(hook func(vm storer.VM)) Option {
	return func(cf *config) { cf.rebootHook = hook }
}

// WithVMs sets the initial VMs, which are listed from the start.
func WithVMs(vms ...storer.VM) Option {
	return func(cf *config) { cf.vms = vms }
}
