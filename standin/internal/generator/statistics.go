package generator

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/sealer"
	"coltsfootwick.example/standin/internal/target"
)

// The range and the precision of the histograms.
const (
	lowestTime        = time.Microsecond
	highestTime       = 10 * time.Minute
	significantDigits = 3
)

// Statistics are the times of one kind of work of one service.
type Statistics struct {
	// Service is the service's name.
	Service string
	// Long is true for long work.
	Long bool
	// Requests counts the requests.
	Requests int
	// Answered counts the requests that ended with status 200.
	Answered int
	// Refused counts the requests that ended with a refusal.
	Refused int
	// Latency is the time from a request's arrival to its whole answer, of
	// those answered.
	Latency Quantiles
	// StartDelay is the time from a request's arrival to the beginning of its
	// first execution, of those that ran.
	StartDelay Quantiles
}

// Quantiles are the middle and the tail of a histogram.
type Quantiles struct {
	// Median is the 50th percentile.
	Median time.Duration
	// P90 is the 90th percentile.
	P90 time.Duration
	// P99 is the 99th percentile.
	P99 time.Duration
	// Max is the greatest value.
	Max time.Duration
}

type kindOfWork struct {
	service string
	long    bool
}

type histograms struct {
	statistics Statistics
	latency    *hdrhistogram.Histogram
	startDelay *hdrhistogram.Histogram
}

// Summarise returns the statistics of each service and kind of work, ordered by
// service with urgent work first.
func Summarise(requests []ledger.Request, reports []target.Report) []Statistics {
	begins := firstBegins(reports)
	found := map[kindOfWork]*histograms{}
	for _, rt := range requests {
		kind := kindOfWork{
			service: rt.Service,
			long:    rt.Long,
		}
		if found[kind] == nil {
			found[kind] = newHistograms(kind)
		}
		found[kind].add(rt, begins[rt.Identifier])
	}
	summary := make([]Statistics, 0, len(found))
	for _, hs := range found {
		summary = append(summary, hs.summarise())
	}
	slices.SortFunc(summary, func(a, b Statistics) int {
		if order := cmp.Compare(a.Service, b.Service); order != 0 || a.Long == b.Long {
			return order
		}
		if b.Long {
			return -1
		}
		return 1
	})
	return summary
}

func firstBegins(reports []target.Report) map[string]time.Time {
	begins := map[string]time.Time{}
	for _, report := range reports {
		for _, en := range report.Executions {
			request := sealer.RequestOf(en.Identifier)
			if first, found := begins[request]; !found || en.Begin.Before(first) {
				begins[request] = en.Begin
			}
		}
	}
	return begins
}

func newHistograms(kind kindOfWork) *histograms {
	return &histograms{
		statistics: Statistics{
			Service: kind.service,
			Long:    kind.long,
		},
		latency:    hdrhistogram.New(int64(lowestTime), int64(highestTime), significantDigits),
		startDelay: hdrhistogram.New(int64(lowestTime), int64(highestTime), significantDigits),
	}
}

func (hs *histograms) add(rt ledger.Request, begin time.Time) {
	hs.statistics.Requests++
	last := rt.Last()
	switch result := last.Result.(type) {
	case ledger.Answer:
		if result.Status == 200 {
			hs.statistics.Answered++
			record(hs.latency, last.Ended.Sub(rt.Arrival))
		}
	case ledger.Refusal:
		hs.statistics.Refused++
	}
	if !begin.IsZero() {
		record(hs.startDelay, begin.Sub(rt.Arrival))
	}
}

func record(hm *hdrhistogram.Histogram, length time.Duration) {
	_ = hm.RecordValue(int64(min(max(length, lowestTime), highestTime)))
}

func (hs *histograms) summarise() Statistics {
	summary := hs.statistics
	summary.Latency = quantilesOf(hs.latency)
	summary.StartDelay = quantilesOf(hs.startDelay)
	return summary
}

func quantilesOf(hm *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Median: time.Duration(hm.ValueAtQuantile(50)),
		P90:    time.Duration(hm.ValueAtQuantile(90)),
		P99:    time.Duration(hm.ValueAtQuantile(99)),
		Max:    time.Duration(hm.Max()),
	}
}
