package scheduler

// rack is a failure domain with the use of its targets, as counted last.
type rack struct {
	slots    int
	inFlight int
}

// load returns the load on each slot.
func (rk *rack) load() float64 { return float64(rk.inFlight) / float64(max(rk.slots, 1)) }

// assignRacks gives each target its rack.
func (ft *fleet) assignRacks() {
	racks := map[string]*rack{}
	for _, tt := range ft.targets {
		if racks[tt.Rack] == nil {
			racks[tt.Rack] = &rack{}
		}
		tt.rack = racks[tt.Rack]
	}
}

// countRacks counts the use of all racks.
func (ft *fleet) countRacks() {
	for _, tt := range ft.targets {
		*tt.rack = rack{}
	}
	for _, tt := range ft.targets {
		tt.rack.slots += tt.capacity()
		tt.rack.inFlight += tt.inFlight
	}
}
