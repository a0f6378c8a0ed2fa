package recorder

import (
	"maps"
	"math"

	"coltsfootwick.example/shared/process/classifier"
)

// Budget is the number of VMs that may be out of service, in millionths of a
// VM.
type Budget int64

// OneVM is the budget needed to take one VM out of service.
const OneVM Budget = 1_000_000

// Transfers holds amounts of budget by pool and by peer availability zone.
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

// Budget returns the budget of a pool in this availability zone. Each VM of the
// pool contributes the share that need not be in service; budget given to other
// zones is subtracted and budget received from them is added. The sum over all
// zones never exceeds the budget of the whole pool, because a zone receives
// only what another zone has already recorded as given.
func (ze Zone) Budget(pool string) Budget {
	perVM := Budget(math.Floor((1 - ze.Floors[pool].Share) * float64(OneVM)))
	own := perVM * Budget(ze.Count(pool).Members)
	return own - ze.Given.sum(pool) + ze.Received.sum(pool)
}

// Free returns the part of a pool's budget that is not used by VMs out of
// service. It is negative when more VMs were lost than the budget allows.
func (ze Zone) Free(pool string) Budget {
	ct := ze.Count(pool)
	return ze.Budget(pool) - OneVM*Budget(ct.Members-ct.InService)
}

// GiveBudget records budget of a pool as given to another availability zone. It
// is rejected if the amount exceeds the free budget.
type GiveBudget struct {
	// Pool is the pool.
	Pool string
	// To is the availability zone that may receive the budget.
	To string
	// Amount is the budget given.
	Amount Budget
}

// ReceiveBudget adds the budget that another availability zone has recorded as
// given to this one. It is idempotent.
type ReceiveBudget struct {
	// Pool is the pool.
	Pool string
	// From is the availability zone that gave the budget.
	From string
	// Total is the total budget that From has given to this zone since the
	// record of From was created.
	Total Budget
}

func (GiveBudget) change()    {}
func (ReceiveBudget) change() {}

func (ze *Zone) give(gv GiveBudget) error {
	if gv.Amount <= 0 || gv.To == "" || gv.To == ze.Name {
		return classifier.New(classifier.Internal, "invalid transfer of %d millionths of a VM of budget to availability zone %q", gv.Amount, gv.To)
	}
	if ze.SettingsRevision == 0 {
		return classifier.New(classifier.BudgetExceeded, "availability zone %s has not received settings yet", ze.Name)
	}
	if free := ze.Free(gv.Pool); free < gv.Amount {
		return classifier.New(classifier.BudgetExceeded,
			"pool %s in availability zone %s has a free budget of %.2f VMs, but the transfer needs %.2f", gv.Pool, ze.Name, free.VMs(), gv.Amount.VMs())
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
