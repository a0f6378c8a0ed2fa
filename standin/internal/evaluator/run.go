package evaluator

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/sizer"
)

// Outcome is what one run of a policy showed.
type Outcome struct {
	// BufferShare is the mean share of all VMs in the spare pool that the
	// sizer asks for as buffer.
	BufferShare float64
	// SpareShare is the mean share of all VMs that stood in the spare pool.
	SpareShare float64
	// MovesPerDay is the number of VMs that changed their pool a day.
	MovesPerDay float64
	// UnmetUrgent is the share of the urgent demand that found no slot.
	UnmetUrgent float64
	// BudgetBreaks is the number of seconds in which a planned move or wave
	// had more of a pool out of service than its budget allows.
	BudgetBreaks int
	// WaveDays is the number of days whose wave ended.
	WaveDays int
	// WaveTime is the mean time from the start of a wave to its end.
	WaveTime time.Duration
}

// The times that VMs take.
const (
	drainTime   = 20 * time.Second
	moveTime    = 60 * time.Second
	rebootTime  = 3 * time.Minute
	replaceTime = 2 * time.Hour
	tick        = time.Second

	maintainInterval = 10 * time.Second
	waveAt           = 2 * time.Hour
	rackLossAt       = 11 * time.Hour
	day              = 24 * time.Hour
)

// run is one policy at work on one deployment.
type run struct {
	deployment Deployment
	zones      []recorder.Zone
	deciders   []*decider
	demand     *demand
	random     *rand.Rand
	// pools are the names of the services' pools.
	pools []string
	// urgentDemand is the urgent demand on each pool in one zone, in slots; the
	// balancer spreads callers evenly over the zones.
	urgentDemand map[string]float64
	// counts holds the counts of each zone's services.
	counts [][]recorder.Count
	// restless tells which zones have VMs out of service.
	restless []bool
	wave     planner.Wave
	begin    time.Time
	now      time.Time

	moves        int
	urgent       float64
	unmet        float64
	spareSum     float64
	bufferSum    float64
	samples      int
	budgetBreaks int
	waveDays     int
	waveTime     time.Duration
}

// Run measures a policy on a deployment over some days. Each night a wave
// reboots every VM; each day one rack is lost for two hours; campaigns raise
// the demand of one service on some days.
func Run(dt Deployment, policy Policy, days int, seed uint64) Outcome {
	rd := rand.New(rand.NewPCG(seed, 0))
	rn := &run{
		deployment: dt,
		begin:      epoch(),
		now:        epoch(),
		random:     rd,
	}
	for i := range dt.PoolVMs {
		rn.pools = append(rn.pools, poolName(i))
	}
	rn.urgentDemand = map[string]float64{}
	rn.zones = make([]recorder.Zone, dt.Zones)
	rn.counts = make([][]recorder.Count, dt.Zones)
	rn.restless = make([]bool, dt.Zones)
	for i, ze := range rn.deployment.records(rn.begin) {
		rn.replace(i, ze)
	}
	rn.demand = newDemand(dt, days, rd)
	for range rn.zones {
		rn.deciders = append(rn.deciders, newDecider(policy))
	}
	for since := time.Duration(0); since < time.Duration(days)*day; since += tick {
		rn.now = rn.begin.Add(since)
		rn.step(since)
	}
	return rn.outcome(days)
}

func (rn *run) outcome(days int) Outcome {
	vms := 0
	for _, ze := range rn.zones {
		vms += len(ze.VMs)
	}
	total := float64(vms * rn.samples)
	return Outcome{
		BufferShare:  rn.bufferSum / total,
		SpareShare:   rn.spareSum / total,
		MovesPerDay:  float64(rn.moves) / float64(days),
		UnmetUrgent:  rn.unmet / rn.urgent,
		BudgetBreaks: rn.budgetBreaks,
		WaveDays:     rn.waveDays,
		WaveTime:     rn.waveTime / time.Duration(max(rn.waveDays, 1)),
	}
}

