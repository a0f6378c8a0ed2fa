package scheduler

import (
	"slices"
	"strings"
	"time"
)

// fleet holds the targets sorted by VM name.
type fleet struct {
	targets []*target
}

// set replaces the list of targets. A target that is no longer listed is kept
// until its attempts have ended.
func (ft *fleet) set(list []Target) {
	for _, tt := range ft.targets {
		tt.listed = false
	}
	for _, spec := range list {
		tt := ft.find(spec.VM)
		if tt == nil {
			tt = &target{}
			ft.targets = append(ft.targets, tt)
		}
		tt.update(spec)
	}
	for _, tt := range ft.targets {
		if !tt.listed {
			tt.resetRefusals()
		}
	}
	ft.prune()
	slices.SortFunc(ft.targets, func(a, b *target) int { return strings.Compare(a.VM, b.VM) })
	ft.assignRacks()
}

func (tt *target) update(spec Target) {
	if spec.Leaving {
		tt.resetRefusals()
		tt.health = healthy
		tt.consecutive = 0
		tt.samples = 0
	}
	tt.Target = spec
	tt.listed = true
}

func (tt *target) resetRefusals() {
	tt.refusedUntil = time.Time{}
	tt.refusals = 0
}

// find returns the target with the VM name, or nil.
func (ft *fleet) find(vm string) *target {
	for _, tt := range ft.targets {
		if tt.VM == vm {
			return tt
		}
	}
	return nil
}

// prune removes targets that are neither listed nor running an attempt.
func (ft *fleet) prune() {
	ft.targets = slices.DeleteFunc(ft.targets, func(tt *target) bool {
		return !tt.listed && tt.inFlight == 0
	})
}

// slots returns the total capacity of all usable targets.
func (ft *fleet) slots() int {
	total := 0
	for _, tt := range ft.targets {
		total += tt.capacity()
	}
	return total
}

// free returns the number of free slots.
func (ft *fleet) free() int {
	total := 0
	for _, tt := range ft.targets {
		total += tt.free()
	}
	return total
}

// usable returns the number of targets that may receive work.
func (ft *fleet) usable() int {
	total := 0
	for _, tt := range ft.targets {
		if tt.isUsable() {
			total++
		}
	}
	return total
}
