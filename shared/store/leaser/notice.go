package leaser

// Notice tells what happens to a duty: Acquired, Lost, StandingBy or Waiting.
type Notice interface {
	notice()
}

// Acquired tells that the duty is held.
type Acquired struct {
	// Epoch is the holder's epoch.
	Epoch uint64
}

// Lost tells that the duty is no longer held.
type Lost struct {
	// Epoch is the holder's epoch.
	Epoch uint64
	// Err is why; nil if the holder gave it up.
	Err error
}

// StandingBy tells that another holds the duty. It comes after each answer of
// the service while that lasts.
type StandingBy struct{}

// Retrying tells that the duty is contended for again after a pause.
type Retrying struct {
	// Err is what went wrong, or nil.
	Err error
}

func (Acquired) notice()   {}
func (StandingBy) notice() {}
func (Lost) notice()       {}
func (Retrying) notice()   {}
