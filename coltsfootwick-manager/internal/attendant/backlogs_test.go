package attendant

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/keeper"
)

// TestLatestBacklogIsKept guards against figures that don't arrive, or that look younger than
// they are.
func TestLatestBacklogIsKept(t *testing.T) {
	fh := startAttendant(t, keeper.New())
	he := newHolderEnd(t, <-fh.accepted)
	_, _, ok := fh.attendant.Backlog("p")
	must.False(t, ok)
	he.distributor.SetBacklogs(time.Now(), map[string]admitter.Backlog{"p": {Cores: 64, IsShort: true}})
	he.receive()
	repliedAt := timekeeper.Now()
	he.flush()
	for !ok {
		_, _, ok = fh.attendant.Backlog("p")
	}
	bl, publishedAt, _ := fh.attendant.Backlog("p")
	must.Eq(t, 64, bl.Cores)
	must.False(t, publishedAt.After(repliedAt))
	_, _, ok = fh.attendant.Backlog("other")
	must.False(t, ok)
}

// TestFiguresOfAnEarlierHolderReplaceNone guards against a connection of an earlier holder
// that ends late.
func TestFiguresOfAnEarlierHolderReplaceNone(t *testing.T) {
	var bl backlogs
	now := time.Unix(1_700_000_000, 0)
	bl.set(map[string]admitter.Backlog{"p": {Cores: 2}}, now)
	bl.set(map[string]admitter.Backlog{"p": {Cores: 1}}, now.Add(-time.Second))
	must.Eq(t, 2, bl.latest.Load().byPool["p"].Cores)
}
