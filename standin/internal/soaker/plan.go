package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

// Settings are the sizes of a play.
type Settings struct {
	// Managers is the number of managers.
	Managers int
	// Duration is how long callers send requests.
	Duration time.Duration
	// HasRestarts is true if workers also crash to be back under their IDs, and are cut
	// off soon after. The plans of a seed without it are those of earlier versions.
	HasRestarts bool
	// ZoneRestarts describe a plan in which all workers of an availability zone restart
	// at once. It is nil for a plan of random faults.
	ZoneRestarts *ZoneRestarts
	// HasKeys is true if callers need keys of teams.
	HasKeys bool
}

// Plan is what happens in a play.
type Plan struct {
	Settings
	Seed uint64
	VMs  []VM
	// JobRate is the number of jobs that callers submit in a second, and LongShare the
	// share of them whose tasks take longFactor times as long.
	JobRate, LongShare float64
	// Routes are those of the first configuration. The last one has the same prefixes.
	Routes []Route
	// HasLinkFaults is true if connections lead through proxies.
	HasLinkFaults bool
	// AdvisedPrefix is the prefix of the queue that has an advice service, or empty.
	AdvisedPrefix string
	// Moments are ordered by their time.
	Moments []Moment
}

// VM is a VM of a play.
type VM struct {
	Name, Pool string
	// Clock is the error of the clocks of its workers.
	Clock provider.Clock
}

// Moment is an event with its time since the start of the play.
type Moment struct {
	At    time.Duration
	Event Event
}

// pools are the pools with queues.
var pools = []string{"checks", "batches"}

// racks are the labels of the VMs' racks, in turn.
var racks = []string{"r1", "r2"}

// vmCapacity is the capacity of each VM.
var vmCapacity = modeller.Resources{
	MilliCores: 8000,
	MemoryMB:   32_000,
}

// The times of the faults.
const (
	// maxBurst is the longest series of faults, and maxCalm the longest time
	// between two series.
	maxBurst = 8 * time.Second
	maxCalm  = 9 * time.Second
	// maxEventGap is the longest time between two events of a series.
	maxEventGap = 900 * time.Millisecond
	maxRestart  = 1500 * time.Millisecond
	// earlyHangup is the time after the start of a process in which it may not yet
	// have a handler of signals.
	earlyHangup = 15 * time.Millisecond
	maxFreeze   = 4 * time.Second
	// maxMeanDelay is the mean of a delay of up to 2.6 s.
	maxMeanDelay  = 1733 * time.Millisecond
	minMeanDelay  = 100 * time.Millisecond
	maxStoreFault = 7 * time.Second
	waveDuration  = 20 * time.Second
)

// The demand, in thousandths of the capacity of the pools.
const (
	maxDemandPerMille   = 450
	shortDemandPerMille = 1000
)

// planner draws a plan.
type planner struct {
	rand  *rand.Rand
	plan  Plan
	kinds []func(pr *planner) Event
	// isPlanned is true for planned work alone.
	isPlanned bool
	// routes are those of the latest configuration, and removed those that have to
	// be put back.
	routes, removed []Route
	version         int64
	waves           int64
	lost            int
}

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64, settings Settings) Plan {
	pr := &planner{
		rand: rand.New(rand.NewPCG(seed, uint64(settings.Managers))),
		plan: Plan{
			Settings: settings,
			Seed:     seed,
		},
	}
	if settings.ZoneRestarts != nil {
		pr.drawZoneRestarts()
		return pr.plan
	}
	pr.drawPools()
	pr.drawKinds()
	pr.drawMoments()
	// Faults of links and workers have a generator of their own, so that plans
	// without them stay the same.
	pr.rand = rand.New(rand.NewPCG(seed, linkStream))
	if pr.plan.HasLinkFaults = !pr.isPlanned && pr.rand.IntN(2) == 0; pr.plan.HasLinkFaults {
		pr.plan.AdvisedPrefix = pr.plan.Routes[pr.rand.IntN(len(pr.plan.Routes))].Prefix
		for number := range pr.plan.VMs {
			pr.plan.VMs[number].Clock = pr.clock()
		}
		pr.plan.Moments = append(pr.plan.Moments, pr.drawLinkMoments()...)
		if settings.HasRestarts {
			pr.rand = rand.New(rand.NewPCG(seed, restartStream))
			pr.plan.Moments = append(pr.plan.Moments, pr.drawRestarts()...)
		}
	}
	if settings.HasKeys {
		pr.rand = rand.New(rand.NewPCG(seed, keyStream))
		pr.plan.Moments = append(pr.plan.Moments, pr.drawKeyChanges()...)
	}
	slices.SortStableFunc(pr.plan.Moments, func(a, b Moment) int { return cmp.Compare(a.At, b.At) })
	return pr.plan
}

