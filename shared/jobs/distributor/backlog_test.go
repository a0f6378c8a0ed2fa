package distributor

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/admitter"
)

var testBacklog = admitter.Backlog{
	Cores:          63.5,
	TargetCores:    128,
	FreeMilliCores: 1500,
	IsShort:        true,
	Bands: []admitter.Band{
		{Priority: -1, Until: -time.Hour, Work: time.Second},
		{Excess: 2, Priority: 1, Until: 1500 * time.Millisecond, Work: time.Hour},
	},
	Excess: map[string]int{"a": 2, "b": 14},
}

// TestBacklogFollowsAPermission guards against a message that managers of deployments that
// don't ask for it may not know, and against figures from a holder that has lost the duty.
func TestBacklogFollowsAPermission(t *testing.T) {
	di, now := newConnected("k")
	receive := func(isHeld bool) []ToKeeper {
		_, err := di.Receive(now, "k", Ask{Number: 1}, isHeld)
		must.NoError(t, err)
		return di.Outgoing()["k"]
	}
	must.Eq(t, []ToKeeper{Permit{Number: 1}}, receive(true))
	di.SetBacklogs(now.Add(-time.Second), map[string]admitter.Backlog{"p": testBacklog, "idle": {Cores: 1}})
	must.Eq(t, []ToKeeper{
		Permit{Number: 1},
		Backlog{Age: time.Second, Pools: map[string]admitter.Backlog{"p": testBacklog}},
	}, receive(true))
	must.SliceEmpty(t, receive(false))
}

// TestBacklogIsDatedByItsAsk guards against old figures that look new, since their frame was
// held up.
func TestBacklogIsDatedByItsAsk(t *testing.T) {
	kp := NewKeeper()
	now := time.Unix(1_700_000_000, 0)
	receive := func(messages ...ToKeeper) time.Time {
		for _, msg := range messages {
			_, _, err := kp.Receive(msg)
			must.NoError(t, err)
		}
		_, at := kp.Backlogs()
		return at
	}
	bl := Backlog{Age: 100 * time.Millisecond, Pools: map[string]admitter.Backlog{"p": testBacklog}}
	must.True(t, receive(bl).IsZero(), must.Sprint("no permission"))
	first := kp.Ask(now)
	second := kp.Ask(now.Add(AskInterval))
	must.Eq(t, now.Add(-bl.Age), receive(Permit(first), bl))
	must.Eq(t, now.Add(-bl.Age), receive(Permit{Number: 99}, bl), must.Sprint("no such Ask"))
	must.Eq(t, now.Add(AskInterval-bl.Age), receive(Permit(second), bl))
	backlogs, _ := kp.Backlogs()
	must.Eq(t, testBacklog, backlogs["p"])
}

// TestBacklogIsBounded guards against a holder whose figures fill its link, end its
// connections, or take a keeper's memory.
func TestBacklogIsBounded(t *testing.T) {
	backlogs := map[string]admitter.Backlog{}
	for number := range 3 * maxBacklogPools {
		bl := admitter.Backlog{IsShort: true}
		for range admitter.MaxBands {
			bl.Bands = append(bl.Bands, admitter.Band{Priority: 5, Until: 10 * time.Second, Work: time.Duration(number) * time.Minute})
		}
		backlogs[fmt.Sprintf("p%02d", number)] = bl
	}
	chosen := mostWork(backlogs)
	must.MapLen(t, maxBacklogPools, chosen)
	must.MapContainsKey(t, chosen, fmt.Sprintf("p%02d", 3*maxBacklogPools-1))
	must.LessEq(t, 4000, len(AppendToKeeper(nil, Backlog{Pools: chosen})))

	bl := admitter.Backlog{Bands: []admitter.Band{{Work: 10 * maxFigure}}}
	_, err := DecodeToKeeper(AppendToKeeper(nil, Backlog{Age: 10 * maxFigure, Pools: map[string]admitter.Backlog{"p": bl}}))
	must.NoError(t, err)

	tooManyBands := admitter.Backlog{Bands: make([]admitter.Band, admitter.MaxBands+1)}
	tooManyTeams := admitter.Backlog{Excess: map[string]int{}}
	for number := range maxBacklogTeams + 1 {
		tooManyTeams.Excess[fmt.Sprint(number)] = 1
	}
	for _, msg := range []Backlog{
		{Pools: backlogs},
		{Pools: map[string]admitter.Backlog{"p": tooManyBands}},
		{Pools: map[string]admitter.Backlog{"p": tooManyTeams}},
	} {
		_, err := DecodeToKeeper(AppendToKeeper(nil, msg))
		must.Error(t, err)
	}
	frame := AppendToKeeper(nil, Backlog{Pools: map[string]admitter.Backlog{"p": testBacklog}})
	for length := 1; length < len(frame); length++ {
		_, err := DecodeToKeeper(frame[:length])
		must.Error(t, err)
	}
}
