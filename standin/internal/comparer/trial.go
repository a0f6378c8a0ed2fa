// Package comparer is the trial of docs/decisions/0009: star, tree and gossip
// side by side as relays of the settings, in a small model in virtual time.
package comparer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Command is the subcommand that runs the trial.
type Command struct {
	Seeds int `default:"200" help:"Runs of each kind."`
	Bytes int `default:"32800" help:"Size of the settings."`
}

// trouble is what is wrong with the network.
type trouble struct {
	name  string
	apply func(nk *network, random *rand.Rand)
}

var troubles = []trouble{
	{name: "none", apply: func(*network, *rand.Rand) {}},
	{name: "source's zone cut from one other", apply: (*network).cutSource},
	{name: "5% of the nodes dead", apply: (*network).kill},
	{name: "both", apply: func(nk *network, random *rand.Rand) {
		nk.cutSource(random)
		nk.kill(random)
	}},
}

// contender is a way with or without the repair by heartbeats.
type contender struct {
	name    string
	repairs bool
	build   func(nk *network) way
}

var contenders = []contender{
	{name: "star", build: func(*network) way { return star{} }},
	{name: "tree", build: func(nk *network) way { return newTree(nk) }},
	{name: "gossip", build: func(*network) way { return gossip{} }},
	{name: "star and heartbeats", repairs: true, build: func(*network) way { return star{} }},
	{name: "tree and heartbeats", repairs: true, build: func(nk *network) way { return newTree(nk) }},
	{name: "gossip and heartbeats", repairs: true, build: func(*network) way { return gossip{} }},
}

// outcome is what some runs showed.
type outcome struct {
	// kilobytes, busiest and regional are means over the runs: of all nodes, of
	// the node that sent the most, and between regions.
	kilobytes, busiest, regional float64
	// mean and worst are over the runs' times until the last of the nodes
	// that got the settings.
	mean, worst time.Duration
	// missed is the share of live nodes without the settings at the deadline.
	missed float64
}

// Run prints a Markdown table.
func (cd *Command) Run(out io.Writer) error {
	_, err := fmt.Fprintf(out, "| trouble | way | all KB | busiest node KB | between regions KB | mean time | worst time | missed at 9 s |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	if err != nil {
		return err
	}
	for _, te := range troubles {
		for _, cr := range contenders {
			oe := try(te, cr, cd.Seeds, cd.Bytes)
			_, err := fmt.Fprintf(out, "| %s | %s | %.0f | %.0f | %.0f | %d ms | %d ms | %.2f%% |\n", te.name, cr.name,
				oe.kilobytes, oe.busiest, oe.regional, oe.mean.Milliseconds(), oe.worst.Milliseconds(), 100*oe.missed)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// try runs a way under a trouble with seeds from 1.
func try(te trouble, cr contender, seeds, bytes int) outcome {
	var oe outcome
	live, missed := 0, 0
	for seed := range seeds {
		random := rand.New(rand.NewPCG(uint64(seed+1), 0))
		nk := newNetwork(random)
		te.apply(nk, random)
		sm := &simulation{
			network: nk,
			random:  random,
			way:     cr.build(nk),
			size:    bytes,
		}
		sm.run(cr.repairs)
		last, reached, alive := sm.result()
		live += alive
		missed += alive - reached
		oe.add(sm, last, seeds)
	}
	oe.missed = float64(missed) / float64(live)
	return oe
}

// result returns when the last node got the settings, and how many of the live
// nodes did.
func (sm *simulation) result() (last time.Duration, reached, alive int) {
	for node := range nodes {
		if sm.network.dead[node] {
			continue
		}
		alive++
		if sm.has[node] {
			reached++
			last = max(last, sm.arrived[node])
		}
	}
	return last, reached, alive
}

// add adds a run's part of the means.
func (oe *outcome) add(sm *simulation, last time.Duration, seeds int) {
	const kilobyte = 1024
	share := 1 / float64(seeds) / kilobyte
	total, busiest := 0, 0
	for _, bytes := range sm.sent {
		total += bytes
		busiest = max(busiest, bytes)
	}
	oe.kilobytes += float64(total) * share
	oe.busiest += float64(busiest) * share
	oe.regional += float64(sm.regional) * share
	oe.mean += last / time.Duration(seeds)
	oe.worst = max(oe.worst, last)
}
