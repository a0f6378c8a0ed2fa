// Package reporter provides the reports of nodes to operators: the member records
// in the platform's service and the status pages, with the codecs of both, and a
// collector that fetches the status of many nodes.
package reporter

import (
	"encoding/json"
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Role is the kind of process that a node runs.
type Role string

// The roles of nodes.
const (
	Entry   Role = "entry"
	Steward Role = "steward"
)

// Member is the record that a node stores under a lease while it runs.
type Member struct {
	// Name is the node's name, unique in the organisation.
	Name string
	// Role is the kind of process.
	Role Role
	// Zone is the node's availability zone.
	Zone string
	// Incarnation is unique to each start of the process.
	Incarnation string
	// Address is the address on which an entry accepts requests from callers.
	Address netip.AddrPort
	// PeerAddress is the address on which the node accepts connections from other
	// nodes.
	PeerAddress netip.AddrPort
	// OperatorsAddress is the address on which the node serves its status page.
	OperatorsAddress netip.AddrPort
	// SettingsRevision is the revision of the settings in force when the record
	// was written.
	SettingsRevision uint64
}

// MemberKey returns the key of a node's member record.
func MemberKey(name string) string { return storer.MemberPrefix + name }

// wireMember is the stored form of a Member. Addresses that a node doesn't
// have are empty.
type wireMember struct {
	Name             string         `json:"name"`
	Role             Role           `json:"role"`
	Zone             string         `json:"zone"`
	Incarnation      string         `json:"incarnation,omitempty"`
	Address          netip.AddrPort `json:"address,omitzero"`
	PeerAddress      netip.AddrPort `json:"peerAddress,omitzero"`
	OperatorsAddress netip.AddrPort `json:"operatorsAddress,omitzero"`
	Revision         uint64         `json:"settingsRevision"`
}

// EncodeMember returns the stored form of a member record.
func EncodeMember(mb Member) ([]byte, error) {
	data, err := json.Marshal(wireMember{
		Name:             mb.Name,
		Role:             mb.Role,
		Zone:             mb.Zone,
		Incarnation:      mb.Incarnation,
		Address:          mb.Address,
		PeerAddress:      mb.PeerAddress,
		OperatorsAddress: mb.OperatorsAddress,
		Revision:         mb.SettingsRevision,
	})
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode member record of %s", mb.Name)
	}
	return data, nil
}

// DecodeMember parses the stored form of a member record, or returns a RecordInvalid
// error. It ignores unknown JSON members.
func DecodeMember(data []byte) (Member, error) {
	var wire wireMember
	if err := json.Unmarshal(data, &wire); err != nil {
		return Member{}, classifier.Wrap(err, classifier.RecordInvalid, "decode member record")
	}
	if wire.Name == "" || wire.Role == "" || wire.Zone == "" {
		return Member{}, classifier.New(classifier.RecordInvalid, "member record without a name, role or zone")
	}
	return Member{
		Name:             wire.Name,
		Role:             wire.Role,
		Zone:             wire.Zone,
		Incarnation:      wire.Incarnation,
		Address:          wire.Address,
		PeerAddress:      wire.PeerAddress,
		OperatorsAddress: wire.OperatorsAddress,
		SettingsRevision: wire.Revision,
	}, nil
}
