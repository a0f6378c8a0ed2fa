package bencher

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/storer"
	"coltsfootwick.example/standin/internal/launcher"
	"coltsfootwick.example/standin/internal/platform"
)

const (
	zone    = "a"
	pool    = "claims"
	targets = 8
	// warmUp is the number of requests before the measurement.
	warmUp = 500
)

const settingsSource = `[organisation]
name = "Bench"

[services.claims]
pathPrefix = "/claims/"
pool = "claims"

[pools.claims]
`

// figure is one measured value.
type figure struct {
	name  string
	value float64
	unit  string
}

// measure starts an entry with a number of processors and measures it.
func (cd *Command) measure(ctx context.Context, processors int) ([]figure, error) {
	files, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(files) }()
	bd, err := newBackend(targets)
	if err != nil {
		return nil, err
	}
	defer bd.close()
	pm := platform.New()
	if err := prepare(ctx, pm.Keeper().Zone(zone), bd); err != nil {
		return nil, err
	}
	lr := launcher.New(cd.Bin, files, fmt.Sprintf("GOMAXPROCS=%d", processors))
	defer lr.Close()
	entry, err := lr.StartEntry(pm, "entry", zone)
	if err != nil {
		return nil, err
	}
	if err := entry.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return cd.compare(ctx, bd, entry)
}

// prepare writes the settings and the directory.
func prepare(ctx context.Context, store storer.Store, bd *backend) error {
	_, err := configurer.NewRepository(store).Apply(ctx, configurer.Change{
		Author: "bench",
		Source: settingsSource,
	})
	if err != nil {
		return err
	}
	dy := registrar.Directory{
		Zone:    zone,
		Epoch:   1,
		Version: 1,
		Written: time.Now(),
	}
	for idx, address := range bd.addresses {
		dy.Targets = append(dy.Targets, registrar.Target{
			VM:      fmt.Sprintf("a-%02d", idx),
			Address: address,
			Pool:    pool,
			Rack:    fmt.Sprintf("a-r%d", idx/2),
			State:   registrar.InService,
		})
	}
	data, err := registrar.Encode(dy)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, storer.DirectoryPrefix+zone, data, 0, 0)
	return err
}

// compare measures the entry beside direct connections to its targets.
func (cd *Command) compare(ctx context.Context, bd *backend, entry *launcher.Process) ([]figure, error) {
	cr := newCaller(cd.Callers)
	if _, _, err := cr.alternate(ctx, bd.addresses[0], entry.Callers, warmUp); err != nil {
		return nil, err
	}
	straight, through, err := cr.alternate(ctx, bd.addresses[0], entry.Callers, cd.Requests)
	if err != nil {
		return nil, err
	}
	figures := []figure{
		{name: "IdleDirectMedian", value: microseconds(straight.at(0.5)), unit: "µs"},
		{name: "IdleThroughMedian", value: microseconds(through.at(0.5)), unit: "µs"},
		{name: "IdleAddedMedian", value: microseconds(through.at(0.5) - straight.at(0.5)), unit: "µs"},
		{name: "IdleAddedP99", value: microseconds(through.at(0.99) - straight.at(0.99)), unit: "µs"},
	}
	for _, way := range []struct {
		name    string
		callers int
	}{{name: "Idle", callers: 1}, {name: "Load", callers: cd.Callers}} {
		more, err := cd.compareLoad(ctx, cr, bd, entry, way.name, way.callers)
		if err != nil {
			return nil, err
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

// compareLoad lets callers send requests directly, then through the entry.
func (cd *Command) compareLoad(ctx context.Context, cr *caller, bd *backend, entry *launcher.Process, name string, callers int) ([]figure, error) {
	direct := cr.flood(ctx, bd.addresses, callers, cd.Duration)
	before, err := entry.Metrics(ctx)
	if err != nil {
		return nil, err
	}
	loaded := cr.flood(ctx, addressesOf(entry), callers, cd.Duration)
	after, err := entry.Metrics(ctx)
	if err != nil {
		return nil, err
	}
	if loaded.requests == 0 || direct.requests == 0 {
		return nil, classifier.New(classifier.Internal, "no request was answered")
	}
	used := after[launcher.ProcessorSeconds] - before[launcher.ProcessorSeconds]
	entryTime := time.Duration(used * float64(time.Second) / float64(loaded.requests))
	directTime := direct.processor / time.Duration(direct.requests)
	return []figure{
		{name: name + "DirectThroughput", value: direct.perSecond(), unit: "requests/s"},
		{name: name + "Throughput", value: loaded.perSecond(), unit: "requests/s"},
		{name: name + "Failed", value: float64(loaded.failed + direct.failed), unit: "requests"},
		{name: name + "DirectProcessor", value: microseconds(directTime), unit: "µs/request"},
		{name: name + "Processor", value: microseconds(entryTime), unit: "µs/request"},
		{name: name + "ProcessorRatio", value: float64(entryTime) / float64(directTime), unit: "times"},
	}, nil
}

func addressesOf(entry *launcher.Process) []netip.AddrPort { return []netip.AddrPort{entry.Callers} }

func microseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Microsecond)
}
