package reporter

import (
	"encoding/json"

	"coltsfootwick.example/shared/process/classifier"
)

// StatusPath is the path of the status page on a node's OperatorsAddress.
const StatusPath = "/status"

// Status is the content of a node's status page.
type Status struct {
	// Name is the node's name.
	Name string
	// Role is the kind of process.
	Role Role
	// Zone is the node's availability zone.
	Zone string
	// SettingsRevision is the revision of the settings in force, or zero if there
	// are none.
	SettingsRevision uint64
}

// wireStatus is the JSON form of a Status.
type wireStatus struct {
	Name     string `json:"name"`
	Role     Role   `json:"role"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"settingsRevision"`
}

// EncodeStatus returns the JSON form of a status.
func EncodeStatus(st Status) ([]byte, error) {
	data, err := json.Marshal(wireStatus{
		Name:     st.Name,
		Role:     st.Role,
		Zone:     st.Zone,
		Revision: st.SettingsRevision,
	})
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode status of %s", st.Name)
	}
	return data, nil
}

// DecodeStatus parses a status page, or returns a RecordInvalid error. It ignores
// unknown JSON members.
func DecodeStatus(data []byte) (Status, error) {
	var wire wireStatus
	if err := json.Unmarshal(data, &wire); err != nil {
		return Status{}, classifier.Wrap(err, classifier.RecordInvalid, "decode status page")
	}
	if wire.Name == "" {
		return Status{}, classifier.New(classifier.RecordInvalid, "status page without a name")
	}
	return Status{
		Name:             wire.Name,
		Role:             wire.Role,
		Zone:             wire.Zone,
		SettingsRevision: wire.Revision,
	}, nil
}
