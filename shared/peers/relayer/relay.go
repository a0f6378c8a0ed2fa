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

// source is where entries were received from.
type source int

const (
	fromPlatform source = iota
	fromOwnZone
	fromOtherZone
)

// TopicVersions implements gossiper.Delegate.
func (rr *Relayer) TopicVersions() (uint64, []messenger.TopicVersion) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	versions := []messenger.TopicVersion{}
	for topic, ns := range rr.nameSets {
		versions = append(versions, ns.topicVersion(topic))
	}
	for _, tc := range rr.topics {
		if tc.revision > 0 {
			versions = append(versions, tc.topicVersion())
		}
	}
	return rr.highestSettings, versions
}

// Receive implements gossiper.Delegate.
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
			rr.logger.Warn("topic snapshot from a peer rejected", zap.String("peer", dy.Identity.Name), zap.Error(err))
		}
	}
}

// fetchNewer fetches the topics of which a peer holds a version that the node
// lacks.
func (rr *Relayer) fetchNewer(from netip.AddrPort, versions []messenger.TopicVersion) {
	var missing []string
	rr.mutex.Lock()
	for _, tv := range versions {
		if rr.isOutdated(tv) && time.Since(rr.fetchedAt[tv.Topic]) >= fetchRetryInterval {
			rr.fetchedAt[tv.Topic] = time.Now()
			missing = append(missing, tv.Topic)
		}
	}
	rr.mutex.Unlock()
	if len(missing) > 0 {
		rr.send(from, messenger.Fetch{
			Topics: missing,
		})
	}
}

// isOutdated reports whether the node lacks a version. Sets of names have
// checksums as versions, which differ but have no order.
func (rr *Relayer) isOutdated(tv messenger.TopicVersion) bool {
	if ns, ok := rr.nameSets[tv.Topic]; ok {
		return tv.Version.Number != 0 && tv != ns.topicVersion(tv.Topic)
	}
	tc, ok := rr.topics[tv.Topic]
	return ok && tv.Version.IsAfter(tc.topicVersion().Version)
}

// sendTopic sends a snapshot of a topic to a peer, if the node holds one.
func (rr *Relayer) sendTopic(to netip.AddrPort, topic string) {
	snapshot, ok, err := rr.snapshot(topic)
	if err != nil {
		rr.logger.Error("topic not sent to a peer: encoding its snapshot failed", zap.String("topic", topic), zap.Error(err))
	}
	if ok {
		rr.send(to, snapshot)
	}
}

func (rr *Relayer) snapshot(topic string) (messenger.Snapshot, bool, error) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	if ns, ok := rr.nameSets[topic]; ok {
		ages := map[string]time.Duration{}
		for name, since := range ns.addedAt {
			ages[name] = time.Since(since)
		}
		data, err := encodeNames(ages)
		return messenger.Snapshot{
			TopicVersion: ns.topicVersion(topic),
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

// handleSnapshot applies a snapshot of a topic from a peer.
func (rr *Relayer) handleSnapshot(sender messenger.Member, snapshot messenger.Snapshot) error {
	topic := snapshot.TopicVersion.Topic
	if ns, ok := rr.nameSets[topic]; ok {
		ages, err := decodeNames(snapshot.Data, ns.ttl)
		if err == nil {
			rr.mergeNames(topic, ages)
		}
		return err
	}
	if _, ok := rr.topics[topic]; !ok {
		return nil
	}
	revision := storer.Revision(snapshot.TopicVersion.Version.Number)
	entries, err := decodeEntries(topic, revision, snapshot.Data)
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

// applyEntries replaces the entries of a topic by those of a higher revision, and
// pushes the topic if an entry has changed.
func (rr *Relayer) applyEntries(prefix string, revision storer.Revision, entries map[string]storer.Entry, from source) error {
	settings, err := settingsRevision(prefix, entries)
	if err != nil {
		return err
	}
	rr.mutex.Lock()
	if highest := rr.highestSettings; prefix == storer.SettingsHeadKey && settings < highest {
		rr.mutex.Unlock()
		return classifier.New(classifier.RecordInvalid, "settings revision %d is below the revision %d held", settings, highest)
	}
	previous := rr.topics[prefix].entries
	isNewer, isChanged := rr.topics[prefix].replace(revision, entries)
	if isNewer {
		rr.highestSettings = max(rr.highestSettings, settings)
	}
	if isNewer && isChanged && prefix == storer.DirectoryPrefix+rr.zone {
		rr.directoryChanged(previous[prefix], entries[prefix])
	}
	rr.mutex.Unlock()
	if isNewer && isChanged && from != fromOwnZone {
		rr.push(prefix, from == fromOtherZone)
	}
	return nil
}

// settingsRevision returns the revision in the head of the settings, or zero for
// other topics. The error is RecordInvalid.
func settingsRevision(prefix string, entries map[string]storer.Entry) (uint64, error) {
	head, ok := entries[storer.SettingsHeadKey]
	if prefix != storer.SettingsHeadKey || !ok {
		return 0, nil
	}
	record, err := configurer.DecodeRecord(head.Value)
	return record.Revision, err
}

// push sends a topic to the nodes of the zone and, unless the topic or the push
// is for the zone alone, to one node of each other zone.
func (rr *Relayer) push(topic string, isZoneOnly bool) {
	if tc, ok := rr.topics[topic]; ok && tc.isZoneLocal {
		isZoneOnly = true
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
		case !isZoneOnly:
			rr.sendTopic(addresses[elect(zone, names)], topic)
		}
	}
}

// directoryChanged removes leaving targets that are in service again in a new
// directory of the zone.
func (rr *Relayer) directoryChanged(previous, current storer.Entry) {
	olderDirectory, err := registrar.Decode(previous.Value)
	if err != nil {
		return
	}
	newerDirectory, err := registrar.Decode(current.Value)
	topic := leavingPrefix + rr.zone
	if err == nil && rr.nameSets[topic].removeReturned(olderDirectory, newerDirectory, time.Now()) {
		rr.namesChanged(topic)
	}
}
