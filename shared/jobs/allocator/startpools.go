package allocator

import (
	"slices"
)

// startPools are the pools in which runs of a job may have been started. A pool
// has to be in the job's stored progress before the first start there: a later
// holder starts the job's tasks again only once no unreported worker of these
// pools may still run them, and by then the job's queue may have another pool.
type startPools struct {
	names []string
	// stored is the number of names in the stored progress, and inherited the
	// number of those that earlier holders have stored.
	stored, inherited int
	// isUnknown is true if the stored progress names no pools. Then any pool may
	// have runs.
	isUnknown bool
}

// newInheritedPools returns the pools of a progress record of an earlier holder.
func newInheritedPools(names []string) startPools {
	return startPools{
		names:     names,
		stored:    len(names),
		inherited: len(names),
		isUnknown: len(names) == 0,
	}
}

// add adds a pool, and reports whether that has changed the pools.
func (sp *startPools) add(pool string) bool {
	if sp.isUnknown || slices.Contains(sp.names, pool) {
		return false
	}
	sp.names = append(sp.names, pool)
	return true
}

// isStored reports whether the stored progress contains a pool.
func (sp *startPools) isStored(pool string) bool {
	return sp.isUnknown || slices.Contains(sp.names[:sp.stored], pool)
}

// addStartPool adds the pool of a job's queue to those in which its runs may be
// started.
func (al *Allocator) addStartPool(jb *job) {
	if jb.queue.Pool != "" && jb.pools.add(jb.queue.Pool) {
		al.markDirty(jb)
	}
}

// oldRunChecks caches, for a placement, which pools may have unreported runs of
// earlier holders.
type oldRunChecks map[string]bool

// mayHaveOldRuns reports whether runs of a job that earlier holders have started
// may continue on workers that have not reported.
func (al *Allocator) mayHaveOldRuns(jb *job, checks oldRunChecks) bool {
	if !jb.isInherited {
		return false
	}
	if jb.pools.isUnknown {
		return al.checkOldRuns(checks, "", al.workers.sorted)
	}
	for _, pool := range jb.pools.names[:jb.pools.inherited] {
		if al.checkOldRuns(checks, pool, al.workers.byPool[pool]) {
			return true
		}
	}
	return false
}

// checkOldRuns reports whether unreported runs of earlier holders may continue on
// any of the workers of a pool. An empty name stands for all pools.
func (al *Allocator) checkOldRuns(checks oldRunChecks, pool string, workers []*worker) bool {
	result, isKnown := checks[pool]
	if !isKnown {
		isExpired := al.confirmedAt.After(al.oldRunsExpiry())
		hasUnreported := slices.ContainsFunc(workers, func(wk *worker) bool { return wk.mayHoldOldRuns })
		result = !isExpired && (hasUnreported || al.isRosterIncomplete)
		checks[pool] = result
	}
	return result
}
