package configurer

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Follower publishes the settings of the highest revision that it is offered,
// regardless of the order, number and origin of the offers. An invalid record
// is logged and ignored; the settings in force are kept. It is safe for
// concurrent use.
type Follower struct {
	logger *zap.Logger
	// settings holds the latest settings until the reader receives them.
	settings chan Settings

	mutex   sync.Mutex
	highest uint64
	record  []byte
}

// FollowerOption is an option of NewFollower.
type FollowerOption func(*Follower)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) FollowerOption {
	return func(fr *Follower) { fr.logger = logger }
}

// NewFollower returns a Follower without settings.
func NewFollower(opts ...FollowerOption) *Follower {
	fr := &Follower{
		logger:   zap.NewNop(),
		settings: make(chan Settings, 1),
	}
	for _, opt := range opts {
		opt(fr)
	}
	return fr
}

// Settings returns the channel on which settings are published with strictly
// increasing revisions. A slow reader receives only the latest settings.
func (fr *Follower) Settings() <-chan Settings { return fr.settings }

// Revision returns the highest published revision, or zero if there is none.
func (fr *Follower) Revision() uint64 {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	return fr.highest
}

// Record returns the stored form of the highest published revision, for peers
// that can't reach the platform's service, or nil if there is none. The caller
// must not modify it.
func (fr *Follower) Record() []byte {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	return fr.record
}

// Offer publishes the settings of a head record if its revision is higher than
// all previous ones, and reports whether it did. The data is the stored form of
// the record, from the platform's service or from a peer, and must not be
// modified afterwards. The error is RecordInvalid if the record is invalid.
func (fr *Follower) Offer(data []byte) (bool, error) {
	rc, err := DecodeRecord(data)
	if err != nil {
		return false, fr.reject(0, err)
	}
	if rc.Revision <= fr.Revision() {
		return false, nil
	}
	settings, err := rc.Settings()
	if err != nil {
		err = classifier.Wrap(err, classifier.RecordInvalid, "parse source of settings revision %d", rc.Revision)
		return false, fr.reject(rc.Revision, err)
	}
	return fr.publish(settings, data), nil
}

// reject logs an invalid record and returns its error.
func (fr *Follower) reject(revision uint64, err error) error {
	fr.logger.Error("invalid settings record ignored",
		zap.Uint64("settingsRevision", revision),
		zap.Uint64("revisionInForce", fr.Revision()),
		zap.Error(err),
	)
	return err
}

// publish sends settings to the reader, replacing older settings that the reader
// has not received yet. It reports whether their revision is the highest so far.
func (fr *Follower) publish(settings Settings, data []byte) bool {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	if settings.Revision <= fr.highest {
		return false
	}
	fr.highest = settings.Revision
	fr.record = data
	select {
	case <-fr.settings:
	default:
	}
	fr.settings <- settings
	fr.logger.Info("new settings in force",
		zap.Uint64("settingsRevision", settings.Revision),
		zap.String("changeId", settings.ChangeID),
		zap.String("author", settings.Author),
	)
	return true
}

// Follow watches the head record in the platform's service and offers each
// version of it until the context is done. It returns the context's error.
// Records from peers may be offered concurrently.
func (fr *Follower) Follow(ctx context.Context, store storer.Store, opts ...storer.FollowOption) error {
	return storer.Follow(ctx, store, storer.SettingsHeadKey, fr.handleNotice, opts...)
}

func (fr *Follower) handleNotice(nt storer.Notice) {
	switch nt := nt.(type) {
	case storer.Changed:
		fr.handleChange(nt.Event)
	case storer.Disconnected:
		fr.logger.Warn("settings can't be read from the platform's service and may be stale", zap.Error(nt.Err))
	case storer.Synced:
	}
}

func (fr *Follower) handleChange(ev storer.Event) {
	if ev.Entry.Key != storer.SettingsHeadKey {
		return
	}
	if ev.Deleted {
		fr.logger.Error("settings head record deleted; settings in force are kept", zap.Uint64("revisionInForce", fr.Revision()))
		return
	}
	// Offer logs its error, and the settings in force are kept.
	_, _ = fr.Offer(ev.Entry.Value)
}
