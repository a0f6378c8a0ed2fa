package sharer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootwick.example/shared/fleet/registrar"
)

// even divides the slots evenly. The remainder goes to the entries with the
// highest rendezvous hash for the target, so that entries with the same list of
// live entries agree without exchanging messages.
type even struct{}

// NewEven returns a Sharer that divides slots evenly among the live entries.
func NewEven() Sharer { return even{} }

func (even) Share(target registrar.Target, limits Limits, self string, entries []string) Share {
	rank, live := rankOf(target.VM, self, entries)
	slots := portion(limits.Slots, live, rank)
	return Share{
		Slots:       slots,
		Connections: max(slots, portion(limits.Connections, live, rank)),
	}
}

// portion returns the part of total that the entry at rank gets.
func portion(total, entries, rank int) int {
	part := total / entries
	if rank < total%entries {
		part++
	}
	return part
}

// rankOf returns the rank of self among the entries by rendezvous hash, and the
// number of entries including self.
func rankOf(vm, self string, entries []string) (int, int) {
	all := slices.Clone(entries)
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(vm, b), score(vm, a)), cmp.Compare(a, b))
	})
	return slices.Index(all, self), len(all)
}

func score(vm, entry string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + entry)
}
