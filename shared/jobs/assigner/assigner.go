// Package assigner decides which manager keeps the session with which worker.
// It performs no I/O and reads no clock.
//
// A worker's keeper is chosen by weighted rendezvous hashing among the keepers of
// its availability zone, or among all if the zone has too few, as long as the
// keeper's share is not exceeded. So a keeper that joins or leaves moves its own
// share only.
package assigner

import (
	"cmp"
	"math"
	"slices"

	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// maxOverload is the ratio of the largest load of a keeper to its share of
	// the workers that are assigned among the same keepers.
	maxOverload = 1.25
	// maxZoneLoad is the ratio of a zone's workers for each unit of its keepers'
	// capacity to that of all zones, up to which the zone's keepers keep them.
	// They always keep up to minZoneWorkers each.
	maxZoneLoad    = 3
	minZoneWorkers = 8
)

// KeeperID identifies a manager that keeps sessions.
type KeeperID string

// Keeper is a manager that keeps sessions with workers.
type Keeper struct {
	// ID identifies the keeper.
	ID KeeperID
	// Zone is its availability zone.
	Zone string
	// Capacity is its weight relative to other keepers; it is positive.
	Capacity float64
}

// keeperState is a keeper with its load.
type keeperState struct {
	Keeper
	// workers counts the workers that are assigned to the keeper.
	workers int
}

// workerState is a worker with its keeper.
type workerState struct {
	zone   string
	keeper *keeperState
	// avoided is a keeper that cannot reach the worker, or empty.
	avoided KeeperID
}

// Assigner assigns workers to keepers.
type Assigner struct {
	keepers map[KeeperID]*keeperState
	workers map[modeller.WorkerID]*workerState
	// zones holds the keepers of each zone, and all of them under allZones.
	zones map[string]*zoneState
}

// zoneState is the keepers and the workers of a zone.
type zoneState struct {
	keepers  []*keeperState
	capacity float64
	workers  int
}

// allZones is the name of the set of all keepers and workers.
const allZones = ""

// New returns an Assigner without keepers and workers.
func New() *Assigner {
	return &Assigner{
		keepers: map[KeeperID]*keeperState{},
		workers: map[modeller.WorkerID]*workerState{},
		zones:   map[string]*zoneState{allZones: {}},
	}
}

// AddKeeper adds a keeper, which takes over its share of the workers. A keeper
// that is there is replaced.
func (as *Assigner) AddKeeper(kp Keeper) {
	as.RemoveKeeper(kp.ID)
	ks := &keeperState{
		Keeper: kp,
	}
	as.keepers[kp.ID] = ks
	for _, name := range zonesOf(kp.Zone) {
		zs := as.zone(name)
		zs.keepers = append(zs.keepers, ks)
		zs.capacity += kp.Capacity
	}
	for _, id := range as.sortedWorkers() {
		ws := as.workers[id]
		if ws.keeper == nil || as.isBetter(id, ws, ks) {
			as.assign(id, ws)
		}
	}
}

// RemoveKeeper removes a keeper. Its workers pass to others.
func (as *Assigner) RemoveKeeper(id KeeperID) {
	ks := as.keepers[id]
	if ks == nil {
		return
	}
	delete(as.keepers, id)
	for _, name := range zonesOf(ks.Zone) {
		zs := as.zones[name]
		zs.keepers = slices.DeleteFunc(zs.keepers, func(other *keeperState) bool { return other == ks })
		zs.capacity -= ks.Capacity
	}
	for _, worker := range as.sortedWorkers() {
		if ws := as.workers[worker]; ws.keeper == ks {
			as.assign(worker, ws)
		}
	}
}

// AddWorker adds a worker of a zone. It has no effect if the worker is there.
func (as *Assigner) AddWorker(id modeller.WorkerID, zone string) {
	if _, ok := as.workers[id]; ok {
		return
	}
	ws := &workerState{
		zone: zone,
	}
	as.workers[id] = ws
	for _, name := range zonesOf(zone) {
		as.zone(name).workers++
	}
	as.assign(id, ws)
}

// RemoveWorker removes a worker.
func (as *Assigner) RemoveWorker(id modeller.WorkerID) {
	ws := as.workers[id]
	if ws == nil {
		return
	}
	delete(as.workers, id)
	for _, name := range zonesOf(ws.zone) {
		as.zones[name].workers--
	}
	if ws.keeper != nil {
		ws.keeper.workers--
	}
}

