package guard_test

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"coltsfootwick.example/shared/process/guard"
)

var start = time.Unix(0, 0)

func after(duration time.Duration) time.Time { return start.Add(duration) }

// owner is the owner of a connection.
type owner int

func (owner) Close() error { return nil }

var small = guard.Capacity{
	Connections: 4,
	Unfinished:  2,
	BodyBytes:   400 << 10,
	Chunked:     2,
}

// Guards against ordinary callers that are kept out by connections without a request.
func TestOldestUnfinishedMakesWay(t *testing.T) {
	gd := guard.New(small)
	first, _, _ := gd.Admit(start, owner(1))
	_, evicted, _ := gd.Admit(after(time.Millisecond), owner(2))
	must.Nil(t, evicted)
	third, _, _ := gd.Admit(after(2*time.Millisecond), owner(3))
	must.Nil(t, third, must.Sprint("both others are too young to be dropped"))
	third, evicted, cause := gd.Admit(after(time.Second), owner(3))
	must.NotNil(t, third)
	must.Eq(t, io.Closer(owner(1)), evicted)
	must.EqOp(t, guard.StalledClosed, cause)
	must.False(t, gd.Serve(first), must.Sprint("its connection is closed"))
	must.True(t, gd.Serve(third))
}

// Guards against ordinary requests that are dropped because the processor is slow.
func TestBusyConnectionsStay(t *testing.T) {
	gd := guard.New(small)
	first, _, _ := gd.Admit(start, owner(1))
	first.SetBusy(true)
	gd.Admit(start, owner(2))
	_, evicted, _ := gd.Admit(after(time.Second), owner(3))
	must.Eq(t, io.Closer(owner(2)), evicted)
}

// Guards against connections of callers that are closed while a request is served.
func TestServedConnectionsStayAndIdleOnesMakeWayLast(t *testing.T) {
	gd := guard.New(small)
	var served []*guard.Connection
	for number := range small.Connections {
		cn, evicted, _ := gd.Admit(start, owner(number))
		must.Nil(t, evicted)
		must.True(t, gd.Serve(cn))
		served = append(served, cn)
	}
	cn, _, _ := gd.Admit(after(time.Hour), owner(9))
	must.Nil(t, cn)
	gd.Idle(after(time.Hour), served[2])
	cn, _, _ = gd.Admit(after(time.Hour), owner(9))
	must.Nil(t, cn, must.Sprint("its caller may send the next request"))
	cn, evicted, cause := gd.Admit(after(time.Hour+time.Minute), owner(9))
	must.Nil(t, cn, must.Sprint("the other one isn't closed yet"))
	_, again, _ := gd.Admit(after(time.Hour+time.Minute), owner(9))
	must.Nil(t, again, must.Sprint("one is enough"))
	gd.Remove(served[2])
	cn, _, _ = gd.Admit(after(time.Hour+time.Minute), owner(9))
	must.NotNil(t, cn)
	must.Eq(t, io.Closer(owner(2)), evicted)
	must.EqOp(t, guard.IdleClosed, cause)
}

// Guards against ordinary bodies that find no memory because of large ones, and against
// large ones that hold it for ever.
func TestMemoryForBodies(t *testing.T) {
	gd := guard.New(guard.Capacity{Connections: 100, Unfinished: 100, BodyBytes: 400 << 10, Chunked: 2})
	begin := func(at time.Duration, number int) *guard.Connection {
		cn, _, _ := gd.Admit(after(at), owner(number))
		must.True(t, gd.AwaitBody(cn))
		return cn
	}
	reserve := func(at time.Duration, cn *guard.Connection, size int64, isChunked bool) (evicted []io.Closer, ok bool) {
		return gd.Reserve(after(at), cn, size, isChunked)
	}
	first := begin(0, 1)
	_, ok := reserve(0, first, 200<<10, false)
	must.True(t, ok)
	second := begin(0, 2)
	_, ok = reserve(0, second, 200<<10, false)
	must.False(t, ok, must.Sprint("a quarter is left to small bodies"))
	for number := range 6 {
		_, ok = reserve(0, begin(0, 10+number), 16<<10, false)
		must.True(t, ok)
	}
	evicted, ok := reserve(time.Second, second, 200<<10, false)
	must.False(t, ok, must.Sprint("the other one isn't closed yet"))
	must.Eq(t, []io.Closer{owner(1)}, evicted)
	evicted, ok = reserve(time.Second, second, 200<<10, false)
	must.False(t, ok)
	must.Nil(t, evicted, must.Sprint("one is enough"))
	gd.Remove(first)
	_, ok = reserve(time.Second, second, 200<<10, false)
	must.True(t, ok)
	gd.Release(second)
	for number := range small.Chunked {
		_, ok = reserve(time.Second, begin(time.Second, 20+number), 20<<10, true)
		must.True(t, ok)
	}
	_, ok = reserve(time.Second, begin(time.Second, 30), 20<<10, true)
	must.False(t, ok, must.Sprint("a third chunked body"))
}

// Guards against a single large request that is refused though there is no load.
func TestSingleBodyIsAlwaysAdmitted(t *testing.T) {
	gd := guard.New(small)
	cn, _, _ := gd.Admit(start, owner(1))
	must.True(t, gd.AwaitBody(cn))
	_, ok := gd.Reserve(start, cn, 1<<40, false)
	must.True(t, ok)
}

