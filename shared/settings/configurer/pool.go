package configurer

// Pool is the effective settings of one pool.
type Pool struct {
	// Name is the pool's name, unique in the organisation.
	Name string
	// Spare is true for the pool that holds the spare VMs.
	Spare bool
	// MinVMs is the least number of VMs of the pool over all availability zones.
	MinVMs int
	// MaxVMs is the greatest number of VMs of the pool over all availability zones.
	MaxVMs int
	// MaxDraining is the greatest share, from 0 to 1, of the pool's VMs in an
	// availability zone that may be out of service for maintenance at once.
	MaxDraining float64
}
