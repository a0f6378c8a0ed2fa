package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
)

// deployment is one availability zone of a user.
type deployment struct {
	name string
	// targets is the number of targets of each service in the zone.
	targets []int
}

// The zones of the brief: five services of 8 to 12 VMs over four and over three
// availability zones.
var (
	addis = deployment{
		name:    "Addis",
		targets: []int{2, 2, 2, 3, 3},
	}
	sul = deployment{
		name:    "Sul",
		targets: []int{3, 3, 3, 4, 4},
	}
)

const (
	slotsPerTarget = 8
	// meanLoad is the mean share of its slots that a service asks for, half of
	// it urgent and half long work.
	meanLoad = 0.25
	// floodFactor is a flood's demand in means.
	floodFactor = 5

	mostUrgent    = 0
	leastUrgent   = 6
	urgentService = 150 * time.Millisecond
	longService   = 20 * time.Second
	urgentTimeout = 10 * time.Second
	longTimeout   = 30 * time.Minute
	serviceSpread = 0.5
	targetsOfRack = 4
)

// settings returns the built-in settings of a service.
func settings() scheduler.Config {
	return scheduler.Config{
		LongFrom:         5,
		LongShare:        0.25,
		MaxQueued:        512,
		MaxQueuedBytes:   16 << 20,
		MaxQueueDelay:    time.Second,
		TargetQueueDelay: 100 * time.Millisecond,
		RetryShare:       0.08,
		MaxEjectedShare:  0.3,
	}
}

// targetsOf names the targets of a service, racks by racks.
func targetsOf(count int) []scheduler.Target {
	var targets []scheduler.Target
	for i := range count {
		targets = append(targets, scheduler.Target{
			VM:    fmt.Sprintf("vm%02d", i+1),
			Rack:  fmt.Sprintf("rack%d", i/targetsOfRack+1),
			Slots: slotsPerTarget,
		})
	}
	return targets
}

// urgentStream returns urgent work that fills a share of the slots.
func urgentStream(urgency, slots int, load func(since time.Duration) float64, peak float64) *stream {
	perSlot := float64(slots) / urgentService.Seconds()
	return &stream{
		urgency:    urgency,
		repeatable: true,
		timeout:    urgentTimeout,
		rate:       func(since time.Duration) float64 { return load(since) * perSlot },
		peak:       peak * perSlot,
		service:    urgentService,
		spread:     serviceSpread,
	}
}

// longStream returns long work that fills a share of the slots.
func longStream(slots int, load func(since time.Duration) float64, peak float64) *stream {
	perSlot := float64(slots) / longService.Seconds()
	return &stream{
		urgency:    leastUrgent,
		repeatable: true,
		timeout:    longTimeout,
		rate:       func(since time.Duration) float64 { return load(since) * perSlot },
		peak:       peak * perSlot,
		service:    longService,
		spread:     serviceSpread,
	}
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// within returns a load that lasts for a window.
func within(wi window, load float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if wi.contains(since) {
			return load
		}
		return 0
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }
