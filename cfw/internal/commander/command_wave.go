package commander

import (
	"strconv"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/classifier"
)

// wavePlanCommand plans a maintenance wave.
type wavePlanCommand struct {
	Name        string   `arg:"" help:"Name of the wave, used once."`
	Pool        []string `placeholder:"POOL" help:"Pools to maintain; all without it."`
	Zone        []string `placeholder:"ZONE" help:"Availability zones in their order; all by name without it."`
	ZonesAtOnce int      `default:"1" help:"Availability zones maintained at once."`
	MaxLost     int      `default:"1" help:"VMs that may stay away before the wave pauses by itself."`
}

// Help returns examples.
func (wavePlanCommand) Help() string {
	return `Writes down a wave that reboots every VM of some pools, one rack after another and within the availability budgets. It takes no VM until it is started.

Example:

    cfw wave plan kernel-2026-12 --pool claims --max-lost 2`
}

// Run implements the command.
func (wp *wavePlanCommand) Run(se *session) error {
	if err := se.requireAuthor(); err != nil {
		return err
	}
	store, _, err := se.store()
	if err != nil {
		return err
	}
	zones, err := recorder.NewRepository(store).Zones(se.ctx)
	if err != nil {
		return err
	}
	if err := wp.check(zones); err != nil {
		return err
	}
	wv, err := planner.NewRepository(store, planner.WithClock(se.now)).Plan(se.ctx, planner.Wave{
		Name:        wp.Name,
		Pools:       wp.Pool,
		Zones:       wp.Zone,
		ZonesAtOnce: wp.ZonesAtOnce,
		MaxLost:     wp.MaxLost,
		Author:      se.Author,
	})
	if err != nil {
		return err
	}
	return se.showWaves([]planner.Wave{wv})
}

// check sets the default zones and rejects unknown zones and pools and numbers out
// of range.
func (wp *wavePlanCommand) check(zones []recorder.Zone) error {
	known := map[string]bool{}
	pools := map[string]bool{}
	for _, ze := range zones {
		known[ze.Name] = true
		for _, vm := range ze.VMs {
			pools[vm.Pool] = true
		}
	}
	if len(wp.Zone) == 0 {
		for _, ze := range zones {
			wp.Zone = append(wp.Zone, ze.Name)
		}
	}
	for _, zone := range wp.Zone {
		if !known[zone] {
			return classifier.New(classifier.Usage, "no availability zone %q", zone)
		}
	}
	for _, pool := range wp.Pool {
		if !pools[pool] {
			return classifier.New(classifier.PoolUnknown, "no VM belongs to pool %q", pool)
		}
	}
	if wp.ZonesAtOnce < 1 || wp.MaxLost < 0 {
		return classifier.New(classifier.Usage, "--zones-at-once is at least 1 and --max-lost at least 0")
	}
	return nil
}

// waveEventCommand holds the flags of the commands start, pause, resume and cancel.
type waveEventCommand struct {
	Name   string `arg:"" help:"Name of the wave."`
	Reason string `placeholder:"TEXT" help:"Why, shown by cfw wave status."`
}

func (we waveEventCommand) run(se *session, event planner.WaveEvent) error {
	if err := se.requireAuthor(); err != nil {
		return err
	}
	store, _, err := se.store()
	if err != nil {
		return err
	}
	reason := string(event) + " by " + se.Author
	if we.Reason != "" {
		reason += ": " + we.Reason
	}
	wv, err := planner.NewRepository(store, planner.WithClock(se.now)).Command(se.ctx, we.Name, event, reason)
	if err != nil {
		return err
	}
	return se.showWaves([]planner.Wave{wv})
}

// The commands that change the state of a wave.
type (
	waveStartCommand  struct{ waveEventCommand }
	wavePauseCommand  struct{ waveEventCommand }
	waveResumeCommand struct{ waveEventCommand }
	waveCancelCommand struct{ waveEventCommand }
)

