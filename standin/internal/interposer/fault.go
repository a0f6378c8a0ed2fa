package interposer

import "time"

// Fault is a fault of the connections: Delay, Cut, Silence or Reset.
type Fault interface{ isFault() }

// Delay delays the bytes that arrive at the proxy while it is in force. It keeps
// their order.
type Delay struct {
	// Direction is the direction that is delayed.
	Direction Direction
	// Duration is the shortest delay, and Jitter the range of what is added at
	// random.
	Duration, Jitter time.Duration
}

// Cut holds the bytes of a direction until it is no longer in force, as a
// partition does. They are then delivered, unless their sender has reset the
// connection. While the forward direction is cut, attempts to connect hang.
type Cut struct {
	// Direction is the direction that is cut.
	Direction Direction
}

// Silence discards all further bytes of the connections that are open when it is
// set, without closing them. Later connections work.
type Silence struct{}

// Reset resets the connections that are open when it is set.
type Reset struct{}

func (Delay) isFault()   {}
func (Cut) isFault()     {}
func (Silence) isFault() {}
func (Reset) isFault()   {}

// Direction is a direction of a connection, or both.
type Direction int

// The directions. Forward is from the client to the server.
const (
	Both Direction = iota
	Forward
	Backward
)

// The indexes of the directions.
const (
	forward = iota
	backward
	directions
)

// includes reports whether a direction is the one with an index, or both.
func (dr Direction) includes(index int) bool {
	return dr == Both || dr == Forward && index == forward || dr == Backward && index == backward
}
