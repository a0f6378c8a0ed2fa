package soaker

import (
	"net/netip"
	"sync"

	"coltsfootwick.example/standin/internal/interposer"
	"coltsfootwick.example/standin/internal/stager"
)

// links are the proxies between the parts of a play.
type links struct {
	seed uint64

	mu       sync.Mutex
	byName   map[linkName]*interposer.Interposer
	inactive bool
}

// linkName names a link by its kind and the zone of a manager, or the VM of a worker.
type linkName struct {
	kind LinkKind
	end  string
}

func newLinks(seed uint64, isActive bool) *links {
	return &links{
		seed:     seed,
		byName:   map[linkName]*interposer.Interposer{},
		inactive: !isActive,
	}
}

// link returns the links of a kind, each with a proxy if links are active.
func (ls *links) link(kind LinkKind) func(end string) stager.Link {
	return func(end string) stager.Link {
		return func(target netip.AddrPort) (netip.AddrPort, error) {
			if ls.inactive {
				return target, nil
			}
			ip, err := interposer.New(target, interposer.WithSeed(ls.seed))
			if err != nil {
				return netip.AddrPort{}, err
			}
			ls.mu.Lock()
			defer ls.mu.Unlock()
			ls.byName[linkName{
				kind: kind,
				end:  end,
			}] = ip
			return ip.Address(), nil
		}
	}
}

// set replaces the faults of a link.
func (ls *links) set(name linkName, faults ...interposer.Fault) {
	ls.mu.Lock()
	ip := ls.byName[name]
	ls.mu.Unlock()
	if ip != nil {
		ip.SetFaults(faults...)
	}
}

// close closes all proxies.
func (ls *links) close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, ip := range ls.byName {
		ip.Close()
	}
}
