// Package router watches the operators' configuration and selects the queue of
// each caller's request.
package router

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Timing of the watch on the configuration.
const (
	// watchTimeout is how long a watch waits for changes. It bounds the time
	// until a dead connection is detected, as a new configuration has to be
	// applied within two seconds.
	watchTimeout = time.Second
	// minBackoff and maxBackoff bound the pauses after failed calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Router routes requests by the newest configuration. It is safe for concurrent
// use.
type Router struct {
	store  storer.Store
	logger *zap.Logger
	table  atomic.Pointer[routingTable]
}

// routingTable is a configuration with its queues by host, sorted by descending
// prefix length.
type routingTable struct {
	configuration modeller.Configuration
	queuesByHost  map[string][]modeller.Queue
}

// New returns a Router without a configuration.
func New(store storer.Store, logger *zap.Logger) *Router {
	return &Router{
		store:  store,
		logger: logger,
	}
}

// Run watches the configuration until the context is done.
func (ro *Router) Run(ctx context.Context) error {
	return storer.Follow(ctx, ro.store, adapter.ConfigurationKey, ro.handle,
		storer.WithWait(watchTimeout), storer.WithBackoff(minBackoff, maxBackoff))
}

func (ro *Router) handle(nt storer.Notice) {
	switch nt := nt.(type) {
	case storer.Changed:
		if nt.Event.Entry.Key == adapter.ConfigurationKey && !nt.Event.Deleted {
			ro.apply(nt.Event.Entry.Value)
		}
	case storer.Synced, storer.Disconnected:
	}
}

// apply replaces the current configuration if the new one has a higher version.
func (ro *Router) apply(value []byte) {
	cf, err := adapter.DecodeConfiguration(value, func(err error) {
		ro.logger.Error("ignoring a part of the configuration that cannot be decoded", zap.Error(err))
	})
	if err != nil {
		ro.logger.Error("cannot decode the configuration; keeping the current one", zap.Error(err))
		return
	}
	if old := ro.table.Load(); old != nil && old.configuration.Version >= cf.Version {
		return
	}
	byHost := map[string][]modeller.Queue{}
	for _, qu := range cf.Queues {
		byHost[qu.Host] = append(byHost[qu.Host], qu)
	}
	for _, queues := range byHost {
		slices.SortFunc(queues, func(a, b modeller.Queue) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	ro.table.Store(&routingTable{
		configuration: cf,
		queuesByHost:  byHost,
	})
	ro.logger.Info("configuration applied", zap.Int64("version", cf.Version), zap.Int("queues", len(cf.Queues)), zap.Int("pools", len(cf.Pools)))
}

// IsReady reports whether a configuration has been applied.
func (ro *Router) IsReady() bool { return ro.table.Load() != nil }

// HasQueue reports whether there is a queue with a name.
func (ro *Router) HasQueue(name string) bool {
	rt := ro.table.Load()
	if rt == nil {
		return false
	}
	_, ok := rt.configuration.Queues[name]
	return ok
}

// Limits returns the limits of callers' requests that are in force. They are zero as long
// as no configuration has been applied.
func (ro *Router) Limits() modeller.Limits {
	rt := ro.table.Load()
	if rt == nil {
		return modeller.Limits{}
	}
	return rt.configuration.Limits
}

// Queue implements adapter.Router.
func (ro *Router) Queue(host, path string) (modeller.Queue, modeller.Limits, error) {
	rt := ro.table.Load()
	if rt == nil {
		return modeller.Queue{}, modeller.Limits{}, classifier.New(classifier.JobUnavailable, "no configuration has been loaded yet")
	}
	for _, qu := range rt.queuesByHost[host] {
		if strings.HasPrefix(path, qu.Prefix) {
			return qu, rt.configuration.Limits, nil
		}
	}
	return modeller.Queue{}, modeller.Limits{}, classifier.New(classifier.QueueUnknown, "host %q, path %q, configuration %d", host, path, rt.configuration.Version)
}
