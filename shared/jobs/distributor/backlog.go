package distributor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/process/packer"
)

const (
	// maxBacklogPools bounds the pools of a Backlog. With 41 keepers, four messages a second
	// to each and 24 bands of 8 bytes, 16 pools take 0.6 MB/s of the holder's link.
	maxBacklogPools = 16
	// maxBacklogTeams bounds the levels of a pool in a Backlog.
	maxBacklogTeams = 32
)

// Backlog carries the backlogs of the pools for which the fleet falls short. It follows a
// Permit.
type Backlog struct {
	// Age is the age of the figures when the message was sent.
	Age time.Duration
	// Pools are the backlogs by pool.
	Pools map[string]admitter.Backlog
}

func (Backlog) toKeeper() {}

// SetBacklogs sets the figures of a time that are sent to the keepers with their
// permissions. Before the first call none are sent.
func (di *Distributor) SetBacklogs(at time.Time, backlogs map[string]admitter.Backlog) {
	di.backlogsAt = at
	di.backlogs = mostWork(backlogs)
}

// mostWork returns the backlogs of the pools for which the fleet falls short, at most
// maxBacklogPools of those with the most work. For a pool without figures every job is
// accepted.
func mostWork(backlogs map[string]admitter.Backlog) map[string]admitter.Backlog {
	work := map[string]time.Duration{}
	for pool, bl := range backlogs {
		if !bl.IsShort {
			continue
		}
		work[pool] = 0
		for _, bd := range bl.Bands {
			work[pool] += bd.Work
		}
	}
	pools := slices.SortedFunc(maps.Keys(work), func(a, b string) int {
		return cmp.Or(cmp.Compare(work[b], work[a]), cmp.Compare(a, b))
	})
	chosen := map[string]admitter.Backlog{}
	for _, pool := range pools[:min(len(pools), maxBacklogPools)] {
		chosen[pool] = backlogs[pool]
	}
	return chosen
}

// permit queues a permission, with the present figures if there are any.
func (di *Distributor) permit(now time.Time, li *link, msg Ask) {
	li.outgoing = append(li.outgoing, Permit(msg))
	if !di.backlogsAt.IsZero() {
		li.outgoing = append(li.outgoing, Backlog{
			Age:   now.Sub(di.backlogsAt),
			Pools: di.backlogs,
		})
	}
}

// receiveBacklog dates figures by the Ask of the Permit before them, so that a frame that
// was held up makes them older. Figures without such an Ask are of unknown age and have no
// effect.
func (kp *Keeper) receiveBacklog(msg Backlog) {
	if kp.permittedAskAt.IsZero() {
		return
	}
	kp.backlogs = msg.Pools
	kp.backlogsAt = kp.permittedAskAt.Add(-msg.Age)
}

// Backlogs returns the last figures by pool, and the time by the keeper's clock at which
// they had been published already. The map isn't changed any more.
func (kp *Keeper) Backlogs() (backlogs map[string]admitter.Backlog, publishedAt time.Time) {
	return kp.backlogs, kp.backlogsAt
}

func appendBacklog(frame []byte, msg Backlog) []byte {
	// An age rounded down would make the figures look younger.
	frame = packer.AppendDuration(frame, min(max(msg.Age, 0)+time.Millisecond-1, maxFigure))
	frame = packer.AppendUint(frame, uint64(len(msg.Pools)))
	for _, pool := range slices.Sorted(maps.Keys(msg.Pools)) {
		bl := msg.Pools[pool]
		frame = packer.AppendString(frame, pool)
		frame = packer.AppendUint(frame, milliCores(bl.Cores))
		frame = packer.AppendUint(frame, milliCores(bl.TargetCores))
		frame = packer.AppendUint(frame, uint64(max(bl.FreeMilliCores, 0)))
		frame = packer.AppendBool(frame, bl.IsShort)
		frame = packer.AppendDuration(frame, min(max(bl.LateWork, 0), maxFigure))
		frame = packer.AppendUint(frame, uint64(len(bl.Bands)))
		for _, bd := range bl.Bands {
			frame = packer.AppendUint(frame, uint64(max(bd.Excess, 0)))
			frame = packer.AppendInt(frame, int64(bd.Priority))
			frame = packer.AppendDuration(frame, bd.Until)
			frame = packer.AppendDuration(frame, min(max(bd.Work, 0), maxFigure))
		}
		frame = packer.AppendUint(frame, uint64(len(bl.Excess)))
		for _, team := range slices.Sorted(maps.Keys(bl.Excess)) {
			frame = packer.AppendString(frame, team)
			frame = packer.AppendUint(frame, uint64(max(bl.Excess[team], 0)))
		}
	}
	return frame
}

// milliCores returns cores as a whole number of thousandths.
func milliCores(cores float64) uint64 { return uint64(max(cores, 0)*1000 + 0.5) }

func (rd *reader) backlog() Backlog {
	msg := Backlog{
		Age:   rd.nonNegative(),
		Pools: map[string]admitter.Backlog{},
	}
	for range rd.count(maxBacklogPools) {
		pool := rd.String()
		bl := admitter.Backlog{
			Cores:          float64(rd.Uint()) / 1000,
			TargetCores:    float64(rd.Uint()) / 1000,
			FreeMilliCores: rd.Index(),
			IsShort:        rd.Bool(),
			LateWork:       rd.nonNegative(),
		}
		for range rd.count(admitter.MaxBands) {
			bl.Bands = append(bl.Bands, admitter.Band{
				Excess:   rd.Index(),
				Priority: int(rd.Int()),
				Until:    rd.Duration(),
				Work:     rd.nonNegative(),
			})
		}
		if teams := rd.count(maxBacklogTeams); teams > 0 {
			bl.Excess = make(map[string]int, teams)
			for range teams {
				bl.Excess[rd.String()] = rd.Index()
			}
		}
		msg.Pools[pool] = bl
	}
	return msg
}

// count reads the length of a list of at most a number of elements.
func (rd *reader) count(limit int) int {
	length := rd.Length()
	if length > limit {
		rd.Fail("list of %d elements, at most %d are permitted", length, limit)
		return 0
	}
	return length
}

// maxFigure bounds the durations of a backlog, so that sums of them stay within their type.
const maxFigure = 365 * 24 * time.Hour

// nonNegative reads a duration of a backlog.
func (rd *reader) nonNegative() time.Duration {
	duration := rd.Duration()
	if duration < 0 || duration > maxFigure {
		rd.Fail("duration %s of a backlog is out of range", duration)
		return 0
	}
	return duration
}
