package leaser

// Notice is a notification about a duty: Acquired, Lost, StandingBy or Retrying.
type Notice interface {
	notice()
}

// Acquired reports that this process has acquired the duty.
type Acquired struct {
	// Epoch is the holder's epoch.
	Epoch uint64
}

// Lost reports that this process no longer holds the duty.
type Lost struct {
	// Epoch is the holder's epoch.
	Epoch uint64
	// Err is the cause, or nil if serve returned without an error.
	Err error
}

// StandingBy reports that another process holds the duty. It is sent after each
// answer of the service while that is the case.
type StandingBy struct{}

// Retrying reports that this process will try to acquire the duty again after a
// pause.
type Retrying struct {
	// Err is the error that caused the retry, or nil.
	Err error
}

func (Acquired) notice()   {}
func (StandingBy) notice() {}
func (Lost) notice()       {}
func (Retrying) notice()   {}
