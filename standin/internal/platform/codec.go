package platform

import (
	"bytes"
	"encoding/json"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
)

type wireFaults struct {
	Faults []wireFault `json:"faults"`
}

type wireFault struct {
	Kind   faultKind `json:"kind"`
	Zone   string    `json:"zone,omitempty"`
	Share  *float64  `json:"share,omitempty"`
	Seed   uint64    `json:"seed,omitempty"`
	Delay  string    `json:"delay,omitempty"`
	Refuse bool      `json:"refuse,omitempty"`
}

// faultKind is the wire form of a kind of fault on the admin port.
type faultKind string

const (
	outKind         faultKind = "out"
	slowKind        faultKind = "slow"
	answerLostKind  faultKind = "answerLost"
	watchCutKind    faultKind = "watchCut"
	watchRepeatKind faultKind = "watchRepeat"
	cutKind         faultKind = "cut"
	vmsMissingKind  faultKind = "vmsMissing"
)

type wireCounts struct {
	Total uint64                    `json:"total"`
	Zones map[string]wireZoneCounts `json:"zones"`
}

type wireZoneCounts struct {
	Calls   map[keeper.Kind]uint64 `json:"calls"`
	Limited uint64                 `json:"limited"`
}

// EncodeCounts returns counts as JSON.
func EncodeCounts(ct keeper.Counts) ([]byte, error) {
	wc := wireCounts{
		Total: ct.Total(),
		Zones: map[string]wireZoneCounts{},
	}
	for zone, zc := range ct.Zones {
		wc.Zones[zone] = wireZoneCounts(zc)
	}
	return json.Marshal(wc)
}

// EncodeFaults returns faults as JSON.
func EncodeFaults(faults []keeper.Fault) ([]byte, error) {
	wf := wireFaults{
		Faults: make([]wireFault, 0, len(faults)),
	}
	for _, ft := range faults {
		wf.Faults = append(wf.Faults, toWire(ft))
	}
	return json.Marshal(wf)
}

// DecodeFaults returns the faults in a body such as
// {"faults":[{"kind":"slow","zone":"a","share":0.5,"seed":1,"delay":"200ms"}]}.
// A fault without a share affects all calls.
func DecodeFaults(data []byte) ([]keeper.Fault, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var wf wireFaults
	if err := decoder.Decode(&wf); err != nil {
		return nil, classifier.Wrap(err, classifier.MalformedRequest, "faults")
	}
	faults := make([]keeper.Fault, 0, len(wf.Faults))
	for _, wire := range wf.Faults {
		ft, err := fromWire(wire)
		if err != nil {
			return nil, err
		}
		faults = append(faults, ft)
	}
	return faults, nil
}

func toWire(ft keeper.Fault) wireFault {
	switch ft := ft.(type) {
	case keeper.Outage:
		return wireScope(outKind, ft.Scope)
	case keeper.Slow:
		wf := wireScope(slowKind, ft.Scope)
		wf.Delay = ft.Delay.String()
		return wf
	case keeper.AnswerLost:
		return wireScope(answerLostKind, ft.Scope)
	case keeper.WatchBroken:
		return wireScope(watchCutKind, ft.Scope)
	case keeper.WatchReplay:
		return wireScope(watchRepeatKind, ft.Scope)
	case keeper.Partition:
		wf := wireScope(cutKind, ft.Scope)
		wf.Refuse = ft.Refuse
		return wf
	case keeper.VMsMissing:
		return wireScope(vmsMissingKind, ft.Scope)
	default:
		return wireFault{}
	}
}

func wireScope(kind faultKind, sc keeper.Scope) wireFault {
	return wireFault{
		Kind:  kind,
		Zone:  sc.Zone,
		Share: &sc.Share,
		Seed:  sc.Seed,
	}
}

func fromWire(wf wireFault) (keeper.Fault, error) {
	sc := keeper.Scope{
		Zone:  wf.Zone,
		Share: 1,
		Seed:  wf.Seed,
	}
	if wf.Share != nil {
		sc.Share = *wf.Share
	}
	switch wf.Kind {
	case outKind:
		return keeper.Outage{Scope: sc}, nil
	case slowKind:
		delay, err := time.ParseDuration(wf.Delay)
		if err != nil {
			return nil, classifier.Wrap(err, classifier.MalformedRequest, "parse delay of fault slow")
		}
		return keeper.Slow{
			Scope: sc,
			Delay: delay,
		}, nil
	case answerLostKind:
		return keeper.AnswerLost{Scope: sc}, nil
	case watchCutKind:
		return keeper.WatchBroken{Scope: sc}, nil
	case watchRepeatKind:
		return keeper.WatchReplay{Scope: sc}, nil
	case cutKind:
		return keeper.Partition{
			Scope:  sc,
			Refuse: wf.Refuse,
		}, nil
	case vmsMissingKind:
		return keeper.VMsMissing{Scope: sc}, nil
	default:
		return nil, classifier.New(classifier.MalformedRequest, "unknown kind of fault %q", wf.Kind)
	}
}
