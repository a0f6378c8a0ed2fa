package demonstrator

import (
	"context"
	"net/http"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// The lengths of the demo's faults.
const (
	warmUp       = 2 * time.Second
	outageLength = 2 * time.Second
	stopTimeout  = 15 * time.Second
	cutLength    = 4 * time.Second
)

// faultSteps disturb the system while the load runs. The killed entry, the
// stopped entry, the cut zone and the crashed target are in different zones.
func faultSteps() []step {
	return []step{
		{
			name: "kill an entry under load, start it again",
			run:  killEntry,
		},
		{
			name: "stop an entry as planned, start it again",
			run:  stopEntry,
		},
		{
			name: "crash a target, bring it back",
			run:  crashTarget,
		},
		{
			name: "cut a zone off from the platform; it goes on serving",
			run:  cutZone,
		},
	}
}

func (se *stage) killedEntry() nodeLayout { return se.layout.Zones[0].Entries[0] }

func (se *stage) stoppedEntry() nodeLayout { return se.layout.Zones[1].Entries[0] }

func killEntry(ctx context.Context, se *stage) error {
	nl := se.killedEntry()
	wait(ctx, warmUp)
	if err := se.nodes[nl.Name].Kill(); err != nil {
		return err
	}
	wait(ctx, outageLength)
	return restart(ctx, se, nl)
}

func stopEntry(ctx context.Context, se *stage) error {
	nl := se.stoppedEntry()
	if err := se.nodes[nl.Name].Stop(stopTimeout); err != nil {
		return err
	}
	return restart(ctx, se, nl)
}

func restart(ctx context.Context, se *stage, nl nodeLayout) error {
	if err := se.startNode(entryProgram, nl); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return awaitOK(ctx, nl.Operators, "/readyz")
}

func crashTarget(ctx context.Context, se *stage) error {
	tl := se.layout.Zones[1].targetOf(pools[0])
	if err := post(ctx, tl, `{"fault":"crash"}`); err != nil {
		return err
	}
	wait(ctx, outageLength)
	return post(ctx, tl, `{"fault":"none"}`)
}

func post(ctx context.Context, tl targetLayout, body string) error {
	status, err := ask(ctx, http.MethodPost, tl.Admin, "/faults", body)
	if err == nil && status != http.StatusNoContent {
		return classifier.New(classifier.Internal, "target %s: status %d", tl.Name, status)
	}
	return err
}

// cutZone cuts a zone off, asks its entries for an answer in the meantime, and
// heals the cut.
func cutZone(ctx context.Context, se *stage) error {
	zl := se.layout.Zones[2]
	if err := setPlatformFaults(ctx, se, `{"faults":[{"kind":"cut","zone":"`+zl.Name+`","refuse":true}]}`); err != nil {
		return err
	}
	wait(ctx, cutLength)
	served := askEntries(ctx, zl)
	if err := setPlatformFaults(ctx, se, `{"faults":[]}`); err != nil {
		return err
	}
	return served
}

func setPlatformFaults(ctx context.Context, se *stage, body string) error {
	status, err := ask(ctx, http.MethodPost, se.layout.PlatformAdmin, "/faults", body)
	if err == nil && status >= http.StatusBadRequest {
		return classifier.New(classifier.Internal, "platform's faults: status %d", status)
	}
	return err
}

func askEntries(ctx context.Context, zl zoneLayout) error {
	for _, nl := range zl.Entries {
		status, err := ask(ctx, http.MethodGet, nl.Address, "/"+pools[0]+"/check", "")
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return classifier.New(classifier.Internal, "%s in the cut zone: status %d", nl.Name, status)
		}
	}
	return nil
}
