package scheduler

import (
	"slices"
	"strings"
	"time"
)

// fleet holds the targets in the order of their names.
type fleet struct {
	targets []*target
}

// set takes a new list. A target no longer listed stays until its attempts
// have ended.
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
			tt.forgetRefusal()
		}
	}
	ft.prune()
	slices.SortFunc(ft.targets, func(a, b *target) int { return strings.Compare(a.VM, b.VM) })
	ft.assignRacks()
}

func (tt *target) update(spec Target) {
	if spec.Leaving {
		tt.forgetRefusal()
		tt.health = healthy
		tt.consecutive = 0
		tt.samples = 0
	}
	tt.Target = spec
	tt.listed = true
}

func (tt *target) forgetRefusal() {
	tt.refusedUntil = time.Time{}
	tt.refusals = 0
}

// find returns the target with the name, or nil.
func (ft *fleet) find(vm string) *target {
	for _, tt := range ft.targets {
		if tt.VM == vm {
			return tt
		}
	}
	return nil
}

// prune drops targets that are neither listed nor running anything.
func (ft *fleet) prune() {
	ft.targets = slices.DeleteFunc(ft.targets, func(tt *target) bool {
		return !tt.listed && tt.inFlight == 0
	})
}

// slots returns the slots of usable targets.
func (ft *fleet) slots() int {
	total := 0
	for _, tt := range ft.targets {
		total += tt.capacity()
	}
	return total
}

// free returns the slots that are free now.
func (ft *fleet) free() int {
	total := 0
	for _, tt := range ft.targets {
		total += tt.free()
	}
	return total
}

// usable returns the number of targets that may get work.
func (ft *fleet) usable() int {
	total := 0
	for _, tt := range ft.targets {
		if tt.isUsable() {
			total++
		}
	}
	return total
}
