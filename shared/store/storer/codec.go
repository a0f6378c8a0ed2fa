package storer

import (
	"encoding/json"
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
)

// The headers of the service's HTTP protocol.
const (
	// RevisionHeader carries the revision of a key.
	RevisionHeader = "Kv-Revision"
	// ExpectedRevisionHeader carries the revision that a write expects.
	ExpectedRevisionHeader = "Kv-Expected-Revision"
	// LeaseHeader carries the lease of a key.
	LeaseHeader = "Kv-Lease"
)

// Listing is the answer to a list call.
type Listing struct {
	// Entries are the entries, ordered by key.
	Entries []Entry
	// Revision is the revision of the store at which the list was taken.
	Revision Revision
}

// Changes is the answer to a watch call.
type Changes struct {
	// Events are the changes, in the order in which they took effect.
	Events []Event
	// Revision is the revision to continue the watch from.
	Revision Revision
}

type wireListing struct {
	Revision Revision    `json:"revision"`
	Entries  []wireEntry `json:"entries"`
}

type wireEntry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease"`
}

type wireChanges struct {
	Revision Revision    `json:"revision"`
	Events   []wireEvent `json:"events"`
}

type wireEvent struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
	Deleted  bool     `json:"deleted"`
}

type wireLease struct {
	Lease LeaseID `json:"lease"`
}

type wireVMs struct {
	VMs []wireVM `json:"vms"`
}

type wireVM struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	Pool    string         `json:"pool,omitempty"`
	State   VMState        `json:"state"`
	Boot    uint64         `json:"boot"`
}

// EncodeListing returns a listing as JSON.
func EncodeListing(ls Listing) ([]byte, error) {
	wl := wireListing{
		Revision: ls.Revision,
		Entries:  make([]wireEntry, 0, len(ls.Entries)),
	}
	for _, et := range ls.Entries {
		wl.Entries = append(wl.Entries, wireEntry(et))
	}
	return encode(wl)
}

// DecodeListing parses the output of EncodeListing.
func DecodeListing(data []byte) (Listing, error) {
	var wl wireListing
	if err := decode(data, &wl); err != nil {
		return Listing{}, err
	}
	ls := Listing{
		Revision: wl.Revision,
		Entries:  make([]Entry, 0, len(wl.Entries)),
	}
	for _, we := range wl.Entries {
		ls.Entries = append(ls.Entries, Entry(we))
	}
	return ls, nil
}

// EncodeChanges returns changes as JSON.
func EncodeChanges(cs Changes) ([]byte, error) {
	wc := wireChanges{
		Revision: cs.Revision,
		Events:   make([]wireEvent, 0, len(cs.Events)),
	}
	for _, ev := range cs.Events {
		wc.Events = append(wc.Events, wireEvent{
			Key:      ev.Entry.Key,
			Value:    ev.Entry.Value,
			Revision: ev.Entry.Revision,
			Lease:    ev.Entry.Lease,
			Deleted:  ev.Deleted,
		})
	}
	return encode(wc)
}

// DecodeChanges parses the output of EncodeChanges.
func DecodeChanges(data []byte) (Changes, error) {
	var wc wireChanges
	if err := decode(data, &wc); err != nil {
		return Changes{}, err
	}
	cs := Changes{
		Revision: wc.Revision,
		Events:   make([]Event, 0, len(wc.Events)),
	}
	for _, we := range wc.Events {
		cs.Events = append(cs.Events, Event{
			Entry: Entry{
				Key:      we.Key,
				Value:    we.Value,
				Revision: we.Revision,
				Lease:    we.Lease,
			},
			Deleted: we.Deleted,
		})
	}
	return cs, nil
}

// EncodeLease returns a lease ID as JSON.
func EncodeLease(id LeaseID) ([]byte, error) {
	return encode(wireLease{
		Lease: id,
	})
}

// DecodeLease parses the output of EncodeLease.
func DecodeLease(data []byte) (LeaseID, error) {
	var wl wireLease
	if err := decode(data, &wl); err != nil {
		return 0, err
	}
	if wl.Lease == 0 {
		return 0, classifier.New(classifier.RecordInvalid, "lease without an ID")
	}
	return wl.Lease, nil
}

// EncodeVMs returns VMs as JSON.
func EncodeVMs(vms []VM) ([]byte, error) {
	wv := wireVMs{
		VMs: make([]wireVM, 0, len(vms)),
	}
	for _, vm := range vms {
		wv.VMs = append(wv.VMs, wireVM(vm))
	}
	return encode(wv)
}

// DecodeVMs parses the output of EncodeVMs.
func DecodeVMs(data []byte) ([]VM, error) {
	var wv wireVMs
	if err := decode(data, &wv); err != nil {
		return nil, err
	}
	vms := make([]VM, 0, len(wv.VMs))
	for _, vm := range wv.VMs {
		if vm.Name == "" || vm.Zone == "" {
			return nil, classifier.New(classifier.RecordInvalid, "VM without a name or an availability zone")
		}
		if vm.State != Live && vm.State != Leaving {
			return nil, classifier.New(classifier.RecordInvalid, "VM %s: unknown state %q", vm.Name, vm.State)
		}
		vms = append(vms, VM(vm))
	}
	return vms, nil
}

func encode(wire any) ([]byte, error) {
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode answer of the platform's service")
	}
	return data, nil
}

func decode(data []byte, wire any) error {
	if err := json.Unmarshal(data, wire); err != nil {
		return classifier.Wrap(err, classifier.RecordInvalid, "decode answer of the platform's service")
	}
	return nil
}
