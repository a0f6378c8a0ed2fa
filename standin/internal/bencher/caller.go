package bencher

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

const path = "/claims/check"

// caller sends requests one after the other over kept connections.
type caller struct {
	client *http.Client
}

func newCaller(connections int) *caller {
	return &caller{
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: connections,
			},
		},
	}
}

// call sends a request and reads its whole answer.
func (cr *caller) call(ctx context.Context, address netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	rsp, err := cr.client.Do(req)
	if err != nil {
		return err
	}
	length, err := io.Copy(io.Discard, rsp.Body)
	_ = rsp.Body.Close()
	if err != nil {
		return err
	}
	if rsp.StatusCode != http.StatusOK || length != answerBytes {
		return classifier.New(classifier.Internal, "status %d and %d bytes", rsp.StatusCode, length)
	}
	return nil
}

// latencies are the times of requests in the order of their lengths.
type latencies []time.Duration

// at returns the latency that a share of the requests did not exceed.
func (ls latencies) at(share float64) time.Duration {
	return ls[int(share*float64(len(ls)-1))]
}

// alternate sends requests directly and through an entry in turn, one at a
// time, and returns the latencies of both.
func (cr *caller) alternate(ctx context.Context, direct, entry netip.AddrPort, requests int) (straight, through latencies, err error) {
	for range requests {
		for _, way := range []struct {
			address netip.AddrPort
			list    *latencies
		}{{direct, &straight}, {entry, &through}} {
			begin := time.Now()
			if err := cr.call(ctx, way.address); err != nil {
				return nil, nil, err
			}
			*way.list = append(*way.list, time.Since(begin))
		}
	}
	slices.Sort(straight)
	slices.Sort(through)
	return straight, through, nil
}

// load is what a number of callers reached in a time.
type load struct {
	requests uint64
	failed   uint64
	duration time.Duration
	// processor is the processor time of this process: callers and targets.
	processor time.Duration
}

func (ld load) perSecond() float64 { return float64(ld.requests) / ld.duration.Seconds() }

// flood lets callers send requests, each one after the other, for a duration.
// Each caller goes to one address, in turn.
func (cr *caller) flood(ctx context.Context, addresses []netip.AddrPort, callers int, duration time.Duration) load {
	var requests, failed atomic.Uint64
	var group sync.WaitGroup
	begin := time.Now()
	used := processorTime()
	for idx := range callers {
		group.Go(func() {
			for time.Since(begin) < duration {
				if cr.call(ctx, addresses[idx%len(addresses)]) != nil {
					failed.Add(1)
					continue
				}
				requests.Add(1)
			}
		})
	}
	group.Wait()
	return load{
		requests:  requests.Load(),
		failed:    failed.Load(),
		duration:  time.Since(begin),
		processor: processorTime() - used,
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
