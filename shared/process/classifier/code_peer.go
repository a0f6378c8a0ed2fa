package classifier

// Result codes of peers.
const (
	// PeerUnauthorised means: the peer has no valid certificate.
	PeerUnauthorised Code = 601
	// PeerMessageInvalid means: the peer's message can't be decoded.
	PeerMessageInvalid Code = 602
	// PeerUnreachable means: the peer can't be reached.
	PeerUnreachable Code = 603
	// KeysInvalid means: a key or certificate file can't be used.
	KeysInvalid Code = 604
)

var peerCodes = []Description{
	{
		Code:    PeerUnauthorised,
		Name:    "peerUnauthorised",
		Summary: "The peer has no valid certificate.",
		Remedy:  "Issue one with cfw keys.",
	},
	{
		Code:    PeerMessageInvalid,
		Name:    "peerMessageInvalid",
		Summary: "The peer's message can't be decoded.",
		Remedy:  "Check the versions of both.",
	},
	{
		Code:    PeerUnreachable,
		Name:    "peerUnreachable",
		Summary: "The peer can't be reached.",
		Remedy:  "Check the network between the two.",
	},
	{
		Code:    KeysInvalid,
		Name:    "keysInvalid",
		Summary: "A key or certificate file can't be used.",
		Remedy:  "Make it again with cfw keys.",
	},
}
