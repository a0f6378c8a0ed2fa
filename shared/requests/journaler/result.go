package journaler

// Result is the result of Journal.Claim: Granted or Found.
type Result interface {
	result()
}

// Granted means that the claim was granted: the request may be sent once, and
// no other entry may send it.
type Granted struct {
	// Claim is the granted claim. One of its methods must be called to end it,
	// after which the request must not be sent.
	Claim *Claim
}

// Found means that the request has been claimed before.
type Found struct {
	// Record is the record of the request.
	Record Record
	// Own is true if the record is a claim held by the same Journal.
	Own bool
}

func (Granted) result() {}
func (Found) result()   {}
