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

// Holdings implements gossiper.Companion.
func (rr *Relayer) Holdings() (uint64, []messenger.Holding) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	holdings := []messenger.Holding{}
	for topic, ws := range rr.words {
		holdings = append(holdings, ws.holding(topic))
	}
	for _, tc := range rr.topics {
		if tc.revision > 0 {
			holdings = append(holdings, tc.holding())
		}
	}
	return rr.revision, holdings
}

// Receive implements gossiper.Companion.
func (rr *Relayer) Receive(dy messenger.Delivery) {
	switch bd := dy.Message.Body.(type) {
	case messenger.Ping:
		rr.compare(dy.From, bd.Holdings)
	case messenger.Ack:
		rr.compare(dy.From, bd.Holdings)
	case messenger.Fetch:
		for _, topic := range bd.Topics {
			rr.tell(dy.From, topic)
		}
	case messenger.News:
		if err := rr.hear(dy.Message.Sender, bd); err != nil {
			rr.logger.Warn("news passed over", zap.String("peer", dy.Identity.Name), zap.Error(err))
		}
	}
}

// compare fetches what a peer has and the node hasn't.
func (rr *Relayer) compare(from netip.AddrPort, holdings []messenger.Holding) {
	var missing []string
	rr.mutex.Lock()
	for _, hg := range holdings {
		if rr.isMissing(hg) && time.Since(rr.fetched[hg.Topic]) >= fetchInterval {
			rr.fetched[hg.Topic] = time.Now()
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

func (rr *Relayer) isMissing(hg messenger.Holding) bool {
	if ws, ok := rr.words[hg.Topic]; ok {
		return hg.Version.Number != 0 && hg != ws.holding(hg.Topic)
	}
	tc, ok := rr.topics[hg.Topic]
	return ok && hg.Version.Above(tc.holding().Version)
}

// tell sends what is held under a topic, if anything.
func (rr *Relayer) tell(to netip.AddrPort, topic string) {
	news, ok, err := rr.news(topic)
	if err != nil {
		rr.logger.Error("news can't be told", zap.String("topic", topic), zap.Error(err))
	}
	if ok {
		rr.send(to, news)
	}
}

func (rr *Relayer) news(topic string) (messenger.News, bool, error) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	if ws, ok := rr.words[topic]; ok {
		ages := map[string]time.Duration{}
		for name, since := range ws.since {
			ages[name] = time.Since(since)
		}
		data, err := encodeWords(ages)
		return messenger.News{
			Holding: ws.holding(topic),
			Data:    data,
		}, err == nil, err
	}
	tc, ok := rr.topics[topic]
	if !ok || tc.revision == 0 {
		return messenger.News{}, false, nil
	}
	data, err := encodeEntries(tc.list(topic))
	return messenger.News{
		Holding: tc.holding(),
		Data:    data,
	}, err == nil, err
}

// hear takes in news from a peer.
func (rr *Relayer) hear(sender messenger.Member, news messenger.News) error {
	topic := news.Holding.Topic
	if ws, ok := rr.words[topic]; ok {
		ages, err := decodeWords(news.Data, ws.lifetime)
		if err == nil {
			rr.takeWords(topic, ages)
		}
		return err
	}
	if _, ok := rr.topics[topic]; !ok {
		return nil
	}
	revision := storer.Revision(news.Holding.Version.Number)
	entries, err := decodeEntries(topic, revision, news.Data)
	if err != nil {
		return err
	}
	from := fromOtherZone
	if sender.Zone == rr.zone {
		from = fromOwnZone
	}
	return rr.take(topic, revision, entries, from)
}

func (rr *Relayer) takeWords(topic string, ages map[string]time.Duration) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	now := time.Now()
	isNew := false
	for name, age := range ages {
		isNew = rr.words[topic].add(name, now.Add(-age), now) || isNew
	}
	if isNew {
		rr.noteWords(topic)
	}
}

// take adopts entries of a higher revision and pushes what changed.
func (rr *Relayer) take(prefix string, revision storer.Revision, entries map[string]storer.Entry, from source) error {
	settings, err := settingsRevision(prefix, entries)
	if err != nil {
		return err
	}
	rr.mutex.Lock()
	if highest := rr.revision; prefix == storer.SettingsHeadKey && settings < highest {
		rr.mutex.Unlock()
		return classifier.New(classifier.RecordInvalid, "settings revision %d is below %d", settings, highest)
	}
	before := rr.topics[prefix].entries
	isNewer, isChanged := rr.topics[prefix].adopt(revision, entries)
	if isNewer {
		rr.revision = max(rr.revision, settings)
	}
	if isNewer && isChanged && prefix == storer.DirectoryPrefix+rr.zone {
		rr.noteDirectory(before[prefix], entries[prefix])
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
	if tc, ok := rr.topics[topic]; ok && tc.isLocal {
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
				rr.tell(addresses[name], topic)
			}
		case !isForZone:
			rr.tell(addresses[first(zone, names)], topic)
		}
	}
}

// noteDirectory ends word of leaving targets that are in service again.
func (rr *Relayer) noteDirectory(before, after storer.Entry) {
	older, err := registrar.Decode(before.Value)
	if err != nil {
		return
	}
	newer, err := registrar.Decode(after.Value)
	topic := leavingPrefix + rr.zone
	if err == nil && rr.words[topic].compare(older, newer, time.Now()) {
		rr.noteWords(topic)
	}
}
