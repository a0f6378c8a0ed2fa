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
	"coltsfootwick.example/shared/jobs/authenticator"
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
	watch  watchState
}

// routingTable is a configuration with its queues by host, sorted by descending
// prefix length. It does not change once it is in force.
type routingTable struct {
	configuration modeller.Configuration
	queuesByHost  map[string][]modeller.Queue
	// teams is nil if keys are not enabled.
	teams adapter.Teams
}

// New returns a Router without a configuration.
func New(store storer.Store, logger *zap.Logger) *Router {
	return &Router{
		store:  store,
		logger: logger,
		watch: watchState{
			changed: make(chan struct{}),
		},
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
			ro.receive(nt.Event.Entry)
		}
	case storer.Synced:
		ro.watch.noteSynced(time.Now(), nt.Age)
	case storer.Disconnected:
		ro.watch.noteFailure(time.Now())
	}
}

// receive applies an entry of the configuration's key. The store's reads are linearizable,
// so the first entry after a start is the newest.
func (ro *Router) receive(et storer.Entry) {
	if cf, ok := ro.decode(et); ok {
		ro.apply(cf)
	}
}

func (ro *Router) decode(et storer.Entry) (modeller.Configuration, bool) {
	cf, err := adapter.DecodeConfiguration(et.Value, func(err error) {
		ro.logger.Error("ignoring a part of the configuration that cannot be decoded", zap.Error(err))
	})
	if err != nil {
		ro.logger.Error("cannot decode the configuration; keeping the current one", zap.Error(err))
	}
	return cf, err == nil
}

// apply replaces the current configuration if the new one has a higher version.
func (ro *Router) apply(cf modeller.Configuration) {
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
		teams:         ro.newTeams(cf),
	})
	ro.logger.Info("configuration applied", zap.Int64("version", cf.Version), zap.Int("queues", len(cf.Queues)),
		zap.Int("pools", len(cf.Pools)), zap.Bool("hasKeys", cf.Teams != nil), zap.Int("teams", len(cf.Teams)))
}

// newTeams returns the teams of a configuration, or nil if keys are not enabled.
func (ro *Router) newTeams(cf modeller.Configuration) adapter.Teams {
	if cf.Teams == nil {
		return nil
	}
	au := authenticator.New(cf.Teams)
	if shared := au.SharedKeys(); len(shared) > 0 {
		ro.logger.Error("teams have the same key, which identifies the first of them", zap.Int64("version", cf.Version),
			zap.Int("keys", len(shared)), zap.String("first", shared[0].Team), zap.String("other", shared[0].Other))
	}
	return au
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

// Route implements adapter.Router.
func (ro *Router) Route(ctx context.Context, host, path string) (adapter.Route, error) {
	rt := ro.table.Load()
	if rt == nil {
		return adapter.Route{}, classifier.New(classifier.JobUnavailable, "no configuration has been loaded yet")
	}
	if rt.teams != nil {
		if err := ro.watch.awaitCurrent(ctx); err != nil {
			return adapter.Route{}, err
		}
		rt = ro.table.Load()
	}
	for _, qu := range rt.queuesByHost[host] {
		if strings.HasPrefix(path, qu.Prefix) {
			return adapter.Route{
				Queue:   qu,
				Limits:  rt.configuration.Limits,
				Teams:   rt.teams,
				Version: rt.configuration.Version,
			}, nil
		}
	}
	return adapter.Route{}, classifier.New(classifier.QueueUnknown, "host %q, path %q, configuration %d", host, path, rt.configuration.Version)
}
