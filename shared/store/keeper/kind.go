package keeper

// Kind is the kind of a call to the platform's service.
type Kind string

// The kinds of calls.
const (
	KindGet    Kind = "get"
	KindList   Kind = "list"
	KindPut    Kind = "put"
	KindDelete Kind = "delete"
	KindCommit Kind = "commit"
	KindGrant  Kind = "grant"
	KindRenew  Kind = "renew"
	KindRevoke Kind = "revoke"
	KindWatch  Kind = "watch"
	KindVMs    Kind = "vms"
	KindReboot Kind = "reboot"
)

// IsWrite reports whether calls of this kind change the state of the service.
func (kd Kind) IsWrite() bool {
	switch kd {
	case KindGet, KindList, KindWatch, KindVMs:
		return false
	default:
		return true
	}
}
