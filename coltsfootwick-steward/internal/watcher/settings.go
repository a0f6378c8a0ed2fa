// Package watcher follows what the steward's duties need to know: the settings
// in force and the live entries of its availability zone.
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

// NewSettings returns a Settings that has none yet.
func NewSettings(logger *zap.Logger) *Settings {
	return &Settings{
		follower: configurer.NewFollower(configurer.WithLogger(logger)),
	}
}

// Settings returns the settings in force, and false before there are any.
func (ss *Settings) Settings() (configurer.Settings, bool) {
	current := ss.current.Load()
	if current == nil {
		return configurer.Settings{}, false
	}
	return *current, true
}

// Revision returns the revision in force, zero for none.
func (ss *Settings) Revision() uint64 { return ss.follower.Revision() }

// Run follows the platform's service until the context is done.
func (ss *Settings) Run(ctx context.Context, store storer.Store) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ss.take(ctx)
	}()
	err := ss.follower.Follow(ctx, store)
	<-ended
	return err
}

func (ss *Settings) take(ctx context.Context) {
	for {
		select {
		case settings := <-ss.follower.Settings():
			ss.current.Store(&settings)
		case <-ctx.Done():
			return
		}
	}
}
