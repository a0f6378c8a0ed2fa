package configurer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
)

// treeWith returns a tree whose services a and b have the given values of
// maxQueued.
func treeWith(first, second int) string {
	return fmt.Sprintf(`[organisation]
name = "Test"

[services.a]
pathPrefix = "/a/"
pool = "workers"
maxQueued = %d

[services.b]
pathPrefix = "/b/"
pool = "workers"
maxQueued = %d

[pools.workers]
`, first, second)
}

func apply(t *testing.T, rp *configurer.Repository, author string, base uint64, source string) configurer.Settings {
	t.Helper()
	settings, err := rp.Apply(t.Context(), configurer.Change{
		Author: author,
		Reason: "test of " + author,
		Source: source,
		Base:   base,
	})
	must.NoError(t, err)
	return settings
}

func TestApplyHistoryRollback(t *testing.T) {
	rp := configurer.NewRepository(keeper.New().Zone("a"))
	_, err := rp.Head(t.Context())
	must.EqOp(t, classifier.SettingsNotFound, classifier.CodeOf(err))

	apply(t, rp, "abebe", 0, treeWith(1, 1))
	apply(t, rp, "bruna", 1, treeWith(2, 1))
	settings, err := rp.Rollback(t.Context(), 1, configurer.Change{
		Author: "abebe",
	})
	must.NoError(t, err)
	must.EqOp(t, uint64(3), settings.Revision)
	must.EqOp(t, 1, settings.Services["a"].MaxQueued)

	history, err := rp.History(t.Context(), 10)
	must.NoError(t, err)
	must.SliceLen(t, 3, history)
	must.EqOp(t, "roll back to revision 1", history[0].Reason)
	must.EqOp(t, "bruna", history[1].Author)
	_, err = rp.Revision(t.Context(), 4)
	must.EqOp(t, classifier.SettingsNotFound, classifier.CodeOf(err))
}

func TestConflictListsOtherChanges(t *testing.T) {
	rp := configurer.NewRepository(keeper.New().Zone("a"))
	apply(t, rp, "abebe", 0, treeWith(1, 1))
	apply(t, rp, "bruna", 1, treeWith(2, 1))

	for source, both := range map[string][]string{
		treeWith(3, 1): {"services.a.maxQueued"},
		treeWith(1, 3): nil,
	} {
		_, err := rp.Apply(t.Context(), configurer.Change{
			Author: "abebe",
			Source: source,
			Base:   1,
		})
		must.EqOp(t, classifier.SettingsConflict, classifier.CodeOf(err))
		var conflict *configurer.ConflictError
		must.True(t, errors.As(err, &conflict))
		must.EqOp(t, "bruna", conflict.Head.Author)
		must.EqOp(t, uint64(2), conflict.Head.Revision)
		must.SliceLen(t, 1, conflict.Difference)
		must.EqOp(t, "~ services.a.maxQueued = 2 (was 1)", conflict.Difference[0].String())
		must.Eq(t, both, conflict.ConflictingKeys)
	}
}

func TestApplyCostsThreeCalls(t *testing.T) {
	kr := keeper.New()
	rp := configurer.NewRepository(kr.Zone("a"))
	apply(t, rp, "abebe", 0, treeWith(1, 1))
	before := kr.Counts().Total()
	apply(t, rp, "abebe", 1, treeWith(2, 1))
	must.EqOp(t, before+3, kr.Counts().Total())
}

func TestRejectedChangesWriteNothing(t *testing.T) {
	store := keeper.New().Zone("a")
	rp := configurer.NewRepository(store)
	cases := map[classifier.Code]configurer.Change{
		classifier.SettingsUnknownKey: {
			Author: "abebe",
			Source: treeWith(1, 1) + "[pool]\n",
		},
		classifier.SettingsRange: {
			Source: treeWith(1, 1),
		},
		classifier.SettingsTooLarge: {
			Author: "abebe",
			Source: treeWith(1, 1) + strings.Repeat("# \"comment\"\n", 80_000),
		},
		classifier.SettingsNotFound: {
			Author: "abebe",
			Source: treeWith(1, 1),
			Base:   7,
		},
	}
	for code, change := range cases {
		_, err := rp.Apply(t.Context(), change)
		must.EqOp(t, code, classifier.CodeOf(err))
	}
	entries, _, err := store.List(t.Context(), "")
	must.NoError(t, err)
	must.SliceEmpty(t, entries)
}

func TestSameChangeIsAcceptedOnce(t *testing.T) {
	rp := configurer.NewRepository(keeper.New().Zone("a"))
	change := configurer.Change{
		ID:     "one",
		Author: "abebe",
		Source: treeWith(1, 1),
	}
	for range 2 {
		settings, err := rp.Apply(t.Context(), change)
		must.NoError(t, err)
		must.EqOp(t, uint64(1), settings.Revision)
	}
	apply(t, rp, "bruna", 1, treeWith(2, 1))
	settings, err := rp.Apply(t.Context(), change)
	must.NoError(t, err)
	must.EqOp(t, uint64(1), settings.Revision)
}

func TestFollowerPublishesOnlyHigherRevisions(t *testing.T) {
	record := func(revision uint64, source string) []byte {
		data, err := configurer.EncodeRecord(configurer.Record{
			Revision: revision,
			ChangeID: fmt.Sprint(revision),
			Source:   source,
		})
		must.NoError(t, err)
		return data
	}
	fr := configurer.NewFollower()
	for _, revision := range []uint64{3, 2, 3, 5, 4, 6} {
		higher := revision > fr.Revision()
		newer, err := fr.Offer(record(revision, treeWith(1, 1)))
		must.NoError(t, err)
		must.EqOp(t, higher, newer)
	}
	for _, invalid := range [][]byte{record(9, "[pool]"), []byte("{")} {
		_, err := fr.Offer(invalid)
		must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
	}
	must.EqOp(t, uint64(6), (<-fr.Settings()).Revision)
	must.EqOp(t, uint64(6), fr.Revision())
	select {
	case <-fr.Settings():
		t.Fatal("older settings received after the newest")
	default:
	}
}

func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := configurer.Decode(data)
		if err != nil {
			must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
			return
		}
		encoded, err := configurer.Encode(settings)
		if classifier.CodeOf(err) == classifier.SettingsTooLarge {
			return
		}
		must.NoError(t, err)
		decoded, err := configurer.Decode(encoded)
		must.NoError(t, err)
		must.Eq(t, settings, decoded)
	})
}
