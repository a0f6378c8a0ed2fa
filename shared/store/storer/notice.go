package storer

// Notice is what Follow tells its handler: Changed, Synced or OutOfTouch.
type Notice interface {
	notice()
}

// Changed tells of a changed or deleted key. Each key's revisions only rise.
type Changed struct {
	// Event is the change.
	Event Event
}

// Synced tells that all changes up to a revision have been delivered and that
// the service has just answered. It comes after each answer, also an empty one.
type Synced struct {
	// Revision is the revision.
	Revision Revision
}

// Disconnected tells that a call failed. It comes once for each failed call;
// the next Synced ends it.
type Disconnected struct {
	// Err is the error of the call.
	Err error
}

func (Changed) notice()      {}
func (Synced) notice()       {}
func (Disconnected) notice() {}
