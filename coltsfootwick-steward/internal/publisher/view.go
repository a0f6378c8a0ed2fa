package publisher

import (
	"slices"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/store/storer"
)

// view is what the publisher knows of its availability zone.
type view struct {
	zone   string
	record *recorder.Zone
	seen   *sightings
	// isSynced is true once it is known whether there is a record.
	isSynced bool
	// isListed is true once the platform's list has been read.
	isListed bool
	// isOutOfTouch is true while the record can't be followed.
	isOutOfTouch bool
	// written are the targets written last, or nil before the first write.
	written []registrar.Target
}

func newView(zone string) *view {
	return &view{
		zone: zone,
		seen: newSightings(zone),
	}
}

// isReady reports whether enough is known for a directory: whether there is a
// record, and which VMs the platform lists.
func (vw *view) isReady() bool { return vw.isSynced && (vw.isListed || vw.record != nil) }

func (vw *view) addList(vms []storer.VM) {
	vw.isListed = true
	vw.seen.add(vms)
}

// addRecord takes in a change of the fleet record. A record that can't be
// decoded leaves the one before in place.
func (vw *view) addRecord(ev storer.Event) error {
	if ev.Deleted {
		vw.record = nil
		return nil
	}
	record, err := recorder.Decode(ev.Entry.Value)
	if err != nil {
		return err
	}
	vw.record = &record
	return nil
}

// assume takes in the VMs of a stored directory as if a list had shown them.
func (vw *view) assume(dy registrar.Directory) {
	for _, tt := range dy.Targets {
		state := storer.Live
		if tt.State == registrar.Leaving {
			state = storer.Leaving
		}
		vw.seen.assume(storer.VM{
			Name:    tt.VM,
			Zone:    vw.zone,
			Rack:    tt.Rack,
			Address: tt.Address,
			Pool:    tt.Pool,
			State:   state,
		})
	}
}

func (vw *view) targets() []registrar.Target { return compose(vw.record, vw.seen) }

func (vw *view) isWritten(targets []registrar.Target) bool {
	return vw.written != nil && slices.Equal(vw.written, targets)
}

func (vw *view) setWritten(targets []registrar.Target) {
	vw.written = targets
	if targets == nil {
		vw.written = []registrar.Target{}
	}
}
