package sizer

import (
	"math"
	"time"
)

// Pool is a pool in one availability zone as the sizer sees it.
type Pool struct {
	// Name is the pool's name.
	Name string
	// VMs is the number of VMs in service in the zone, by rack.
	VMs map[string]int
	// Lost is the number of the pool's VMs in the zone that are quarantined.
	Lost int
	// Arriving is the number of VMs on their way into service in the zone.
	Arriving int
	// MinMembers is the least number of VMs of the pool in the zone.
	MinMembers int
	// MinInService is the availability budget, a share of the VMs in all zones.
	MinInService float64
	// Everywhere is the number of the pool's VMs in service in all zones.
	Everywhere int
	// LargestRack is the greatest number of the pool's VMs in one rack of any
	// zone.
	LargestRack int
}

// Size returns the number of VMs in service in the zone.
func (pl Pool) Size() int {
	size := 0
	for _, count := range pl.VMs {
		size += count
	}
	return size
}

// Move gives one VM of a pool to another pool.
type Move struct {
	// From is the pool that gives.
	From string
	// To is the pool that gets.
	To string
	// MakesUp is true if the VM takes the place of a lost one, which goes to
	// the pool From in exchange.
	MakesUp bool
	// Reason says why, for the audit trail.
	Reason string
}

// Sizer decides the moves of one availability zone.
type Sizer struct {
	spare      string
	urgentSlot float64
	minGain    float64
	advantage  float64
	interval   time.Duration
	lastMove   time.Time
}

// The bounds of a Sizer without options.
const (
	// DefaultUrgentSlots is the number of slots of a VM that urgent work may
	// use while long work waits.
	DefaultUrgentSlots = 6
	// DefaultMinGain is the least mean number of slots that a moved VM has to
	// add to the urgent demand met.
	DefaultMinGain = 0.3
	// DefaultAdvantage is how many times more a VM has to bring to the pool
	// that gets it than it brought to the pool that gives it.
	DefaultAdvantage = 2
	// DefaultInterval is the least time between two moves that no lost VM
	// calls for.
	DefaultInterval = 2 * time.Hour
)

// Option changes a Sizer.
type Option func(*Sizer)

// WithUrgentSlots sets the number of slots of a VM that urgent work may use.
func WithUrgentSlots(slots float64) Option {
	return func(sr *Sizer) { sr.urgentSlot = slots }
}

// WithMinGain sets the least mean number of slots that a moved VM has to add to
// the urgent demand met.
func WithMinGain(slots float64) Option {
	return func(sr *Sizer) { sr.minGain = slots }
}

// WithInterval sets the least time between two moves that no lost VM calls for.
func WithInterval(interval time.Duration) Option {
	return func(sr *Sizer) { sr.interval = interval }
}

// New returns a Sizer that takes VMs from the spare pool and returns them to it.
func New(spare string, opts ...Option) *Sizer {
	sr := &Sizer{
		spare:      spare,
		urgentSlot: DefaultUrgentSlots,
		minGain:    DefaultMinGain,
		advantage:  DefaultAdvantage,
		interval:   DefaultInterval,
	}
	for _, opt := range opts {
		opt(sr)
	}
	return sr
}

// Buffer returns the number of spare VMs that the zone needs so that every
// availability budget holds when any rack of the zone is lost while a wave has
// a rack of any zone out of service. What a pool has beyond its budget comes
// first, so pools that are spread over racks and zones need few spare VMs.
func (sr *Sizer) Buffer(pools []Pool) int {
	buffer := 0
	for _, rack := range racksOf(pools, sr.spare) {
		missing := 0
		for _, pl := range pools {
			if pl.Name == sr.spare {
				continue
			}
			needed := int(math.Ceil(pl.MinInService*float64(pl.Everywhere) - shareTolerance))
			left := pl.Everywhere - pl.VMs[rack] - pl.LargestRack
			missing += max(needed-left, 0)
		}
		buffer = max(buffer, missing)
	}
	return buffer
}

// shareTolerance keeps a share that is a whole number of VMs from being rounded
// up by the error of its binary representation.
const shareTolerance = 1e-9

// gain returns the urgent demand, in slots, that one more VM lets a pool meet.
func (sr *Sizer) gain(er *Estimator, pl Pool) float64 {
	slots := sr.urgentSlot * float64(pl.Size()+pl.Arriving)
	return er.Unmet(pl.Name, slots) - er.Unmet(pl.Name, slots+sr.urgentSlot)
}

// loss returns the urgent demand, in slots, that a pool no longer meets with
// one VM less.
func (sr *Sizer) loss(er *Estimator, pl Pool) float64 {
	slots := sr.urgentSlot * float64(pl.Size()+pl.Arriving)
	return er.Unmet(pl.Name, slots-sr.urgentSlot) - er.Unmet(pl.Name, slots)
}