// linkStream selects the generator of the faults of links and workers, restartStream
// that of the workers that are back under their IDs, and keyStream that of the keys.
const (
	linkStream    = 1 << 32
	restartStream = 2 << 32
	keyStream     = 3 << 32
)

// until returns a random duration of at least low and below high.
func (pr *planner) until(low, high time.Duration) time.Duration {
	return low + time.Duration(pr.rand.Int64N(int64(high-low)))
}

// drawPools draws the VMs and the demand.
func (pr *planner) drawPools() {
	isShort := pr.rand.IntN(4) == 0
	room := 0.0
	for _, pool := range pools {
		count := 2 + pr.rand.IntN(3)
		if isShort {
			count = 1 + pr.rand.IntN(2)
		}
		for number := range count {
			pr.plan.VMs = append(pr.plan.VMs, VM{
				Name: fmt.Sprintf("m-%s-%d", pool, number),
				Pool: pool,
			})
			room += float64(vmCapacity.MilliCores) / 1000
		}
		pr.routes = append(pr.routes, Route{
			Name:   "r-" + pool,
			Prefix: "/" + pool + "/",
			Pool:   pool,
		})
	}
	pr.plan.Routes = slices.Clone(pr.routes)
	for number := range pr.rand.IntN(3) {
		pr.plan.VMs = append(pr.plan.VMs, VM{
			Name: fmt.Sprintf("m-standby-%d", number),
			Pool: provider.StandbyPool,
		})
	}
	perMille := 100 + pr.rand.IntN(maxDemandPerMille-100)
	if isShort {
		perMille = shortDemandPerMille
	}
	pr.plan.JobRate = room * float64(perMille) / 1000 / meanJobWork.Seconds()
}

// drawKinds draws the kinds of events. Each seed leaves some out, so that the effect
// of the others isn't hidden. Some seeds have planned work alone, with a slow store.
func (pr *planner) drawKinds() {
	planned := []func(pr *planner) Event{(*planner).hangup, (*planner).hangup, (*planner).slow, (*planner).slow, (*planner).configure, (*planner).wave}
	unplanned := []func(pr *planner) Event{(*planner).stop, (*planner).kill, (*planner).killAll, (*planner).freeze,
		(*planner).storeFault, (*planner).storeFault, (*planner).crash}
	if pr.rand.IntN(3) == 0 {
		pr.isPlanned = true
		pr.kinds = append(planned, (*planner).stop, (*planner).stop, (*planner).stop)
		return
	}
	for _, kind := range slices.Concat(planned, unplanned) {
		if pr.rand.IntN(2) == 0 {
			pr.kinds = append(pr.kinds, kind)
		}
	}
	pr.kinds = append(pr.kinds, (*planner).stop)
}

// drawMoments draws series of events with calm times between them.
func (pr *planner) drawMoments() {
	at := pr.until(time.Second, 3*time.Second)
	for at < pr.plan.Duration {
		for end := at + pr.until(time.Second, maxBurst); at < end && at < pr.plan.Duration; at += pr.until(0, maxEventGap) {
			pr.plan.Moments = append(pr.plan.Moments, Moment{
				At:    at,
				Event: pr.kinds[pr.rand.IntN(len(pr.kinds))](pr),
			})
		}
		at += pr.until(0, maxCalm)
	}
	pr.plan.Moments = append(pr.plan.Moments, Moment{
		At:    pr.plan.Duration,
		Event: pr.putBack(),
	})
}

func (pr *planner) manager() int { return pr.rand.IntN(pr.plan.Managers) }

// hangupAfterStart returns when a process gets SIGHUP after its start.
func (pr *planner) hangupAfterStart() time.Duration {
	if pr.rand.IntN(2) == 0 {
		return 0
	}
	return pr.until(time.Microsecond, earlyHangup)
}

func (pr *planner) stop() Event {
	return Stop{
		Manager: pr.manager(),
		Restart: pr.until(0, maxRestart),
		Hangup:  pr.hangupAfterStart(),
	}
}

