// Package budgeter limits the memory for the bodies of requests and answers, for
// the entry as a whole and for each service, so that an overload of one service
// does not exhaust the memory of the other services.
package budgeter

import "sync/atomic"

// Share is the part of the entry's memory that one service may use. It is safe
// for concurrent use and takes no lock.
type Share struct {
	limit atomic.Int64
	used  atomic.Int64
}

// Reserve reserves bytes of the share, or returns false if too few are available.
func (sh *Share) Reserve(bytes int64) bool {
	if sh.used.Add(bytes) > sh.limit.Load() {
		sh.used.Add(-bytes)
		return false
	}
	return true
}

// Release returns bytes reserved by Reserve.
func (sh *Share) Release(bytes int64) { sh.used.Add(-bytes) }

// Used returns the number of reserved bytes.
func (sh *Share) Used() int64 { return sh.used.Load() }
