package recorder

import (
	"fmt"
	"slices"
	"time"
)

// MaxAuditEntries is the maximum number of changes in a record's audit trail.
const MaxAuditEntries = 200

// AuditEntry is one change in the audit trail.
type AuditEntry struct {
	// ChangeID identifies the change.
	ChangeID string
	// Time is when the change was made, by the author's clock.
	Time time.Time
	// Author is the operator or the steward that made the change.
	Author string
	// Reason is the author's reason for the change.
	Reason string
	// Change describes the change.
	Change string
}

// appendAudit adds a change to the audit trail and drops the oldest changes
// beyond MaxAuditEntries.
func (ze *Zone) appendAudit(ae AuditEntry) {
	ze.Audit = append(ze.Audit, ae)
	if len(ze.Audit) > MaxAuditEntries {
		ze.Audit = slices.Delete(ze.Audit, 0, len(ze.Audit)-MaxAuditEntries)
	}
}

// hasChange reports whether the audit trail contains the change.
func (ze Zone) hasChange(changeID string) bool {
	return slices.ContainsFunc(ze.Audit, func(ae AuditEntry) bool { return ae.ChangeID == changeID })
}

// Describe returns a one-line description of a change for the audit trail.
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
