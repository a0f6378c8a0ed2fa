package publisher

import (
	"slices"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/store/storer"
)

// view is the publisher's view of its availability zone.
type view struct {
	zone   string
	record *recorder.Zone
	lists  *listTracker
	// isSynced is true once the record, or its absence, has been read.
	isSynced bool
	// hasList is true once the platform's list has been read.
	hasList bool
	// isDisconnected is true while the record can't be followed.
	isDisconnected bool
	// lastWritten are the targets last written, or nil before the first write.
	lastWritten []registrar.Target
}

func newView(zone string) *view {
	return &view{
		zone:  zone,
		lists: newListTracker(zone),
	}
}

// isReady reports whether the directory can be composed: the record has been
// synced, and either it exists or the platform's list has been read.
func (vw *view) isReady() bool { return vw.isSynced && (vw.hasList || vw.record != nil) }

func (vw *view) addList(vms []storer.VM) {
	vw.hasList = true
	vw.lists.add(vms)
}

// applyRecordEvent updates the view from a change of the fleet record. If the
// record can't be decoded, the previous one stays in place.
func (vw *view) applyRecordEvent(ev storer.Event) error {
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

// addKnown adds the VMs of a stored directory as if a list had contained them.
func (vw *view) addKnown(dy registrar.Directory) {
	for _, tt := range dy.Targets {
		state := storer.Live
		if tt.State == registrar.Leaving {
			state = storer.Leaving
		}
		vw.lists.addKnown(storer.VM{
			Name:    tt.VM,
			Zone:    vw.zone,
			Rack:    tt.Rack,
			Address: tt.Address,
			Pool:    tt.Pool,
			State:   state,
		})
	}
}

func (vw *view) targets() []registrar.Target { return composeTargets(vw.record, vw.lists) }

func (vw *view) isLastWritten(targets []registrar.Target) bool {
	return vw.lastWritten != nil && slices.Equal(vw.lastWritten, targets)
}

func (vw *view) setLastWritten(targets []registrar.Target) {
	vw.lastWritten = targets
	if targets == nil {
		vw.lastWritten = []registrar.Target{}
	}
}
