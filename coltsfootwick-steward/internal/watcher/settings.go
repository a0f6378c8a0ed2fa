// Package watcher follows the records that the steward's duties depend on: the
// settings in force and the live entries of the availability zone.
package watcher

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/storer"
)

// Settings holds the settings in force. It is safe for concurrent use.
type Settings struct {
	follower *configurer.Follower
	current  atomic.Pointer[configurer.Settings]
}

// NewSettings returns an empty Settings. Run fills it.
func NewSettings(logger *zap.Logger) *Settings {
	return &Settings{
		follower: configurer.NewFollower(configurer.WithLogger(logger)),
	}
}

// Settings returns the settings in force, or false if none have been received.
func (ss *Settings) Settings() (configurer.Settings, bool) {
	current := ss.current.Load()
	if current == nil {
		return configurer.Settings{}, false
	}
	return *current, true
}

// Revision returns the revision in force, or zero if there is none.
func (ss *Settings) Revision() uint64 { return ss.follower.Revision() }

// Run follows the settings records until the context is done.
func (ss *Settings) Run(ctx context.Context, store storer.Store) error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ss.storeUpdates(ctx)
	}()
	err := ss.follower.Follow(ctx, store)
	<-stopped
	return err
}

// storeUpdates stores each revision that the follower delivers, until ctx is
// done.
func (ss *Settings) storeUpdates(ctx context.Context) {
	for {
		select {
		case settings := <-ss.follower.Settings():
			ss.current.Store(&settings)
		case <-ctx.Done():
			return
		}
	}
}
