package registrar

import (
	"encoding/json"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

type wireDirectory struct {
	Zone    string       `json:"zone"`
	Epoch   uint64       `json:"epoch"`
	Version uint64       `json:"version"`
	Written time.Time    `json:"written"`
	Targets []wireTarget `json:"targets"`
}

type wireTarget struct {
	VM      string         `json:"vm"`
	Address netip.AddrPort `json:"address"`
	Pool    string         `json:"pool"`
	Rack    string         `json:"rack"`
	State   TargetState    `json:"state"`
}

// Encode returns the directory as JSON.
func Encode(dy Directory) ([]byte, error) {
	wd := wireDirectory{
		Zone:    dy.Zone,
		Epoch:   dy.Epoch,
		Version: dy.Version,
		Written: dy.Written,
		Targets: make([]wireTarget, 0, len(dy.Targets)),
	}
	for _, tt := range dy.Targets {
		wd.Targets = append(wd.Targets, wireTarget(tt))
	}
	data, err := json.Marshal(wd)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode directory of availability zone %s", dy.Zone)
	}
	return data, nil
}

// Decode decodes a directory that Encode has written. It ignores unknown fields
// and returns a RecordInvalid error if the directory is invalid.
func Decode(data []byte) (Directory, error) {
	var wd wireDirectory
	if err := json.Unmarshal(data, &wd); err != nil {
		return Directory{}, classifier.Wrap(err, classifier.RecordInvalid, "decode directory")
	}
	dy := Directory{
		Zone:    wd.Zone,
		Epoch:   wd.Epoch,
		Version: wd.Version,
		Written: wd.Written,
		Targets: make([]Target, 0, len(wd.Targets)),
	}
	for _, wt := range wd.Targets {
		if wt.VM == "" || !wt.Address.IsValid() {
			return Directory{}, classifier.New(classifier.RecordInvalid, "directory contains a target without a VM name or a valid address")
		}
		if wt.State != InService && wt.State != Leaving {
			return Directory{}, classifier.New(classifier.RecordInvalid, "target %s has unknown state %q", wt.VM, wt.State)
		}
		dy.Targets = append(dy.Targets, Target(wt))
	}
	return dy, nil
}
