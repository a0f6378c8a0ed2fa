package classifier

// Result codes of peers.
const (
	// PeerUnauthorised means that the peer has no valid certificate.
	PeerUnauthorised Code = 601
	// PeerMessageInvalid means that the peer's message can't be decoded.
	PeerMessageInvalid Code = 602
	// PeerUnreachable means that the peer is unreachable.
	PeerUnreachable Code = 603
	// KeysInvalid means that a key or certificate file can't be used.
	KeysInvalid Code = 604
)

var peerCodes = []Description{
	{
		Code:    PeerUnauthorised,
		Name:    "peerUnauthorised",
		Summary: "The peer has no valid certificate.",
		Remedy:  "Issue a certificate with cfw keys.",
	},
	{
		Code:    PeerMessageInvalid,
		Name:    "peerMessageInvalid",
		Summary: "The peer's message can't be decoded.",
		Remedy:  "Check that both peers run compatible versions.",
	},
	{
		Code:    PeerUnreachable,
		Name:    "peerUnreachable",
		Summary: "The peer can't be reached.",
		Remedy:  "Check the network between the peers.",
	},
	{
		Code:    KeysInvalid,
		Name:    "keysInvalid",
		Summary: "A key or certificate file can't be used.",
		Remedy:  "Issue the file again with cfw keys.",
	},
}
