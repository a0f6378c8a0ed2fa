package journaler

import "time"

// Claim is the exclusive right to send one request once.
type Claim struct {
	writer *writer
	id     ID
	serial uint64
}

// Finish records that the request was completed. A nil answer means that the
// answer is not stored. The record is kept until expires.
func (cm *Claim) Finish(status int, answer *Answer, expires time.Time) {
	cm.writer.enqueue(completion{
		id:      cm.id,
		serial:  cm.serial,
		state:   Finished,
		status:  status,
		answer:  answer,
		expires: expires,
	})
}

// MarkUnresolved records that the request may have run but its outcome is
// unknown. The record is kept until expires.
func (cm *Claim) MarkUnresolved(expires time.Time) {
	cm.writer.enqueue(completion{
		id:      cm.id,
		serial:  cm.serial,
		state:   Unresolved,
		expires: expires,
	})
}

// Release removes the claim of a request that no target can have read, so that
// the request may be sent again.
func (cm *Claim) Release() {
	cm.writer.enqueue(release{
		id:     cm.id,
		serial: cm.serial,
	})
}
