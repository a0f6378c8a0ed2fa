package recorder

import (
	"maps"
	"math"

	"coltsfootwick.example/shared/process/classifier"
)

// Budget counts millionths of a VM that may be out of service.
type Budget int64

// OneVM is the budget that takes one VM out of service.
const OneVM Budget = 1_000_000

// Transfers holds budget by pool and by the other availability zone.
type Transfers map[string]map[string]Budget

func (tr Transfers) clone() Transfers {
	clone := make(Transfers, len(tr))
	for pool, zones := range tr {
		clone[pool] = maps.Clone(zones)
	}
	return clone
}

func (tr Transfers) sum(pool string) Budget {
	var sum Budget
	for _, amount := range tr[pool] {
		sum += amount
	}
	return sum
}

func (tr Transfers) set(pool, zone string, amount Budget) {
	if tr[pool] == nil {
		tr[pool] = map[string]Budget{}
	}
	tr[pool][zone] = amount
}

// Budget returns how much of a pool may be out of service in this availability
// zone. Each VM of the pool adds the share that need not be in service; what
// was given to other zones is gone, what was received from them is added. The
// zones' budgets together never exceed what the pool as a whole allows, because
// a zone receives only what another has recorded as given before.
func (ze Zone) Budget(pool string) Budget {
	perVM := Budget(math.Floor((1 - ze.Floors[pool].Share) * float64(OneVM)))
	own := perVM * Budget(ze.Count(pool).Members)
	return own - ze.Given.sum(pool) + ze.Received.sum(pool)
}

// Free returns the part of a pool's budget that no VM out of service uses. It
// is negative when VMs were lost beyond the budget.
func (ze Zone) Free(pool string) Budget {
	ct := ze.Count(pool)
	return ze.Budget(pool) - OneVM*Budget(ct.Members-ct.InService)
}

// GiveBudget records budget of a pool as given to another availability zone. It is
// refused if that much isn't free.
type GiveBudget struct {
	// Pool is the pool.
	Pool string
	// To is the availability zone that may receive the budget.
	To string
	// Amount is the budget given.
	Amount Budget
}

// ReceiveBudget takes over what another availability zone has recorded as given to
// this one. Repeating it changes nothing.
type ReceiveBudget struct {
	// Pool is the pool.
	Pool string
	// From is the availability zone that gave.
	From string
	// Total is all that From has given to this zone since its record began.
	Total Budget
}

func (GiveBudget) change()    {}
func (ReceiveBudget) change() {}

func (ze *Zone) give(gv GiveBudget) error {
	if gv.Amount <= 0 || gv.To == "" || gv.To == ze.Name {
		return classifier.New(classifier.Internal, "budget of %d given to availability zone %q", gv.Amount, gv.To)
	}
	if ze.SettingsRevision == 0 {
		return classifier.New(classifier.BudgetExceeded, "availability zone %s has no settings yet", ze.Name)
	}
	if free := ze.Free(gv.Pool); free < gv.Amount {
		return classifier.New(classifier.BudgetExceeded,
			"pool %s in availability zone %s has %.2f VMs of budget free, not %.2f", gv.Pool, ze.Name, free.VMs(), gv.Amount.VMs())
	}
	ze.Given.set(gv.Pool, gv.To, ze.Given[gv.Pool][gv.To]+gv.Amount)
	return nil
}

func (ze *Zone) receive(rv ReceiveBudget) {
	if rv.Total > ze.Received[rv.Pool][rv.From] {
		ze.Received.set(rv.Pool, rv.From, rv.Total)
	}
}

// VMs returns the budget as a number of VMs.
func (bt Budget) VMs() float64 { return float64(bt) / float64(OneVM) }