// KeeperOf returns the keeper of a worker, or false if there is none.
func (as *Assigner) KeeperOf(id modeller.WorkerID) (KeeperID, bool) {
	ws := as.workers[id]
	if ws == nil || ws.keeper == nil {
		return "", false
	}
	return ws.keeper.ID, true
}

// Avoid moves a worker to another keeper, if there is one, since its keeper
// cannot reach it.
func (as *Assigner) Avoid(id modeller.WorkerID) {
	ws := as.workers[id]
	if ws == nil || ws.keeper == nil || len(as.keepers) < 2 {
		return
	}
	ws.avoided = ws.keeper.ID
	as.assign(id, ws)
}

// zonesOf returns the names of the sets that a member of a zone belongs to.
func zonesOf(zone string) []string {
	if zone == allZones {
		return []string{allZones}
	}
	return []string{zone, allZones}
}

func (as *Assigner) zone(name string) *zoneState {
	zs := as.zones[name]
	if zs == nil {
		zs = &zoneState{}
		as.zones[name] = zs
	}
	return zs
}

func (as *Assigner) sortedWorkers() []modeller.WorkerID {
	ids := make([]modeller.WorkerID, 0, len(as.workers))
	for id := range as.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// assign chooses the keeper of a worker.
func (as *Assigner) assign(id modeller.WorkerID, ws *workerState) {
	if ws.keeper != nil {
		ws.keeper.workers--
		ws.keeper = nil
	}
	zs := as.candidates(ws)
	var best, bestWithRoom *keeperState
	var bestScore, bestScoreWithRoom float64
	for _, ks := range zs.keepers {
		if ks.ID == ws.avoided && len(zs.keepers) > 1 {
			continue
		}
		score := ks.score(id)
		if best == nil || score > bestScore {
			best, bestScore = ks, score
		}
		if zs.hasRoom(ks) && (bestWithRoom == nil || score > bestScoreWithRoom) {
			bestWithRoom, bestScoreWithRoom = ks, score
		}
	}
	ws.keeper = cmp.Or(bestWithRoom, best)
	if ws.keeper != nil {
		ws.keeper.workers++
	}
}

// candidates returns the set from which the keeper of a worker is chosen.
func (as *Assigner) candidates(ws *workerState) *zoneState {
	zs, all := as.zones[ws.zone], as.zones[allZones]
	switch {
	case zs == nil || len(zs.keepers) == 0 || len(zs.keepers) == 1 && zs.keepers[0].ID == ws.avoided:
		return all
	case zs.workers > minZoneWorkers*len(zs.keepers) && float64(zs.workers)*all.capacity > maxZoneLoad*float64(all.workers)*zs.capacity:
		return all
	}
	return zs
}

// hasRoom reports whether a keeper's load is below its limit.
func (zs *zoneState) hasRoom(ks *keeperState) bool {
	share := float64(zs.workers) * ks.Capacity / max(zs.capacity, ks.Capacity)
	return float64(ks.workers) < math.Ceil(maxOverload*share)
}

// isBetter reports whether a new keeper is preferred to a worker's present one.
func (as *Assigner) isBetter(id modeller.WorkerID, ws *workerState, ks *keeperState) bool {
	if ks.ID == ws.avoided {
		return false
	}
	isLocal, isNewLocal := ws.keeper.Zone == ws.zone, ks.Zone == ws.zone
	if isLocal != isNewLocal {
		return isNewLocal
	}
	return ks.score(id) > ws.keeper.score(id)
}

// score returns the rendezvous score of a keeper for a worker. The highest is
// preferred; the chance to have it is proportional to the capacity.
func (ks *keeperState) score(worker modeller.WorkerID) float64 {
	return -ks.Capacity / math.Log(uniform(string(worker), string(ks.ID)))
}

// uniform returns a number in (0, 1) that depends only on the names.
func uniform(names ...string) float64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for _, name := range names {
		for _, letter := range []byte(name) {
			hash = (hash ^ uint64(letter)) * prime
		}
		hash = (hash ^ 0xff) * prime
	}
	// The finalizer of splitmix64 spreads similar names.
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	hash ^= hash >> 31
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}
