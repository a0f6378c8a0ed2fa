package journaler

import (
	"crypto/sha256"
	"net/http"
	"time"
)

const digestBytes = 16

// ID identifies an Idempotency-Key of a service.
type ID [digestBytes]byte

// NewID returns the ID of a service's Idempotency-Key.
func NewID(service, key string) ID {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return ID(sum[:digestBytes])
}

// Digest identifies what a request asks for.
type Digest [digestBytes]byte

// NewDigest returns the digest of a request.
func NewDigest(method, requestURI string, body []byte) Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(method + "\x00" + requestURI + "\x00"))
	_, _ = hash.Write(body)
	return Digest(hash.Sum(nil)[:digestBytes])
}

// State tells what is known of a request.
type State int

// The states of a request.
const (
	// Claimed means that the owner may send the request, or has sent it.
	Claimed State = iota + 1
	// Finished means that a target ran the request to its end.
	Finished
	// Unresolved means that the request may have run.
	Unresolved
)

// Record is what the journal holds of one request. Only its owner changes it;
// others remove it once it has expired.
type Record struct {
	// Digest identifies what the request asked for.
	Digest Digest
	// State tells what is known.
	State State
	// Owner is the incarnation of the entry that claimed the request.
	Owner string
	// Serial tells the owner's claims apart.
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

// final returns true if the record never changes again.
func (rd Record) final() bool { return rd.State != Claimed }
