package journaler

import (
	"crypto/sha256"
	"net/http"
	"time"
)

const digestBytes = 16

// ID identifies an Idempotency-Key of a service.
type ID [digestBytes]byte

// NewID returns the ID of an Idempotency-Key of the given service.
func NewID(service, key string) ID {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return ID(sum[:digestBytes])
}

// Digest identifies the content of a request.
type Digest [digestBytes]byte

// NewDigest returns the digest of a request.
func NewDigest(method, requestURI string, body []byte) Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(method + "\x00" + requestURI + "\x00"))
	_, _ = hash.Write(body)
	return Digest(hash.Sum(nil)[:digestBytes])
}

// State is the state of a request as far as it has been recorded.
type State int

// The states of a request.
const (
	// Claimed means that the owner may send the request or has sent it.
	Claimed State = iota + 1
	// Finished means that a target completed the request.
	Finished
	// Unresolved means that the request may have run but its outcome is
	// unknown.
	Unresolved
)

// Record is the journal's record of one request. Only its owner changes it.
// Other entries remove it once it has expired.
type Record struct {
	// Digest identifies the content of the request.
	Digest Digest
	// State is the recorded state of the request.
	State State
	// Owner is the incarnation of the entry that claimed the request.
	Owner string
	// Serial distinguishes the claims of the same owner.
	Serial uint64
	// Expires is when the record may be removed.
	Expires time.Time
	// Status is the HTTP status of a finished request's answer.
	Status int
	// Answer is the answer of a finished request; nil if it is not stored.
	Answer *Answer
}

// Answer is the stored answer of a finished request.
type Answer struct {
	// Header holds the headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// isFinal reports whether the record never changes again.
func (rd Record) isFinal() bool { return rd.State != Claimed }
