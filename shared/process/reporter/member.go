// Package reporter holds what nodes report of themselves to operators: their
// member records in the platform's service and the answers of their status
// page, with the codecs of both and the surveyor that asks them.
package reporter

import (
	"encoding/json"
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Role is the kind of process that a node is.
type Role string

// The roles of nodes.
const (
	Entry   Role = "entry"
	Steward Role = "steward"
)

// Member is the record that a node keeps under a lease while it lives.
type Member struct {
	// Name is the node's name, unique in the organisation.
	Name string
	// Role is the kind of process.
	Role Role
	// Zone is the node's availability zone.
	Zone string
	// Incarnation is different for each start of the process.
	Incarnation string
	// Address is where callers reach an entry.
	Address netip.AddrPort
	// PeerAddress is where other nodes reach the node.
	PeerAddress netip.AddrPort
	// OperatorsAddress is where the node serves its status page.
	OperatorsAddress netip.AddrPort
	// SettingsRevision is the settings revision when the record was written.
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
		return nil, classifier.Wrap(err, classifier.Internal, "member %s can't be encoded", mb.Name)
	}
	return data, nil
}

// DecodeMember returns the member record of a stored form, or a RecordInvalid
// error. JSON members that it doesn't know are passed over.
func DecodeMember(data []byte) (Member, error) {
	var wire wireMember
	if err := json.Unmarshal(data, &wire); err != nil {
		return Member{}, classifier.Wrap(err, classifier.RecordInvalid, "member record")
	}
	if wire.Name == "" || wire.Role == "" || wire.Zone == "" {
		return Member{}, classifier.New(classifier.RecordInvalid, "member record without name, role or zone")
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