func (rn *run) step(since time.Duration) {
	if since%day == waveAt {
		rn.startWave()
	}
	if since%day == rackLossAt {
		rn.loseRack()
	}
	for i, pool := range rn.pools {
		rn.urgentDemand[pool] = rn.demand.at(i, since) * rn.deployment.UrgentShare / float64(len(rn.zones))
	}
	for i := range rn.zones {
		if rn.restless[i] {
			rn.live(i)
		}
		if since%maintainInterval == 0 {
			rn.maintain(i)
		}
		rn.move(i, since)
		rn.serve(i)
	}
	if since%time.Minute == 0 {
		rn.sample()
	}
}

func (rn *run) startWave() {
	wv := planner.Wave{
		Name:        rn.now.Format(time.DateOnly),
		ZonesAtOnce: 1,
		MaxLost:     vmsPerRack,
		State:       planner.Planned,
		Progress:    map[string]planner.Progress{},
	}
	for _, ze := range rn.zones {
		wv.Zones = append(wv.Zones, ze.Name)
	}
	started, err := planner.Step(wv, planner.StartEvent, "nightly", rn.now)
	if err != nil {
		panic(err)
	}
	rn.wave = started
}

// loseRack takes every VM of one rack away; they come back after replaceTime.
func (rn *run) loseRack() {
	zone := rn.random.IntN(len(rn.zones))
	rack := rn.zones[zone].VMs[rn.random.IntN(len(rn.zones[zone].VMs))].Rack
	for _, vm := range rn.zones[zone].VMs {
		if vm.Rack == rack && vm.State != recorder.Quarantined {
			rn.apply(zone, recorder.Advance{
				VM:    vm.Name,
				Event: recorder.LostEvent,
			})
		}
	}
}

// apply applies a change and reports whether the record allowed it.
func (rn *run) apply(zone int, change recorder.Change) bool {
	next, err := recorder.Apply(rn.zones[zone], change, rn.now)
	if err != nil {
		return false
	}
	rn.replace(zone, next)
	return true
}

// replace takes a zone's new record and counts its pools.
func (rn *run) replace(zone int, ze recorder.Zone) {
	rn.zones[zone] = ze
	counts := make([]recorder.Count, len(rn.pools))
	for i, pool := range rn.pools {
		counts[i] = ze.Count(pool)
	}
	rn.counts[zone] = counts
	rn.restless[zone] = false
	for _, vm := range ze.VMs {
		if vm.State != recorder.InService {
			rn.restless[zone] = true
		}
	}
}

// life gives, for each state, the event that ends it and after what time.
var life = map[recorder.State]struct {
	event recorder.Event
	after time.Duration
}{
	recorder.Draining:    {event: recorder.DrainedEvent, after: drainTime},
	recorder.Rebooting:   {event: recorder.UpEvent, after: rebootTime},
	recorder.Checking:    {event: recorder.PassedEvent, after: tick},
	recorder.Moving:      {event: recorder.PassedEvent, after: moveTime},
	recorder.Returning:   {event: recorder.ReturnedEvent, after: tick},
	recorder.Quarantined: {event: recorder.ReleaseEvent, after: replaceTime},
}

func (rn *run) live(zone int) {
	for _, vm := range rn.zones[zone].VMs {
		event := life[vm.State].event
		after := life[vm.State].after
		if vm.State == recorder.Drained {
			event = recorder.RebootEvent
			if vm.Purpose == recorder.MovePurpose {
				event = recorder.MoveEvent
			}
		}
		if event == "" || rn.now.Sub(vm.Since) < after {
			continue
		}
		applied := rn.apply(zone, recorder.Advance{
			VM:    vm.Name,
			Event: event,
		})
		if applied && event == recorder.MoveEvent {
			rn.moves++
		}
	}
}

