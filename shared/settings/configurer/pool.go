package configurer

// Pool contains the effective settings of one pool, including the values
// inherited from the organisation.
type Pool struct {
	// Name is the pool's name, unique in the organisation.
	Name string
	// Spare is true for the pool that holds the spare VMs.
	Spare bool
	// MinVMs is the minimum number of VMs of the pool in all availability zones
	// together.
	MinVMs int
	// MaxVMs is the maximum number of VMs of the pool in all availability zones
	// together.
	MaxVMs int
	// MaxDraining is the maximum share, from 0 to 1, of the pool's VMs in an
	// availability zone that may be out of service for maintenance at once.
	MaxDraining float64
}
