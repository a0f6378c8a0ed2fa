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

// settingsNews returns news of a settings revision at a revision of the
// platform, in the form that the decision note 0008 tells.
func settingsNews(t *testing.T, settings, platform uint64) messenger.Delivery {
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

func TestLowerRevisionsArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRegion(t, 1, 8, calm)
		defer rn.stop()
		rn.cutPlatform("a")
		relay := rn.nodes[0].relay
		for _, step := range []struct{ settings, platform, wanted uint64 }{
			{settings: 4, platform: 40, wanted: 4},
			{settings: 3, platform: 30, wanted: 4},
			{settings: 3, platform: 50, wanted: 4},
			{settings: 5, platform: 39, wanted: 4},
			{settings: 6, platform: 60, wanted: 6},
		} {
			relay.Receive(settingsNews(t, step.settings, step.platform))
			entries, _, err := relay.Store().List(t.Context(), storer.SettingsHeadKey)
			must.NoError(t, err)
			must.Len(t, 1, entries)
			record, err := configurer.DecodeRecord(entries[0].Value)
			must.NoError(t, err)
			must.EqOp(t, step.wanted, record.Revision)
			told, _ := relay.TopicVersions()
			must.EqOp(t, step.wanted, told)
		}
	})
}