// Help returns examples.
func (waveStartCommand) Help() string {
	return `Starts a planned wave. The stewards of its availability zones carry it out.

Example:

    cfw wave start kernel-2026-12`
}

// Run implements the command.
func (wc *waveStartCommand) Run(se *session) error { return wc.run(se, planner.StartEvent) }

// Help returns examples.
func (wavePauseCommand) Help() string {
	return `Pauses a running wave. VMs already out finish and return.

Example:

    cfw wave pause kernel-2026-12 --reason "flood in dispatch"`
}

// Run implements the command.
func (wc *wavePauseCommand) Run(se *session) error { return wc.run(se, planner.PauseEvent) }

// Help returns examples.
func (waveResumeCommand) Help() string {
	return `Lets a paused wave go on. VMs lost so far no longer count against it.

Example:

    cfw wave resume kernel-2026-12 --reason "a-07 was a broken disk"`
}

// Run implements the command.
func (wc *waveResumeCommand) Run(se *session) error { return wc.run(se, planner.ResumeEvent) }

// Help returns examples.
func (waveCancelCommand) Help() string {
	return `Ends a wave. VMs already out finish and return.

Example:

    cfw wave cancel kernel-2026-12 --reason "wrong kernel"`
}

// Run implements the command.
func (wc *waveCancelCommand) Run(se *session) error { return wc.run(se, planner.CancelEvent) }

// waveStatusCommand shows waves.
type waveStatusCommand struct {
	Name string `arg:"" optional:"" help:"Name of the wave; all without it."`
}

// Help returns examples.
func (waveStatusCommand) Help() string {
	return `Shows waves and what each availability zone has reached.

Examples:

    cfw wave status
    cfw wave status kernel-2026-12 --output json`
}

// Run implements the command.
func (ws *waveStatusCommand) Run(se *session) error {
	store, _, err := se.store()
	if err != nil {
		return err
	}
	ry := planner.NewRepository(store)
	if ws.Name == "" {
		waves, err := ry.Waves(se.ctx)
		if err != nil {
			return err
		}
		return se.showWaves(waves)
	}
	wv, err := ry.Wave(se.ctx, ws.Name)
	if err != nil {
		return err
	}
	return se.showWaves([]planner.Wave{wv})
}

// wireWave is a wave as JSON.
type wireWave struct {
	Name   string             `json:"name"`
	State  planner.WaveState  `json:"state"`
	Reason string             `json:"reason"`
	Author string             `json:"author"`
	Zones  []wireWaveProgress `json:"zones"`
}

type wireWaveProgress struct {
	Zone     string `json:"zone"`
	Members  int    `json:"members"`
	Returned int    `json:"returned"`
	Out      int    `json:"out"`
	Lost     int    `json:"lost"`
	Done     bool   `json:"done"`
}

// showWaves shows a row for each availability zone of each wave.
func (se *session) showWaves(waves []planner.Wave) error {
	view := printer.View{
		Header: []string{"WAVE", "STATE", "ZONE", "VMS", "RETURNED", "OUT", "LOST", "REASON"},
	}
	wire := []wireWave{}
	for _, wv := range waves {
		ww := wireWave{
			Name:   wv.Name,
			State:  wv.State,
			Reason: wv.Reason,
			Author: wv.Author,
			Zones:  []wireWaveProgress{},
		}
		for _, zone := range wv.Zones {
			ps := wv.Progress[zone]
			ww.Zones = append(ww.Zones, wireWaveProgress{
				Zone:     zone,
				Members:  ps.Members,
				Returned: ps.Returned,
				Out:      ps.Out,
				Lost:     ps.Lost,
				Done:     ps.Done,
			})
			view.Rows = append(view.Rows, []string{
				wv.Name, string(wv.State), zone, strconv.Itoa(ps.Members), strconv.Itoa(ps.Returned),
				strconv.Itoa(ps.Out), strconv.Itoa(ps.Lost), wv.Reason,
			})
		}
		wire = append(wire, ww)
	}
	view.Wire = wire
	return se.printer.Show(view)
}
