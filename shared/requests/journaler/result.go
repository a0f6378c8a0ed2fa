package journaler

// Result is the answer to a demand for a claim: Granted or Found.
type Result interface {
	result()
}

// Granted means that the asker alone may send the request, once.
type Granted struct {
	// Claim ends the right to send the request. One of its methods must be
	// called, and the request must not be sent after that.
	Claim *Claim
}

// Found means that the request was claimed before.
type Found struct {
	// Record is what the journal holds of it.
	Record Record
	// Own is true if the claim is held by the journal that was asked.
	Own bool
}

func (Granted) result() {}
func (Found) result()   {}