func (rn *run) maintain(zone int) {
	if rn.wave.Name == "" || planner.WaveChart.HasMark(string(rn.wave.State), "final") {
		return
	}
	wave, _ := planner.UpdateProgress(rn.wave, rn.zones[zone], rn.now)
	rn.wave = wave
	if wave.State == planner.Done {
		rn.waveDays++
		rn.waveTime += rn.now.Sub(wave.Started)
		return
	}
	for _, dn := range planner.NextDrains(wave, rn.zones[zone]) {
		if !rn.apply(zone, dn) {
			rn.borrow(zone, dn)
		}
	}
}

// borrow gets budget from the other zones for a drain and tries it again.
func (rn *run) borrow(zone int, dn recorder.Drain) {
	vm, err := rn.zones[zone].Find(dn.VM)
	if err != nil {
		return
	}
	for _, loan := range planner.PlanLoans(rn.zones, rn.zones[zone].Name, vm.Pool) {
		for i, ze := range rn.zones {
			if ze.Name != loan.From || !rn.apply(i, loan.Change) {
				continue
			}
			rn.apply(zone, recorder.ReceiveBudget{
				Pool:  vm.Pool,
				From:  loan.From,
				Total: rn.zones[i].Given[vm.Pool][rn.zones[zone].Name],
			})
		}
	}
	rn.apply(zone, dn)
}

func (rn *run) move(zone int, since time.Duration) {
	mv, ok := rn.deciders[zone].decide(rn.zones[zone], rn.others(zone), rn.urgentDemand, since)
	if !ok {
		return
	}
	for _, change := range sizer.MoveChanges(rn.zones[zone], mv) {
		dn, drains := change.(recorder.Drain)
		_, following := rn.deciders[zone].policy.(Following)
		switch {
		case following && drains:
			rn.force(zone, dn)
		case !rn.apply(zone, change) && drains:
			rn.borrow(zone, dn)
		}
	}
}

func (rn *run) others(zone int) []recorder.Zone {
	others := slices.Clone(rn.zones[:zone])
	return append(others, rn.zones[zone+1:]...)
}

// force drains a VM although the budget may not allow it, as the baseline does.
func (rn *run) force(zone int, dn recorder.Drain) {
	ze := rn.zones[zone]
	ze.Floors = map[string]recorder.Floor{dn.MoveTo: {}}
	next, err := recorder.Apply(ze, dn, rn.now)
	if err != nil {
		return
	}
	next.Floors = rn.zones[zone].Floors
	rn.replace(zone, next)
}

// urgentSlots is the share of the slots that urgent work may use while long
// work waits.
const urgentSlots = 0.75

// serve counts the urgent demand that finds no slot.
func (rn *run) serve(zone int) {
	for i, pool := range rn.pools {
		ct := rn.counts[zone][i]
		urgent := rn.urgentDemand[pool]
		rn.urgent += urgent
		rn.unmet += max(urgent-urgentSlots*slotsPerVM*float64(ct.InService), 0)
	}
	rn.countBreaks(zone)
}

// countBreaks counts a second in which planned work has more of a pool out of
// service than all zones together allow.
func (rn *run) countBreaks(zone int) {
	if zone != len(rn.zones)-1 {
		return
	}
	for i := range rn.deployment.PoolVMs {
		members, planned := 0, 0
		for _, counts := range rn.counts {
			ct := counts[i]
			members += ct.Members
			planned += ct.PlannedOutages
		}
		if float64(planned) > (1-rn.deployment.MinInService)*float64(members)+1e-9 {
			rn.budgetBreaks++
		}
	}
}

func (rn *run) sample() {
	rn.samples++
	for i, ze := range rn.zones {
		rn.spareSum += float64(ze.Count(sparePool).Members)
		rn.bufferSum += float64(rn.deciders[i].sizer.Buffer(sizer.PoolsOf(ze, rn.others(i))))
	}
}
