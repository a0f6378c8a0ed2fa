package storer

import (
	"time"
)

// Notice is a notification from Follow to its handler: Changed, Synced or
// Disconnected.
type Notice interface {
	notice()
}

// Changed reports a key that was written or deleted. The revisions reported for a
// key are strictly increasing.
type Changed struct {
	// Event is the change.
	Event Event
}

// Synced reports that the service has just answered and that all changes up to
// a revision have been delivered. It follows every answer, even one without
// changes.
type Synced struct {
	// Revision is the revision up to which all changes have been delivered.
	Revision Revision
	// Age is at least the time since the service had no changes but those
	// delivered.
	Age time.Duration
}

// Disconnected reports a failed call. It is sent once for each failed call; the
// next Synced reports that the service is reachable again.
type Disconnected struct {
	// Err is the error of the call.
	Err error
}

func (Changed) notice()      {}
func (Synced) notice()       {}
func (Disconnected) notice() {}
