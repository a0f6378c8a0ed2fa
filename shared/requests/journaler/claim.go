package journaler

import "time"

// Claim is the right to send one request once.
type Claim struct {
	writer *writer
	id     ID
	serial uint64
}

// Finish records that the request ran to its end. The answer is nil if it is
// not to be stored. The record is kept until expires.
func (cm *Claim) Finish(status int, answer *Answer, expires time.Time) {
	cm.writer.tell(completion{
		id:      cm.id,
		serial:  cm.serial,
		state:   Finished,
		status:  status,
		answer:  answer,
		expires: expires,
	})
}

// MarkUnresolved records that the request may have run. The record is kept until expires.
func (cm *Claim) MarkUnresolved(expires time.Time) {
	cm.writer.tell(completion{
		id:      cm.id,
		serial:  cm.serial,
		state:   Unresolved,
		expires: expires,
	})
}

// Release removes the claim of a request that no target can have read, so that
// a repeat may be sent.
func (cm *Claim) Release() {
	cm.writer.tell(release{
		id:     cm.id,
		serial: cm.serial,
	})
}
