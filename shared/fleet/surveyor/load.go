// Package surveyor defines the load report of an entry for the stewards of its
// availability zone: the targets that the entry uses, and the urgent demand on
// each pool.
package surveyor

import (
	"encoding/json"

	"coltsfootwick.example/shared/process/classifier"
)

// Path is the path on an entry's operators' port that serves its Load.
const Path = "/load"

// Load is the current load of one entry.
type Load struct {
	// Targets are the targets that the entry's directory lists or that have
	// attempts of the entry in flight.
	Targets []TargetLoad
	// Pools are the pools that the entry sends requests to.
	Pools []PoolLoad
}

// TargetLoad is the load of one entry on one target.
type TargetLoad struct {
	// VM is the target's VM.
	VM string
	// Leaving is true if the entry sends no new work to the target.
	Leaving bool
	// InFlight is the number of the entry's attempts in flight at the target.
	InFlight int
}

// PoolLoad is the urgent demand of one entry on one pool.
type PoolLoad struct {
	// Pool is the pool.
	Pool string
	// UrgentSlots is the number of slots that urgent work uses or waits for.
	UrgentSlots float64
}

type wireLoad struct {
	Targets []wireTargetLoad `json:"targets"`
	Pools   []wirePoolLoad   `json:"pools"`
}

type wireTargetLoad struct {
	VM       string `json:"vm"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"inFlight"`
}

type wirePoolLoad struct {
	Pool        string  `json:"pool"`
	UrgentSlots float64 `json:"urgentSlots"`
}

// Encode returns the load as JSON.
func Encode(ld Load) ([]byte, error) {
	wl := wireLoad{
		Targets: make([]wireTargetLoad, 0, len(ld.Targets)),
		Pools:   make([]wirePoolLoad, 0, len(ld.Pools)),
	}
	for _, tl := range ld.Targets {
		wl.Targets = append(wl.Targets, wireTargetLoad(tl))
	}
	for _, pl := range ld.Pools {
		wl.Pools = append(wl.Pools, wirePoolLoad(pl))
	}
	data, err := json.Marshal(wl)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode load")
	}
	return data, nil
}

// Decode decodes a load that Encode has written. It returns a
// PeerMessageInvalid error if the load is invalid.
func Decode(data []byte) (Load, error) {
	var wl wireLoad
	if err := json.Unmarshal(data, &wl); err != nil {
		return Load{}, classifier.Wrap(err, classifier.PeerMessageInvalid, "decode load")
	}
	var ld Load
	for _, wt := range wl.Targets {
		if wt.VM == "" || wt.InFlight < 0 {
			return Load{}, classifier.New(classifier.PeerMessageInvalid, "load has an invalid entry for target %q: %d attempts in flight", wt.VM, wt.InFlight)
		}
		ld.Targets = append(ld.Targets, TargetLoad(wt))
	}
	for _, wp := range wl.Pools {
		if wp.Pool == "" || wp.UrgentSlots < 0 {
			return Load{}, classifier.New(classifier.PeerMessageInvalid, "load has an invalid entry for pool %q: %g urgent slots", wp.Pool, wp.UrgentSlots)
		}
		ld.Pools = append(ld.Pools, PoolLoad(wp))
	}
	return ld, nil
}
