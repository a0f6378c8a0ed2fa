package commander

import (
	"strconv"
	"time"

	"coltsfootwick.example/cfw/internal/printer"
)

// settingsHistoryCommand lists the revisions.
type settingsHistoryCommand struct {
	Limit int `default:"20" help:"The greatest number of revisions."`
}

// Help returns examples.
func (settingsHistoryCommand) Help() string {
	return `Lists the accepted changes, newest first. The first one is in force.

Examples:

    cfw settings history
    cfw settings history --limit 5 --output json`
}

// Run implements the command.
func (sh *settingsHistoryCommand) Run(se *session) error {
	rp, err := se.repository()
	if err != nil {
		return err
	}
	records, err := rp.History(se.ctx, sh.Limit)
	if err != nil {
		return err
	}
	view := printer.View{
		Header: []string{"REVISION", "TIME", "AUTHOR", "REASON", "CHANGE"},
	}
	wire := []wireRecord{}
	for _, rc := range records {
		wire = append(wire, newWireRecord(rc))
		view.Rows = append(view.Rows, []string{strconv.FormatUint(rc.Revision, 10), timeText(rc.Time), rc.Author, rc.Reason, rc.ChangeID})
	}
	view.Wire = wire
	return se.printer.Show(view)
}

// timeText formats a time in UTC to the second, or the zero time as an empty text.
func timeText(when time.Time) string {
	if when.IsZero() {
		return ""
	}
	return when.UTC().Format(time.RFC3339)
}
