package sloper

import (
	"runtime"
	"time"
)

const (
	// roundTime is how long a step is repeated to time it.
	roundTime = 15 * time.Millisecond
	// rounds is the number of rounds; the quickest counts, since others of the
	// machine only ever slow a round down.
	rounds = 3
)

// timeOf returns the time that one call of a step takes, in microseconds.
func timeOf(step func()) float64 {
	best := time.Duration(1<<63 - 1)
	for range rounds {
		calls := 0
		begin := time.Now()
		for time.Since(begin) < roundTime {
			step()
			calls++
		}
		best = min(best, time.Since(begin)/time.Duration(calls))
	}
	return float64(best) / float64(time.Microsecond)
}

// heapBytes returns the bytes of the heap that are in use after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// growth returns the bytes that what build returns takes on the heap.
func growth(build func() any) float64 {
	before := heapBytes()
	built := build()
	after := heapBytes()
	runtime.KeepAlive(built)
	return max(after-before, 0)
}
