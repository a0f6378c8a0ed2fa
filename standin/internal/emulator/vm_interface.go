package emulator

import (
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// lateOrderShare is the share of the VM orders that get no answer and are carried
	// out late, by maxLateness at most.
	lateOrderShare = 0.4
	minLateness    = time.Second
	maxLateness    = 5 * time.Second
	// maxWaveDelay bounds the time until the wave of WithLateVMOrders begins.
	maxWaveDelay = 8 * time.Second
)

// WithLateVMOrders starts a maintenance wave, and lets the VM interface leave orders
// unanswered and carry them out late, after those of later holders.
func WithLateVMOrders() Option {
	return func(sm *Simulation) {
		sm.vmRandom = rand.New(rand.NewPCG(sm.seed, 4))
		sm.timers.add(sm.now.Add(time.Second+time.Duration(sm.vmRandom.Int64N(int64(maxWaveDelay)))), sm.recordWave)
		sm.timers.add(sm.now.Add(2*time.Second+time.Duration(sm.vmRandom.Int64N(int64(maxWaveDelay)))), func() { sm.replaceHolder(sm.now) })
	}
}

// sendVMOrder schedules the delivery of an order to the VM interface.
func (sm *Simulation) sendVMOrder(tm *term, vo allocator.VMOrder) {
	if sm.vmRandom == nil || sm.vmRandom.Float64() >= lateOrderShare {
		sm.timers.add(sm.now.Add(messageDelay), func() {
			sm.notify(tm, messageDelay, allocator.VMOrderResult{Order: vo, Outcome: sm.carryOutVM(tm.fence, vo)})
		})
		return
	}
	sm.notify(tm, orderTimeout, allocator.VMOrderResult{Order: vo, Outcome: allocator.Unanswered})
	late := minLateness + time.Duration(sm.vmRandom.Int64N(int64(maxLateness-minLateness)))
	sm.timers.add(sm.now.Add(late), func() {
		sm.tracef("late order of holder %d for %s: %s", tm.fence, vo.VM, sm.carryOutVM(tm.fence, vo))
	})
}

// carryOutVM carries out an order with a fencing token, which holds for each VM
// separately.
func (sm *Simulation) carryOutVM(fence uint64, vo allocator.VMOrder) allocator.Outcome {
	nd := sm.nodeOfVM(vo.VM)
	switch {
	case nd == nil:
		return allocator.Malformed
	case fence < nd.vmFence:
		return allocator.Fenced
	case !nd.isUp:
		return allocator.Busy
	}
	nd.vmFence = fence
	if nd.isMaintained {
		return allocator.Accepted
	}
	sm.checkMaintenance(nd)
	nd.isMaintained = true
	nd.isUp = false
	nd.state = modeller.VMMaintenance
	sm.abandonPoll(nd)
	nd.restartAt = sm.now.Add(bounds.MaintenanceTime)
	sm.unlistWorker(nd)
	return allocator.Accepted
}

// nodeOfVM returns the node of a VM, or nil.
func (sm *Simulation) nodeOfVM(vm string) *node {
	for _, nd := range sm.nodesInOrder() {
		if nd.info.VM == vm {
			return nd
		}
	}
	return nil
}
