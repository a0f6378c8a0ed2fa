package budgeter

// Budget is the memory budget of the entry, divided evenly among its services. It
// is not safe for concurrent use.
type Budget struct {
	total  int64
	shares map[string]*Share
}

// New returns a budget of total bytes without shares.
func New(total int64) *Budget {
	return &Budget{
		total:  total,
		shares: map[string]*Share{},
	}
}

// Divide divides the budget among the services and returns their shares by name.
// A service that had a share keeps it, including its reservations.
func (bt *Budget) Divide(services []string) map[string]*Share {
	shares := make(map[string]*Share, len(services))
	for _, name := range services {
		sh := bt.shares[name]
		if sh == nil {
			sh = &Share{}
		}
		sh.limit.Store(bt.total / int64(len(services)))
		shares[name] = sh
	}
	bt.shares = shares
	return shares
}
