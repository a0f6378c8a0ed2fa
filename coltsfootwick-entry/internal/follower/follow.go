package follower

import (
	"context"

	"coltsfootwick.example/shared/store/storer"
)

// follow watches the entries whose keys start with prefix until ctx ends. It calls
// apply with these entries by key, at first and after each change.
func follow(ctx context.Context, store storer.Store, prefix string, apply func(map[string]storer.Entry)) {
	entries := map[string]storer.Entry{}
	changed := true
	_ = storer.Follow(ctx, store, prefix, func(nt storer.Notice) {
		switch nt := nt.(type) {
		case storer.Changed:
			changed = true
			if nt.Event.Deleted {
				delete(entries, nt.Event.Entry.Key)
			} else {
				entries[nt.Event.Entry.Key] = nt.Event.Entry
			}
		case storer.Synced:
			if changed {
				changed = false
				apply(entries)
			}
		}
	})
}
