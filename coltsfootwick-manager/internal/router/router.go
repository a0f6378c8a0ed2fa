// Package router follows the operators' configuration and finds the queue of a
// caller's call.
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

// The bounds of following the configuration.
const (
	// watchWait bounds how late a silent connection is noticed; a configuration
	// has to be in force within two seconds.
	watchWait = time.Second
	// firstPause and maxPause are between failed calls.
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Router holds the newest configuration. It is safe for concurrent use.
type Router struct {
	store  storer.Store
	logger *zap.Logger
	table  atomic.Pointer[table]
}

// table is a configuration with its queues by host, the longest prefix first.
type table struct {
	configuration modeller.Configuration
	byHost        map[string][]modeller.Queue
}

// New returns a Router that has no configuration yet.
func New(store storer.Store, logger *zap.Logger) *Router {
	return &Router{
		store:  store,
		logger: logger,
	}
}

// Run follows the configuration until the context is done.
func (ro *Router) Run(ctx context.Context) error {
	return storer.Follow(ctx, ro.store, adapter.ConfigurationKey, ro.handle,
		storer.WithWait(watchWait), storer.WithBackoff(firstPause, maxPause))
}

func (ro *Router) handle(nt storer.Notice) {
	switch nt := nt.(type) {
	case storer.Changed:
		if nt.Event.Entry.Key == adapter.ConfigurationKey && !nt.Event.Deleted {
			ro.take(nt.Event.Entry.Value)
		}
	case storer.Synced, storer.OutOfTouch:
	}
}

// take puts a configuration in force unless it is older than the present one.
func (ro *Router) take(value []byte) {
	cf, err := adapter.DecodeConfiguration(value)
	if err != nil {
		ro.logger.Error("configuration not taken", zap.Error(err))
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
	ro.table.Store(&table{
		configuration: cf,
		byHost:        byHost,
	})
	ro.logger.Info("configuration in force", zap.Int64("version", cf.Version), zap.Int("queues", len(cf.Queues)), zap.Int("pools", len(cf.Pools)))
}

// IsReady reports whether there is a configuration.
func (ro *Router) IsReady() bool { return ro.table.Load() != nil }

// Queue implements adapter.Router.
func (ro *Router) Queue(host, path string) (modeller.Queue, modeller.Limits, error) {
	tb := ro.table.Load()
	if tb == nil {
		return modeller.Queue{}, modeller.Limits{}, classifier.New(classifier.JobUnavailable, "no configuration yet")
	}
	for _, qu := range tb.byHost[host] {
		if strings.HasPrefix(path, qu.Prefix) {
			return qu, tb.configuration.Limits, nil
		}
	}
	return modeller.Queue{}, modeller.Limits{}, classifier.New(classifier.QueueUnknown, "host %q, path %q, configuration %d", host, path, tb.configuration.Version)
}
