package allocator

import (
	"cmp"
	"slices"

	"coltsfootwick.example/shared/jobs/modeller"
)

// workerIndex finds workers by ID, pool and VM. Its lists are ordered by ID:
// decisions must not depend on the iteration order of a map.
type workerIndex struct {
	byID   map[modeller.WorkerID]*worker
	sorted []*worker
	byPool map[string][]*worker
	byVM   map[string][]*worker
}

func newWorkerIndex() workerIndex {
	return workerIndex{
		byID:   map[modeller.WorkerID]*worker{},
		byPool: map[string][]*worker{},
		byVM:   map[string][]*worker{},
	}
}

// add adds a worker.
func (wi *workerIndex) add(wk *worker) {
	wi.byID[wk.info.ID] = wk
	wi.sorted = insertWorker(wi.sorted, wk)
	wi.byPool[wk.info.Pool] = insertWorker(wi.byPool[wk.info.Pool], wk)
	wi.byVM[wk.info.VM] = insertWorker(wi.byVM[wk.info.VM], wk)
}

// remove removes a worker.
func (wi *workerIndex) remove(wk *worker) {
	delete(wi.byID, wk.info.ID)
	wi.sorted = deleteWorker(wi.sorted, wk)
	removeFrom(wi.byPool, wk.info.Pool, wk)
	removeFrom(wi.byVM, wk.info.VM, wk)
}

// update replaces the directory entry of a worker, which keeps its ID.
func (wi *workerIndex) update(wk *worker, info modeller.Worker) {
	if wk.info.Pool != info.Pool {
		removeFrom(wi.byPool, wk.info.Pool, wk)
		wi.byPool[info.Pool] = insertWorker(wi.byPool[info.Pool], wk)
	}
	if wk.info.VM != info.VM {
		removeFrom(wi.byVM, wk.info.VM, wk)
		wi.byVM[info.VM] = insertWorker(wi.byVM[info.VM], wk)
	}
	wk.info = info
}

func removeFrom(lists map[string][]*worker, key string, wk *worker) {
	remaining := deleteWorker(lists[key], wk)
	if len(remaining) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = remaining
}

func insertWorker(workers []*worker, wk *worker) []*worker {
	position, _ := slices.BinarySearchFunc(workers, wk.info.ID, compareWorkerID)
	return slices.Insert(workers, position, wk)
}

func deleteWorker(workers []*worker, wk *worker) []*worker {
	position, ok := slices.BinarySearchFunc(workers, wk.info.ID, compareWorkerID)
	if !ok {
		return workers
	}
	return slices.Delete(workers, position, position+1)
}

func compareWorkerID(wk *worker, id modeller.WorkerID) int { return cmp.Compare(wk.info.ID, id) }
