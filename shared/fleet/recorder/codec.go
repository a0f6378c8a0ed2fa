package recorder

import (
	"encoding/json"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

type wireZone struct {
	Name             string               `json:"name"`
	Epoch            uint64               `json:"epoch"`
	SettingsRevision uint64               `json:"settingsRevision"`
	Floors           map[string]wireFloor `json:"floors"`
	Given            Transfers            `json:"given,omitempty"`
	Received         Transfers            `json:"received,omitempty"`
	VMs              []wireVM             `json:"vms"`
	Audit            []wireAudit          `json:"audit,omitempty"`
}

type wireFloor struct {
	Share       float64 `json:"share"`
	MinMembers  int     `json:"minMembers"`
	MaxDraining float64 `json:"maxDraining"`
}

type wireVM struct {
	Name       string         `json:"name"`
	Rack       string         `json:"rack"`
	Address    netip.AddrPort `json:"address"`
	Pool       string         `json:"pool"`
	State      State          `json:"state"`
	Since      time.Time      `json:"since"`
	Purpose    Purpose        `json:"purpose,omitempty"`
	MoveTo     string         `json:"moveTo,omitempty"`
	Wave       string         `json:"wave,omitempty"`
	Boot       uint64         `json:"boot,omitempty"`
	Maintained time.Time      `json:"maintained,omitzero"`
}

type wireAudit struct {
	ChangeID string    `json:"changeId"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason,omitempty"`
	Change   string    `json:"change"`
}

// Encode returns the record as JSON.
func Encode(ze Zone) ([]byte, error) {
	wz := wireZone{
		Name:             ze.Name,
		Epoch:            ze.Epoch,
		SettingsRevision: ze.SettingsRevision,
		Floors:           make(map[string]wireFloor, len(ze.Floors)),
		Given:            ze.Given,
		Received:         ze.Received,
		VMs:              make([]wireVM, 0, len(ze.VMs)),
	}
	for pool, fr := range ze.Floors {
		wz.Floors[pool] = wireFloor(fr)
	}
	for _, vm := range ze.VMs {
		wz.VMs = append(wz.VMs, wireVM(vm))
	}
	for _, ae := range ze.Audit {
		wz.Audit = append(wz.Audit, wireAudit(ae))
	}
	data, err := json.Marshal(wz)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode record of availability zone %s", ze.Name)
	}
	return data, nil
}

// Decode decodes a record that Encode has written. It ignores unknown fields
// and returns a RecordInvalid error if the record is invalid.
func Decode(data []byte) (Zone, error) {
	var wz wireZone
	if err := json.Unmarshal(data, &wz); err != nil {
		return Zone{}, classifier.Wrap(err, classifier.RecordInvalid, "decode fleet record")
	}
	ze := Zone{
		Name:             wz.Name,
		Epoch:            wz.Epoch,
		SettingsRevision: wz.SettingsRevision,
		Floors:           make(map[string]Floor, len(wz.Floors)),
		Given:            wz.Given.clone(),
		Received:         wz.Received.clone(),
		VMs:              make([]VM, 0, len(wz.VMs)),
	}
	for pool, wf := range wz.Floors {
		ze.Floors[pool] = Floor(wf)
	}
	for _, wv := range wz.VMs {
		ze.VMs = append(ze.VMs, VM(wv))
	}
	for _, wa := range wz.Audit {
		ze.Audit = append(ze.Audit, AuditEntry(wa))
	}
	if err := Check(ze); err != nil {
		return Zone{}, err
	}
	return ze, nil
}
