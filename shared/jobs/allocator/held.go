package allocator

import (
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// retainedBytes is the memory of an ended job whose state can be queried.
	retainedBytes = 512
	// smallPart is the part of the memory for jobs, as 1/n, that is left to small ones.
	smallPart = 2
)

// WithMaxHeldBytes limits the memory for jobs, as Intake tells. Jobs that are stored are
// held beyond the limit.
func WithMaxHeldBytes(limit int64) Option {
	return func(al *Allocator) { al.maxHeldBytes = limit }
}

// Intake returns which further jobs there is memory for.
func (al *Allocator) Intake() modeller.Intake {
	held := al.heldBytes + int64(len(al.retained))*retainedBytes
	switch {
	case al.maxHeldBytes == 0 || held < al.maxHeldBytes-al.maxHeldBytes/smallPart:
		return modeller.IntakeOpen
	case held < al.maxHeldBytes:
		return modeller.IntakeSmall
	default:
		return modeller.IntakeClosed
	}
}

// countMemory counts the memory of a job until it is deleted.
func (al *Allocator) countMemory(jb *job) {
	jb.heldBytes = jb.info.MemoryBytes()
	al.heldBytes += jb.heldBytes
}