func (pr *planner) kill() Event {
	return Kill{
		Manager: pr.manager(),
		Restart: pr.until(0, maxRestart),
		Hangup:  pr.hangupAfterStart(),
	}
}

func (pr *planner) killAll() Event {
	return KillAll{
		Restart: pr.until(0, maxRestart),
	}
}

func (pr *planner) freeze() Event {
	return Freeze{
		Manager:  pr.manager(),
		Duration: pr.until(10*time.Millisecond, maxFreeze),
	}
}

func (pr *planner) hangup() Event {
	return Hangup{
		Manager: pr.manager(),
	}
}

func (pr *planner) slow() Event {
	delay := maxMeanDelay
	if pr.rand.IntN(2) == 0 {
		delay = pr.until(minMeanDelay, maxMeanDelay)
	}
	return StoreFault{
		Kind:     storeSlow,
		Manager:  everyManager,
		Duration: pr.until(time.Second, maxStoreFault),
		Delay:    delay,
		Share:    1,
	}
}

func (pr *planner) storeFault() Event {
	sf := StoreFault{
		Manager:  pr.manager(),
		Duration: pr.until(200*time.Millisecond, maxStoreFault),
		Share:    1,
	}
	kinds := []StoreFaultKind{storeDown, storeAnswerLost, storeRefused, storeCut, storeForgotten}
	sf.Kind = kinds[pr.rand.IntN(len(kinds))]
	switch {
	case sf.Kind == storeAnswerLost:
		sf.Share = 0.1 + 0.5*pr.rand.Float64()
	case sf.Kind == storeDown || pr.rand.IntN(4) == 0:
		sf.Manager = everyManager
	}
	return sf
}

// crash returns the crash of a worker. At most a quarter of the VMs are lost for good.
func (pr *planner) crash() Event {
	wc := WorkerCrash{
		VM:      pr.plan.VMs[pr.rand.IntN(len(pr.plan.VMs))].Name,
		Restart: pr.until(100*time.Millisecond, 3*time.Second),
	}
	if pr.rand.IntN(4) == 0 && 4*(pr.lost+1) <= len(pr.plan.VMs) {
		pr.lost++
		wc.Restart = 0
	}
	return wc
}

func (pr *planner) wave() Event {
	pr.waves++
	wv := Wave{
		Number:   pr.waves,
		Cap:      1 + pr.rand.IntN(2),
		Duration: waveDuration,
	}
	for _, number := range pr.rand.Perm(len(pr.plan.VMs))[:1+pr.rand.IntN(len(pr.plan.VMs))] {
		wv.VMs = append(wv.VMs, pr.plan.VMs[number].Name)
	}
	return wv
}

// configure returns a configuration in which a route is renamed, moved to another
// pool, removed or put back.
func (pr *planner) configure() Event {
	if len(pr.removed) > 0 {
		return pr.putBack()
	}
	number := pr.rand.IntN(len(pr.routes))
	rt := &pr.routes[number]
	switch pr.rand.IntN(3) {
	case 0:
		rt.Name = fmt.Sprintf("r-%s-%d", rt.Prefix[1:len(rt.Prefix)-1], pr.version)
	case 1:
		rt.Pool = pools[pr.rand.IntN(len(pools))]
	default:
		pr.removed = append(pr.removed, *rt)
		pr.routes = slices.Delete(pr.routes, number, number+1)
	}
	return pr.configured()
}

// putBack returns the configuration with all routes.
func (pr *planner) putBack() Event {
	pr.routes = append(pr.routes, pr.removed...)
	pr.removed = nil
	return pr.configured()
}

func (pr *planner) configured() Event {
	pr.version += 1 + pr.rand.Int64N(3)
	return Configured{
		Version: pr.version + 1,
		Routes:  slices.Clone(pr.routes),
	}
}

// poolsOf returns the pools to which the routes of a prefix lead.
func (pn Plan) poolsOf(prefix string) []string {
	var found []string
	add := func(routes []Route) {
		for _, rt := range routes {
			if rt.Prefix == prefix {
				found = append(found, rt.Pool)
			}
		}
	}
	add(pn.Routes)
	for _, mt := range pn.Moments {
		if cf, ok := mt.Event.(Configured); ok {
			add(cf.Routes)
		}
	}
	return found
}
