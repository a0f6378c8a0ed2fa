package scheduler

// rack is a failure domain. Its slots and attempts in flight are those of the
// last call of countRacks.
type rack struct {
	slots    int
	inFlight int
}

// load returns the load per slot.
func (rk *rack) load() float64 { return float64(rk.inFlight) / float64(max(rk.slots, 1)) }

// assignRacks sets the rack of each target.
func (ft *fleet) assignRacks() {
	racks := map[string]*rack{}
	for _, tt := range ft.targets {
		if racks[tt.Rack] == nil {
			racks[tt.Rack] = &rack{}
		}
		tt.rack = racks[tt.Rack]
	}
}

// countRacks recounts the slots and attempts in flight of all racks.
func (ft *fleet) countRacks() {
	for _, tt := range ft.targets {
		*tt.rack = rack{}
	}
	for _, tt := range ft.targets {
		tt.rack.slots += tt.capacity()
		tt.rack.inFlight += tt.inFlight
	}
}
