package relayer_test

import (
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/storer"
)

// settingsSnapshot returns a delivered snapshot of a settings revision at a
// platform revision, in the encoding that decision note 0008 specifies.
func settingsSnapshot(t *testing.T, settings, platform uint64) messenger.Delivery {
	value, err := configurer.EncodeRecord(configurer.Record{
		Revision: settings,
		ChangeID: "c",
		Source:   "[organisation]\nname = \"Test\"\n",
	})
	must.NoError(t, err)
	data, err := cbor.Marshal([]map[int]any{{1: storer.SettingsHeadKey, 2: value, 3: platform}})
	must.NoError(t, err)
	return messenger.Delivery{
		Identity: certifier.Identity{Name: "node-8", Role: reporter.Entry, Zone: "b"},
		Message: messenger.Message{
			Sender: messenger.Member{Name: "node-8", Role: reporter.Entry, Zone: "b", PeerAddress: address(8)},
			Body: messenger.Snapshot{
				TopicVersion: messenger.TopicVersion{
					Topic:   storer.SettingsHeadKey,
					Version: messenger.Version{Number: platform},
				},
				Data: data,
			},
		},
	}
}

func TestLowerRevisionsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRegion(t, 1, 8, lossless)
		defer rn.stop()
		rn.partitionPlatform("a")
		relay := rn.nodes[0].relay
		for _, step := range []struct{ settings, platform, want uint64 }{
			{settings: 4, platform: 40, want: 4},
			{settings: 3, platform: 30, want: 4},
			{settings: 3, platform: 50, want: 4},
			{settings: 5, platform: 39, want: 4},
			{settings: 6, platform: 60, want: 6},
		} {
			relay.Receive(settingsSnapshot(t, step.settings, step.platform))
			entries, _, err := relay.Store().List(t.Context(), storer.SettingsHeadKey)
			must.NoError(t, err)
			must.Len(t, 1, entries)
			record, err := configurer.DecodeRecord(entries[0].Value)
			must.NoError(t, err)
			must.EqOp(t, step.want, record.Revision)
			revision, _ := relay.TopicVersions()
			must.EqOp(t, step.want, revision)
		}
	})
}
