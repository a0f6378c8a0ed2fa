package guard

// Cause is why a request was refused or a connection closed.
type Cause int

// The causes.
const (
	// StalledClosed: a connection with an incomplete request made room for another one.
	StalledClosed Cause = iota
	// IdleClosed: an idle connection made room for another one.
	IdleClosed
	// HeaderTooLarge: a header section was over its limit.
	HeaderTooLarge
	// HeaderTimeout: a header section was not complete in time.
	HeaderTimeout
	// BodyTooLarge: a body was over its limit.
	BodyTooLarge
	// BodyTimeout: a body did not arrive in time.
	BodyTimeout
	// MemoryExhausted: there was no memory for a body.
	MemoryExhausted
	// BodyClosed: an incomplete body made room for another one, or for a request.
	BodyClosed
	// RequestsExhausted: as many requests were served as may be at once.
	RequestsExhausted
)

// Causes is the number of causes.
const Causes = int(RequestsExhausted) + 1

// String returns the name of the cause in logs.
func (ca Cause) String() string {
	return [Causes]string{
		StalledClosed:     "stalledClosed",
		IdleClosed:        "idleClosed",
		HeaderTooLarge:    "headerTooLarge",
		HeaderTimeout:     "headerTimeout",
		BodyTooLarge:      "bodyTooLarge",
		BodyTimeout:       "bodyTimeout",
		MemoryExhausted:   "memoryExhausted",
		BodyClosed:        "bodyClosed",
		RequestsExhausted: "requestsExhausted",
	}[ca]
}
