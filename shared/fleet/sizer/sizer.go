package sizer

import (
	"math"
	"time"
)

// Pool is the sizer's view of a pool in one availability zone.
type Pool struct {
	// Name is the pool's name.
	Name string
	// VMs is the number of VMs in service in the zone, by rack.
	VMs map[string]int
	// Lost is the number of the pool's VMs in the zone that are quarantined.
	Lost int
	// Arriving is the number of VMs in the zone that are out of service and will
	// be in service in the pool.
	Arriving int
	// MinMembers is the minimum number of VMs of the pool in the zone.
	MinMembers int
	// MinInService is the availability budget: the minimum share of the pool's
	// VMs in all zones that must be in service.
	MinInService float64
	// InServiceAllZones is the number of the pool's VMs in service in all zones.
	InServiceAllZones int
	// LargestRack is the maximum number of the pool's VMs in service in one rack
	// of any zone.
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

// Move moves one VM from one pool to another.
type Move struct {
	// From is the source pool.
	From string
	// To is the destination pool.
	To string
	// ReplacesLost is true if the VM replaces a lost VM of To, which is
	// reassigned to From in exchange.
	ReplacesLost bool
	// Reason is the reason for the move, for the audit trail.
	Reason string
}

// Sizer plans the moves of one availability zone.
type Sizer struct {
	spare        string
	urgentSlots  float64
	minGain      float64
	minGainRatio float64
	interval     time.Duration
	lastMove     time.Time
}

// The defaults of a Sizer.
const (
	// DefaultUrgentSlots is the number of slots of a VM that urgent work may
	// use while long work waits.
	DefaultUrgentSlots = 6
	// DefaultMinGain is the minimum gain of a move: the additional urgent
	// demand, as a mean number of slots, that the destination pool meets.
	DefaultMinGain = 0.3
	// DefaultMinGainRatio is the minimum ratio of the gain of the destination
	// pool to the loss of the source pool.
	DefaultMinGainRatio = 2
	// DefaultInterval is the minimum time between two moves, except for moves
	// that replace lost VMs.
	DefaultInterval = 2 * time.Hour
)

// Option configures a Sizer.
type Option func(*Sizer)

// WithUrgentSlots sets the number of slots of a VM that urgent work may use
// while long work waits.
func WithUrgentSlots(slots float64) Option {
	return func(sr *Sizer) { sr.urgentSlots = slots }
}

// WithMinGain sets the minimum gain of a move, as a mean number of slots.
func WithMinGain(slots float64) Option {
	return func(sr *Sizer) { sr.minGain = slots }
}

// WithInterval sets the minimum time between two moves, except for moves that
// replace lost VMs.
func WithInterval(interval time.Duration) Option {
	return func(sr *Sizer) { sr.interval = interval }
}

// New returns a Sizer for the given spare pool.
func New(spare string, opts ...Option) *Sizer {
	sr := &Sizer{
		spare:        spare,
		urgentSlots:  DefaultUrgentSlots,
		minGain:      DefaultMinGain,
		minGainRatio: DefaultMinGainRatio,
		interval:     DefaultInterval,
	}
	for _, opt := range opts {
		opt(sr)
	}
	return sr
}

// Buffer returns the number of spare VMs that the zone needs to keep every
// availability budget if any rack of the zone is lost while a maintenance wave
// has a rack of any zone out of service. Only the VMs that a pool lacks after
// both outages are counted, so pools that are spread over racks and zones need
// few spare VMs.
func (sr *Sizer) Buffer(pools []Pool) int {
	buffer := 0
	for _, rack := range racksOf(pools, sr.spare) {
		missing := 0
		for _, pl := range pools {
			if pl.Name == sr.spare {
				continue
			}
			needed := int(math.Ceil(pl.MinInService*float64(pl.InServiceAllZones) - shareTolerance))
			remaining := pl.InServiceAllZones - pl.VMs[rack] - pl.LargestRack
			missing += max(needed-remaining, 0)
		}
		buffer = max(buffer, missing)
	}
	return buffer
}

// shareTolerance prevents a share that is a whole number of VMs from being
// rounded up because of floating-point error.
const shareTolerance = 1e-9

// gain returns the additional urgent demand, in slots, that a pool meets with
// one more VM.
func (sr *Sizer) gain(er *Estimator, pl Pool) float64 {
	slots := sr.urgentSlots * float64(pl.Size()+pl.Arriving)
	return er.Unmet(pl.Name, slots) - er.Unmet(pl.Name, slots+sr.urgentSlots)
}

// loss returns the urgent demand, in slots, that a pool no longer meets with
// one VM less.
func (sr *Sizer) loss(er *Estimator, pl Pool) float64 {
	slots := sr.urgentSlots * float64(pl.Size()+pl.Arriving)
	return er.Unmet(pl.Name, slots-sr.urgentSlots) - er.Unmet(pl.Name, slots)
}
