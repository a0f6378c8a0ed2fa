package configurer

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Follower passes on the settings of the highest revision that it is offered,
// whatever the order, the number and the origin of the offers. A record that
// can't be used is logged and passed over; it never takes away the settings in
// force. It is safe for concurrent use.
type Follower struct {
	logger *zap.Logger
	// settings holds the newest settings until the reader takes them.
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

// NewFollower returns a Follower that has been offered nothing.
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

// Settings returns the channel of the settings, each with a higher revision
// than the one before. A reader that is late gets only the newest.
func (fr *Follower) Settings() <-chan Settings { return fr.settings }

// Revision returns the highest revision passed on, zero for none.
func (fr *Follower) Revision() uint64 {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	return fr.highest
}

// Record returns the stored form of the highest revision passed on, for peers
// that can't reach the platform's service. It is nil for none, and must not be
// changed.
func (fr *Follower) Record() []byte {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	return fr.record
}

// Offer takes the stored form of a head record, from the platform's service or
// from a peer, and tells whether it was newer. The form must not be changed
// afterwards. The error is RecordInvalid for one that can't be used.
func (fr *Follower) Offer(data []byte) (bool, error) {
	rc, err := DecodeRecord(data)
	if err != nil {
		return false, fr.refuse(0, err)
	}
	if rc.Revision <= fr.Revision() {
		return false, nil
	}
	settings, err := rc.Settings()
	if err != nil {
		err = classifier.Wrap(err, classifier.RecordInvalid, "source of settings revision %d", rc.Revision)
		return false, fr.refuse(rc.Revision, err)
	}
	return fr.pass(settings, data), nil
}

func (fr *Follower) refuse(revision uint64, err error) error {
	fr.logger.Error("settings record passed over",
		zap.Uint64("settingsRevision", revision),
		zap.Uint64("revisionInForce", fr.Revision()),
		zap.Error(err),
	)
	return err
}

// pass hands settings to the reader in place of older ones not yet read.
func (fr *Follower) pass(settings Settings, data []byte) bool {
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
	fr.logger.Info("settings in force",
		zap.Uint64("settingsRevision", settings.Revision),
		zap.String("changeId", settings.ChangeID),
		zap.String("author", settings.Author),
	)
	return true
}

// Follow offers each head record of the platform's service until the context
// is done, and returns the context's error. Offers from peers may go on beside
// it.
func (fr *Follower) Follow(ctx context.Context, store storer.Store, opts ...storer.FollowOption) error {
	return storer.Follow(ctx, store, storer.SettingsHeadKey, fr.handle, opts...)
}

func (fr *Follower) handle(nt storer.Notice) {
	switch nt := nt.(type) {
	case storer.Changed:
		fr.handleChange(nt.Event)
	case storer.Disconnected:
		fr.logger.Warn("settings out of touch", zap.Error(nt.Err))
	case storer.Synced:
	}
}

func (fr *Follower) handleChange(ev storer.Event) {
	if ev.Entry.Key != storer.SettingsHeadKey {
		return
	}
	if ev.Deleted {
		fr.logger.Error("settings head deleted", zap.Uint64("revisionInForce", fr.Revision()))
		return
	}
	// Offer has logged its error, and the settings in force stay.
	_, _ = fr.Offer(ev.Entry.Value)
}
