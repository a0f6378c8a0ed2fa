package relayer

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/storer"
)

// source is where something was heard from.
type source int

const (
	fromPlatform source = iota
	fromOwnZone
	fromOtherZone
)

// TopicVersions implements gossiper.Companion.
func (rr *Relayer) TopicVersions() (uint64, []messenger.TopicVersion) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	holdings := []messenger.TopicVersion{}
	for topic, ws := range rr.nameSets {
		holdings = append(holdings, ws.topicVersion(topic))
	}
	for _, tc := range rr.topics {
		if tc.revision > 0 {
			holdings = append(holdings, tc.topicVersion())
		}
	}
	return rr.highestSettings, holdings
}

// Receive implements gossiper.Companion.
func (rr *Relayer) Receive(dy messenger.Delivery) {
	switch bd := dy.Message.Body.(type) {
	case messenger.Ping:
		rr.fetchNewer(dy.From, bd.TopicVersions)
	case messenger.Ack:
		rr.fetchNewer(dy.From, bd.TopicVersions)
	case messenger.Fetch:
		for _, topic := range bd.Topics {
			rr.sendTopic(dy.From, topic)
		}
	case messenger.Snapshot:
		if err := rr.handleSnapshot(dy.Message.Sender, bd); err != nil {
			rr.logger.Warn("news passed over", zap.String("peer", dy.Identity.Name), zap.Error(err))
		}
	}
}

// fetchNewer fetches what a peer has and the node hasn't.
func (rr *Relayer) fetchNewer(from netip.AddrPort, holdings []messenger.TopicVersion) {
	var missing []string
	rr.mutex.Lock()
	for _, hg := range holdings {
		if rr.isOutdated(hg) && time.Since(rr.fetchedAt[hg.Topic]) >= fetchRetryInterval {
			rr.fetchedAt[hg.Topic] = time.Now()
			missing = append(missing, hg.Topic)
		}
	}
	rr.mutex.Unlock()
	if len(missing) > 0 {
		rr.send(from, messenger.Fetch{
			Topics: missing,
		})
	}
}

func (rr *Relayer) isOutdated(hg messenger.TopicVersion) bool {
	if ws, ok := rr.nameSets[hg.Topic]; ok {
		return hg.Version.Number != 0 && hg != ws.topicVersion(hg.Topic)
	}
	tc, ok := rr.topics[hg.Topic]
	return ok && hg.Version.IsAfter(tc.topicVersion().Version)
}

// sendTopic sends what is held under a topic, if anything.
func (rr *Relayer) sendTopic(to netip.AddrPort, topic string) {
	news, ok, err := rr.snapshot(topic)
	if err != nil {
		rr.logger.Error("news can't be told", zap.String("topic", topic), zap.Error(err))
	}
	if ok {
		rr.send(to, news)
	}
}

func (rr *Relayer) snapshot(topic string) (messenger.Snapshot, bool, error) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	if ws, ok := rr.nameSets[topic]; ok {
		ages := map[string]time.Duration{}
		for name, since := range ws.addedAt {
			ages[name] = time.Since(since)
		}
		data, err := encodeNames(ages)
		return messenger.Snapshot{
			TopicVersion: ws.topicVersion(topic),
			Data:         data,
		}, err == nil, err
	}
	tc, ok := rr.topics[topic]
	if !ok || tc.revision == 0 {
		return messenger.Snapshot{}, false, nil
	}
	data, err := encodeEntries(tc.list(topic))
	return messenger.Snapshot{
		TopicVersion: tc.topicVersion(),
		Data:         data,
	}, err == nil, err
}

// handleSnapshot takes in news from a peer.
func (rr *Relayer) handleSnapshot(sender messenger.Member, news messenger.Snapshot) error {
	topic := news.TopicVersion.Topic
	if ws, ok := rr.nameSets[topic]; ok {
		ages, err := decodeNames(news.Data, ws.ttl)
		if err == nil {
			rr.mergeNames(topic, ages)
		}
		return err
	}
	if _, ok := rr.topics[topic]; !ok {
		return nil
	}
	revision := storer.Revision(news.TopicVersion.Version.Number)
	entries, err := decodeEntries(topic, revision, news.Data)
	if err != nil {
		return err
	}
	from := fromOtherZone
	if sender.Zone == rr.zone {
		from = fromOwnZone
	}
	return rr.applyEntries(topic, revision, entries, from)
}

func (rr *Relayer) mergeNames(topic string, ages map[string]time.Duration) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	now := time.Now()
	isNew := false
	for name, age := range ages {
		isNew = rr.nameSets[topic].add(name, now.Add(-age), now) || isNew
	}
	if isNew {
		rr.namesChanged(topic)
	}
}

// applyEntries adopts entries of a higher revision and pushes what changed.
func (rr *Relayer) applyEntries(prefix string, revision storer.Revision, entries map[string]storer.Entry, from source) error {
	settings, err := settingsRevision(prefix, entries)
	if err != nil {
		return err
	}
	rr.mutex.Lock()
	if highest := rr.highestSettings; prefix == storer.SettingsHeadKey && settings < highest {
		rr.mutex.Unlock()
		return classifier.New(classifier.RecordInvalid, "settings revision %d is below %d", settings, highest)
	}
	before := rr.topics[prefix].entries
	isNewer, isChanged := rr.topics[prefix].replace(revision, entries)
	if isNewer {
		rr.highestSettings = max(rr.highestSettings, settings)
	}
	if isNewer && isChanged && prefix == storer.DirectoryPrefix+rr.zone {
		rr.directoryChanged(before[prefix], entries[prefix])
	}
	rr.mutex.Unlock()
	if isNewer && isChanged && from != fromOwnZone {
		rr.push(prefix, from == fromOtherZone)
	}
	return nil
}

// settingsRevision returns the revision of the settings' head, zero for other
// topics, or a RecordInvalid error.
func settingsRevision(prefix string, entries map[string]storer.Entry) (uint64, error) {
	head, ok := entries[storer.SettingsHeadKey]
	if prefix != storer.SettingsHeadKey || !ok {
		return 0, nil
	}
	record, err := configurer.DecodeRecord(head.Value)
	return record.Revision, err
}

// push tells a topic to the nodes of the zone, and unless it is to stay there
// also to one node of each other zone.
func (rr *Relayer) push(topic string, isForZone bool) {
	if tc, ok := rr.topics[topic]; ok && tc.isZoneLocal {
		isForZone = true
	}
	others := map[string][]string{}
	addresses := map[string]netip.AddrPort{}
	for _, member := range rr.membership.Live() {
		addresses[member.Name] = member.PeerAddress
		others[member.Zone] = append(others[member.Zone], member.Name)
	}
	for zone, names := range others {
		switch {
		case zone == rr.zone:
			for _, name := range names {
				rr.sendTopic(addresses[name], topic)
			}
		case !isForZone:
			rr.sendTopic(addresses[elect(zone, names)], topic)
		}
	}
}

// directoryChanged ends word of leaving targets that are in service again.
func (rr *Relayer) directoryChanged(before, after storer.Entry) {
	older, err := registrar.Decode(before.Value)
	if err != nil {
		return
	}
	newer, err := registrar.Decode(after.Value)
	topic := leavingPrefix + rr.zone
	if err == nil && rr.nameSets[topic].removeReturned(older, newer, time.Now()) {
		rr.namesChanged(topic)
	}
}
