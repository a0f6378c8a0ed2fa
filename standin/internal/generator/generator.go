package generator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootwick.example/standin/internal/ledger"
)

// Generator sends the requests of all callers.
type Generator struct {
	config  Config
	callers []*Caller
	ledger  *ledger.Ledger

	outstanding chan struct{}
	notSent     atomic.Int64
}

// New returns a generator that records into lr. The configuration must have
// passed its Check.
func New(cg Config, lr *ledger.Ledger) *Generator {
	gr := &Generator{
		config:      cg,
		ledger:      lr,
		outstanding: make(chan struct{}, cg.MaxOutstanding),
	}
	for _, ze := range cg.Zones {
		gr.callers = append(gr.callers, NewCaller(cg, ze))
	}
	return gr
}

// NotSent counts the requests that were not sent because MaxOutstanding others
// were waiting for their answers.
func (gr *Generator) NotSent() int { return int(gr.notSent.Load()) }

// Run sends requests until the configured length is over and every request has
// ended. When ctx ends, no further requests are sent, and those in flight go on
// to their end.
func (gr *Generator) Run(ctx context.Context) {
	checking, stopChecks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopChecks()
	begin := time.Now()
	var streams sync.WaitGroup
	for zone, cr := range gr.callers {
		go cr.balancer.watch(checking)
		for service := range gr.config.Services {
			streams.Go(func() { gr.stream(ctx, begin, zone, service) })
		}
	}
	streams.Wait()
	for _, cr := range gr.callers {
		cr.Close()
	}
}

// stream sends the requests of one service's callers in one zone.
func (gr *Generator) stream(ctx context.Context, begin time.Time, zone, service int) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for al := range Arrivals(gr.config, zone, service) {
		arrival := begin.Add(al.At)
		if !wait(ctx, time.Until(arrival)) {
			return
		}
		select {
		case gr.outstanding <- struct{}{}:
		default:
			gr.notSent.Add(1)
			continue
		}
		calls.Go(func() {
			defer func() { <-gr.outstanding }()
			se := gr.config.Services[service]
			gr.ledger.Add(gr.callers[zone].Call(context.WithoutCancel(ctx), se, al, arrival))
		})
	}
}