// Guards against tiny chunks that take all of the processor time.
func TestTinyChunksAreReadAtABoundedRate(t *testing.T) {
	gd := guard.New(small)
	must.EqOp(t, 0, gd.PaceChunks(start))
	must.EqOp(t, 500*time.Microsecond, gd.PaceChunks(start))
	must.EqOp(t, time.Millisecond, gd.PaceChunks(start))
	must.EqOp(t, 0, gd.PaceChunks(after(time.Second)))
}

// Guards against clients within the protocol that meet a limit: a body of the greatest
// length at 10 Mbit/s.
func TestBodyTimeLeavesTimeForSlowLinks(t *testing.T) {
	const rate = 10_000_000 / 8
	for received := int64(0); received <= guard.DefaultMaxBodyBytes; received += 1 << 10 {
		must.Greater(t, 2*time.Duration(received)*time.Second/rate, guard.BodyTime(received))
	}
	must.EqOp(t, 7*time.Second, guard.BodyTime(guard.DefaultMaxBodyBytes))
}

// Guards against capacities that leave nothing for the process's own connections or
// don't fit into the memory.
func TestCapacitiesFitTheVM(t *testing.T) {
	for _, tc := range []struct{ memoryMB, maxFDs int }{{96, 700}, {184, 4100}, {284, 8192}, {536, 8192}, {0, 0}, {64, 256}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			cs := guard.NewCapacities(tc.memoryMB, tc.maxFDs)
			memoryMB, maxFDs := tc.memoryMB, tc.maxFDs
			if memoryMB == 0 {
				memoryMB, maxFDs = guard.DefaultMemoryMB, guard.DefaultMaxFDs
			}
			must.LessEq(t, (maxFDs-200)/2+32, cs.Callers.Connections+cs.Internal.Connections/2+cs.Readiness.Connections/2)
			must.LessEq(t, int64(memoryMB)<<20/5, int64(cs.Callers.Connections)<<15+cs.Callers.BodyBytes)
			must.Greater(t, cs.Callers.Unfinished-1, cs.Callers.Connections)
		})
	}
}

// Guards against long header sections whose memory nothing bounds.
func TestMemoryForHeaderSections(t *testing.T) {
	gd := guard.New(guard.Capacity{Connections: 100, Unfinished: 100, BodyBytes: 400 << 10, Chunked: 2})
	first, _, _ := gd.Admit(start, owner(1))
	_, ok := gd.ReserveHeader(start, first, 16<<10)
	must.True(t, ok)
	second, _, _ := gd.Admit(start, owner(2))
	_, ok = gd.ReserveHeader(start, second, 16<<10)
	must.False(t, ok)
	evicted, _ := gd.ReserveHeader(after(time.Second), second, 16<<10)
	must.Eq(t, []io.Closer{owner(1)}, evicted)
	gd.Remove(first)
	_, ok = gd.ReserveHeader(after(time.Second), second, 16<<10)
	must.True(t, ok)
	must.True(t, gd.AwaitBody(second))
	_, ok = gd.Reserve(after(time.Second), second, 256<<10, false)
	must.True(t, ok, must.Sprint("a single request within the limits is served"))
}

// Guards against sums that drift from what the connections hold, whatever the order of
// events.
func TestBoundsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gd := guard.New(small)
		live := map[owner]*guard.Connection{}
		held := map[owner]bool{}
		var next int
		now := start
		var closing []*guard.Connection
		drop := func(victims ...io.Closer) {
			for _, victim := range victims {
				if victim != nil {
					closing = append(closing, live[victim.(owner)])
					delete(live, victim.(owner))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				next++
				cn, evicted, _ := gd.Admit(now, owner(next))
				drop(evicted)
				if cn != nil {
					live[owner(next)] = cn
				}
			},
			"close": func(*rapid.T) {
				for _, cn := range closing {
					gd.Release(cn)
					gd.Remove(cn)
				}
				closing = nil
			},
			"act": func(t *rapid.T) {
				if len(live) == 0 {
					t.Skip("no connections")
				}
				number := rapid.SampledFrom(sorted(live)).Draw(t, "connection")
				cn := live[number]
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0:
					drop(gd.Begin(now, cn))
				case 1:
					must.True(t, gd.AwaitBody(cn))
					gd.Release(cn)
					evicted, _ := gd.Reserve(now, cn, int64(rapid.IntRange(1, 300<<10).Draw(t, "size")), rapid.Bool().Draw(t, "chunked"))
					drop(evicted...)
				case 2:
					must.True(t, gd.Serve(cn))
				case 3:
					gd.Idle(now, cn)
				case 5:
					drop(gd.Begin(now, cn))
					if live[number] != nil && !held[number] {
						held[number] = true
						evicted, _ := gd.ReserveHeader(now, cn, rapid.IntRange(1, 20<<10).Draw(t, "header"))
						drop(evicted...)
					}
				case 4:
					gd.Remove(cn)
					delete(live, number)
				}
			},
			"": func(t *rapid.T) {
				must.LessEq(t, small.Connections, len(live)+len(closing))
			},
		})
		for _, cn := range append(slices.Collect(maps.Values(live)), closing...) {
			gd.Remove(cn)
		}
		cn, _, _ := gd.Admit(now, owner(0))
		must.NotNil(t, cn)
		_, ok := gd.Reserve(now, cn, 1<<40, true)
		must.True(t, ok, must.Sprint("nothing is reserved once all are closed"))
	})
}

func sorted(live map[owner]*guard.Connection) []owner {
	var numbers []owner
	for number := owner(0); len(numbers) < len(live); number++ {
		if live[number] != nil {
			numbers = append(numbers, number)
		}
	}
	return numbers
}
