package follower

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/storer"
)

// updateQueueSize limits the updates pending for the reader.
const updateQueueSize = 16

// Follower watches the records that concern the entries of one availability zone.
type Follower struct {
	store   storer.Store
	zone    string
	logger  *zap.Logger
	updates chan Update
}

// New returns a follower for the zone.
func New(store storer.Store, zone string, logger *zap.Logger) *Follower {
	return &Follower{
		store:   store,
		zone:    zone,
		logger:  logger,
		updates: make(chan Update, updateQueueSize),
	}
}

// Updates returns the channel of updates. The updates of each kind of record are
// in order.
func (fr *Follower) Updates() <-chan Update { return fr.updates }

// Run watches the records until ctx ends.
func (fr *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { fr.followSettings(ctx) })
	wg.Go(func() { fr.followDirectory(ctx) })
	wg.Go(func() { fr.followMembers(ctx) })
	wg.Wait()
	return ctx.Err()
}

func (fr *Follower) send(ctx context.Context, ue Update) {
	select {
	case fr.updates <- ue:
	case <-ctx.Done():
	}
}

// followSettings forwards settings with a higher revision than the last ones only.
func (fr *Follower) followSettings(ctx context.Context) {
	var revision uint64
	follow(ctx, fr.store, storer.SettingsHeadKey, func(entries map[string]storer.Entry) {
		ey, ok := entries[storer.SettingsHeadKey]
		if !ok {
			return
		}
		se, err := configurer.Decode(ey.Value)
		if err != nil {
			fr.logInvalid(ey, err)
			return
		}
		if se.Revision > revision {
			revision = se.Revision
			fr.send(ctx, SettingsUpdate{Settings: se})
		}
	})
}

// followDirectory forwards a directory only if it has a higher epoch than the
// last one, or a higher version in the same epoch.
func (fr *Follower) followDirectory(ctx context.Context) {
	var last registrar.Directory
	key := storer.DirectoryPrefix + fr.zone
	follow(ctx, fr.store, key, func(entries map[string]storer.Entry) {
		ey, ok := entries[key]
		if !ok {
			return
		}
		dy, err := registrar.Decode(ey.Value)
		if err == nil && dy.Zone != fr.zone {
			err = classifier.New(classifier.RecordInvalid, "the directory belongs to another zone, %q", dy.Zone)
		}
		if err != nil {
			fr.logInvalid(ey, err)
			return
		}
		if dy.Epoch < last.Epoch || (dy.Epoch == last.Epoch && dy.Version <= last.Version) {
			return
		}
		last = dy
		fr.send(ctx, DirectoryUpdate{Directory: dy})
	})
}

// followMembers forwards the names of the zone's entries and the incarnations of
// all members.
func (fr *Follower) followMembers(ctx context.Context) {
	follow(ctx, fr.store, storer.MemberPrefix, func(entries map[string]storer.Entry) {
		names := make([]string, 0, len(entries))
		incarnations := make(map[string]bool, len(entries))
		for _, ey := range entries {
			mr, err := reporter.DecodeMember(ey.Value)
			if err != nil {
				fr.logInvalid(ey, err)
				continue
			}
			incarnations[mr.Incarnation] = true
			if mr.Zone == fr.zone && mr.Role == reporter.Entry {
				names = append(names, mr.Name)
			}
		}
		slices.Sort(names)
		fr.send(ctx, MembersUpdate{
			Entries:      names,
			Incarnations: incarnations,
		})
	})
}

func (fr *Follower) logInvalid(ey storer.Entry, err error) {
	fr.logger.Error("invalid record ignored",
		zap.String("key", ey.Key),
		zap.Uint64("revision", uint64(ey.Revision)),
		zap.Error(err),
	)
}
