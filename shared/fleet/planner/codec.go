package planner

import (
	"encoding/json"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

type wireWave struct {
	Name        string                  `json:"name"`
	ChangeID    string                  `json:"changeId"`
	Pools       []string                `json:"pools,omitempty"`
	Zones       []string                `json:"zones"`
	ZonesAtOnce int                     `json:"zonesAtOnce"`
	MaxLost     int                     `json:"maxLost"`
	State       WaveState               `json:"state"`
	Reason      string                  `json:"reason"`
	Author      string                  `json:"author"`
	Started     time.Time               `json:"started,omitzero"`
	Changed     time.Time               `json:"changed"`
	Progress    map[string]wireProgress `json:"progress"`
}

type wireProgress struct {
	Members      int  `json:"members"`
	Returned     int  `json:"returned"`
	Out          int  `json:"out"`
	Lost         int  `json:"lost"`
	AcceptedLost int  `json:"forgiven"`
	Done         bool `json:"done"`
}

// Encode returns the wave as JSON.
func Encode(wv Wave) ([]byte, error) {
	ww := wireWave{
		Name:        wv.Name,
		ChangeID:    wv.ChangeID,
		Pools:       wv.Pools,
		Zones:       wv.Zones,
		ZonesAtOnce: wv.ZonesAtOnce,
		MaxLost:     wv.MaxLost,
		State:       wv.State,
		Reason:      wv.Reason,
		Author:      wv.Author,
		Started:     wv.Started,
		Changed:     wv.Changed,
		Progress:    make(map[string]wireProgress, len(wv.Progress)),
	}
	for zone, ps := range wv.Progress {
		ww.Progress[zone] = wireProgress(ps)
	}
	data, err := json.Marshal(ww)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode wave %s", wv.Name)
	}
	return data, nil
}

// Decode decodes a wave that Encode has written. It ignores unknown fields and
// returns a RecordInvalid error if the record is invalid.
func Decode(data []byte) (Wave, error) {
	var ww wireWave
	if err := json.Unmarshal(data, &ww); err != nil {
		return Wave{}, classifier.Wrap(err, classifier.RecordInvalid, "decode wave")
	}
	if ww.Name == "" || !WaveChart.HasState(string(ww.State)) {
		return Wave{}, classifier.New(classifier.RecordInvalid, "wave %q has no name or an unknown state %q", ww.Name, ww.State)
	}
	wv := Wave{
		Name:        ww.Name,
		ChangeID:    ww.ChangeID,
		Pools:       ww.Pools,
		Zones:       ww.Zones,
		ZonesAtOnce: ww.ZonesAtOnce,
		MaxLost:     ww.MaxLost,
		State:       ww.State,
		Reason:      ww.Reason,
		Author:      ww.Author,
		Started:     ww.Started,
		Changed:     ww.Changed,
		Progress:    make(map[string]Progress, len(ww.Progress)),
	}
	for zone, wp := range ww.Progress {
		wv.Progress[zone] = Progress(wp)
	}
	return wv, nil
}
