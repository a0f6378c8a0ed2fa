package recorder

import (
	"fmt"
	"slices"
	"time"
)

// MaxAuditEntries is the number of changes that a record keeps.
const MaxAuditEntries = 200

// AuditEntry is one change in the audit trail.
type AuditEntry struct {
	// ChangeID identifies the change.
	ChangeID string
	// Time is when it was made, by its author's clock.
	Time time.Time
	// Author names the operator or the steward who made it.
	Author string
	// Reason is the author's text.
	Reason string
	// Change says what was changed.
	Change string
}

// note adds a change to the audit trail and drops the oldest beyond MaxAudit.
func (ze *Zone) note(ae AuditEntry) {
	ze.Audit = append(ze.Audit, ae)
	if len(ze.Audit) > MaxAuditEntries {
		ze.Audit = slices.Delete(ze.Audit, 0, len(ze.Audit)-MaxAuditEntries)
	}
}

// holds reports whether the audit trail has a change.
func (ze Zone) holds(changeID string) bool {
	return slices.ContainsFunc(ze.Audit, func(ae AuditEntry) bool { return ae.ChangeID == changeID })
}

// Describe says in one line what a change changes.
func Describe(change Change) string {
	switch ch := change.(type) {
	case Register:
		return fmt.Sprintf("register VM %s in pool %s", ch.VM.Name, ch.VM.Pool)
	case SetFloors:
		return fmt.Sprintf("take the floors of settings revision %d", ch.Revision)
	case Drain:
		if ch.Purpose == MovePurpose {
			return fmt.Sprintf("drain VM %s to move it to pool %s", ch.VM, ch.MoveTo)
		}
		return fmt.Sprintf("drain VM %s for wave %s", ch.VM, ch.Wave)
	case Advance:
		return fmt.Sprintf("%s VM %s", ch.Event, ch.VM)
	case Reassign:
		return fmt.Sprintf("give quarantined VM %s to pool %s", ch.VM, ch.To)
	case GiveBudget:
		return fmt.Sprintf("give %.2f VMs of pool %s's budget to availability zone %s", ch.Amount.VMs(), ch.Pool, ch.To)
	case ReceiveBudget:
		return fmt.Sprintf("receive pool %s's budget from availability zone %s, %.2f VMs in all", ch.Pool, ch.From, ch.Total.VMs())
	default:
		return fmt.Sprintf("%T", change)
	}
}
