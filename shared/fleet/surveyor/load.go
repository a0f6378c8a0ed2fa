// Package surveyor carries what an entry tells the stewards of its
// availability zone: which targets it uses, and how much urgent demand it sees.
package surveyor

import (
	"encoding/json"

	"coltsfootwick.example/shared/process/classifier"
)

// Path is where an entry's operators' port answers with its Load.
const Path = "/load"

// Load is what one entry carries at a moment.
type Load struct {
	// Targets are the targets that the entry knows or has requests at.
	Targets []TargetLoad
	// Pools are the pools that the entry sends requests to.
	Pools []PoolLoad
}

// TargetLoad is what one entry has at one target.
type TargetLoad struct {
	// VM is the target's VM.
	VM string
	// Leaving is true if the entry sends no new work there.
	Leaving bool
	// InFlight is the number of attempts that run there.
	InFlight int
}

// PoolLoad is the urgent demand that one entry sees for one pool.
type PoolLoad struct {
	// Pool is the pool.
	Pool string
	// UrgentSlots is the number of slots that urgent work keeps busy or waits
	// for.
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

// Decode returns the load that Encode wrote, or a PeerMessageInvalid error.
func Decode(data []byte) (Load, error) {
	var wl wireLoad
	if err := json.Unmarshal(data, &wl); err != nil {
		return Load{}, classifier.Wrap(err, classifier.PeerMessageInvalid, "decode load")
	}
	var ld Load
	for _, wt := range wl.Targets {
		if wt.VM == "" || wt.InFlight < 0 {
			return Load{}, classifier.New(classifier.PeerMessageInvalid, "target %q with %d requests in flight", wt.VM, wt.InFlight)
		}
		ld.Targets = append(ld.Targets, TargetLoad(wt))
	}
	for _, wp := range wl.Pools {
		if wp.Pool == "" || wp.UrgentSlots < 0 {
			return Load{}, classifier.New(classifier.PeerMessageInvalid, "pool %q with %g urgent slots", wp.Pool, wp.UrgentSlots)
		}
		ld.Pools = append(ld.Pools, PoolLoad(wp))
	}
	return ld, nil
}
