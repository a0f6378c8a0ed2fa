package commander

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/settings/configurer"
)

// auditCommand shows the audit trail.
type auditCommand struct {
	Limit int `default:"20" help:"The greatest number of entries."`
}

// wireAudit is an entry of the audit trail as JSON.
type wireAudit struct {
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	Area     string    `json:"area"`
	ChangeID string    `json:"changeId"`
	Change   string    `json:"change"`
	Reason   string    `json:"reason"`
}

// Help returns examples.
func (auditCommand) Help() string {
	return `Shows who changed what, when and why: the revisions of the settings with their differences, and the changes that each availability zone's fleet record keeps (its latest 200).

Examples:

    cfw audit
    cfw audit --limit 100 --output json`
}

// Run implements the command.
func (ad *auditCommand) Run(se *session) error {
	entries, err := ad.settings(se)
	if err != nil {
		return err
	}
	fleet, err := ad.fleet(se)
	if err != nil {
		return err
	}
	entries = append(entries, fleet...)
	slices.SortStableFunc(entries, func(left, right wireAudit) int {
		return right.Time.Compare(left.Time)
	})
	entries = entries[:min(len(entries), ad.Limit)]
	view := printer.View{
		Header: []string{"TIME", "AUTHOR", "AREA", "REASON", "CHANGE"},
		Wire:   entries,
	}
	for _, entry := range entries {
		view.Rows = append(view.Rows, []string{timeText(entry.Time), entry.Author, entry.Area, entry.Reason, shorten(entry.Change)})
	}
	return se.printer.Show(view)
}

// settings returns the audit entries of the latest revisions. It reads one more
// revision than it shows, since each entry is a difference from the previous one.
func (ad *auditCommand) settings(se *session) ([]wireAudit, error) {
	rp, err := se.repository()
	if err != nil {
		return nil, err
	}
	records, err := rp.History(se.ctx, ad.Limit+1)
	if err != nil {
		return nil, err
	}
	entries := []wireAudit{}
	for index, rc := range records[:min(len(records), ad.Limit)] {
		before := ""
		if index+1 < len(records) {
			before = records[index+1].Source
		}
		changes, err := configurer.Difference([]byte(before), []byte(rc.Source))
		if err != nil {
			return nil, err
		}
		entries = append(entries, wireAudit{
			Time:     rc.Time,
			Author:   rc.Author,
			Area:     "settings",
			ChangeID: rc.ChangeID,
			Change:   fmt.Sprintf("revision %d: %s", rc.Revision, strings.Join(differenceLines(changes), "; ")),
			Reason:   rc.Reason,
		})
	}
	return entries, nil
}

// fleet returns the audit entries of the fleet records.
func (ad *auditCommand) fleet(se *session) ([]wireAudit, error) {
	store, _, err := se.store()
	if err != nil {
		return nil, err
	}
	zones, err := recorder.NewRepository(store).Zones(se.ctx)
	if err != nil {
		return nil, err
	}
	entries := []wireAudit{}
	for _, ze := range zones {
		for _, entry := range ze.Audit {
			entries = append(entries, wireAudit{
				Time:     entry.Time,
				Author:   entry.Author,
				Area:     "zone " + ze.Name,
				ChangeID: entry.ChangeID,
				Change:   entry.Change,
				Reason:   entry.Reason,
			})
		}
	}
	return entries, nil
}

// maxShownBytes is the maximum length of a change in the table. JSON has its full
// text.
const maxShownBytes = 120

// shorten truncates a text to maxShownBytes, at the end of a part if possible.
func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	kept := text[:maxShownBytes]
	if end := strings.LastIndex(kept, ";"); end > 0 {
		kept = kept[:end]
	}
	return strings.ToValidUTF8(kept, "") + "; ..."
}
