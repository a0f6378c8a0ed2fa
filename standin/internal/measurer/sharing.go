package measurer

import (
	"time"

	"coltsfootwick.example/shared/requests/lender"
)

// sharingWay is a way of sharing the slots of targets among two entries.
type sharingWay struct {
	name string
	// lends is true if owners lend slots, forwards if requests go to the owner.
	// Otherwise the slots are divided evenly among the members.
	lends, forwards bool
}

var sharingWays = []sharingWay{
	{
		name:  "lending",
		lends: true,
	},
	{
		name:     "forwarding",
		forwards: true,
	},
	{
		name: "fixedShares",
	},
}

// The course of a run: calm with unequal load, then one entry dies and is
// replaced, then it freezes and returns.
const (
	diesAt      = 60 * time.Second
	replacedAt  = 85 * time.Second
	freezesAt   = 120 * time.Second
	thawsAt     = 128 * time.Second
	shareLength = 160 * time.Second

	// checkInterval is how long the balancer goes on sending to a lost entry.
	checkInterval = time.Second
	// detectTime is when the members of a zone drop a lost entry, and returnTime
	// when they take a returning one in.
	detectTime = 5 * time.Second
	returnTime = 100 * time.Millisecond
	// hopTime is the time of a message between two entries of a zone.
	hopTime = 250 * time.Microsecond
	// messageBytes is the size of a message with three lines.
	messageBytes = 120

	sharedUrgent = 0.75
	sharedLong   = 0.15
	// unequalShare is the first entry's share of the load; every unequalTime
	// the entries change places.
	unequalShare = 0.7
	unequalTime  = 10 * time.Second
)

var (
	unequalWindow = window{
		from: 10 * time.Second,
		to:   diesAt,
	}
	deathWindow = window{
		from: diesAt,
		to:   replacedAt,
	}
	freezeWindow = window{
		from: freezesAt,
		to:   thawsAt + 5*time.Second,
	}
)

// sharing is a run of two entries with the same targets.
type sharing struct {
	timeline *timeline
	way      sharingWay
	seed     uint64
	entries  [2]*entry
	urgent   *stream
	long     *stream
	// inFlight counts the attempts at each target; since is when it last
	// changed, and over the slots times seconds beyond the target's slots.
	inFlight map[string]int
	since    time.Duration
	over     float64
	// left counts the part of inFlight that entries left behind when they died,
	// and overAlive is what exceeds the slots without it.
	left        map[string]int
	overAlive   float64
	messages    int
	turnedAway  int
	incarnation uint64
}

// sharingStudy measures the ways of sharing slots.
func sharingStudy(seed uint64) []figure {
	var figures []figure
	for _, way := range sharingWays {
		sh := runSharing(way, seed)
		figures = append(figures, sh.figures()...)
	}
	return figures
}

func runSharing(way sharingWay, seed uint64) *sharing {
	slots := loadedTargets * slotsPerTarget
	sh := &sharing{
		timeline: newTimeline(),
		way:      way,
		seed:     seed,
		urgent:   urgentStream(mostUrgent, slots, steady(sharedUrgent), sharedUrgent),
		long:     longStream(slots, steady(sharedLong), sharedLong),
		inFlight: map[string]int{},
		left:     map[string]int{},
	}
	for i := range sh.entries {
		sh.boot(i)
	}
	sh.see(returnTime, 0, 1)
	balance := newRandom(seed)
	send := func(sm *stream, rc *record) { sh.receive(sm, rc, balance.Float64()) }
	sh.urgent.feed(sh.timeline, seed, send)
	sh.long.feed(sh.timeline, seed, send)
	sh.arrangeFaults()
	sh.timeline.run(shareLength)
	sh.account()
	return sh
}

func (sh *sharing) arrangeFaults() {
	tl := sh.timeline
	tl.after(diesAt, func() {
		sh.kill(1)
		sh.lose(1)
	})
	tl.after(replacedAt, func() {
		sh.boot(1)
		sh.see(returnTime, 0, 1)
	})
	tl.after(freezesAt, func() {
		sh.entries[1].frozenUntil = thawsAt
		sh.lose(1)
	})
	tl.after(thawsAt, func() { sh.see(returnTime, 0, 1) })
}

// kill ends an entry's process. Its requests run on at the targets.
func (sh *sharing) kill(index int) {
	en := sh.entries[index]
	en.dead = true
	sh.account()
	for vm, count := range en.running {
		sh.left[vm] += count
	}
}

// lose takes an entry out of the other's view after a while.
func (sh *sharing) lose(index int) {
	other := sh.entries[1-index]
	sh.timeline.after(detectTime, func() { other.setMembers([]lender.Entry{other.self}) })
}

// see brings two entries into each other's view after a while.
func (sh *sharing) see(delay time.Duration, first, second int) {
	sh.timeline.after(delay, func() {
		members := []lender.Entry{sh.entries[first].self, sh.entries[second].self}
		for _, en := range sh.entries {
			en.pass(func() { en.setMembers(members) })
		}
	})
}

// receive gives a request to the entry that the balancer picks.
func (sh *sharing) receive(sm *stream, rc *record, draw float64) {
	now := sh.timeline.since()
	share := unequalShare
	if now/unequalTime%2 == 1 {
		share = 1 - unequalShare
	}
	index := 0
	if draw >= share {
		index = 1
	}
	if sh.isAvoided(index, now) {
		index = 1 - index
	}
	en := sh.entries[index]
	if en.dead {
		sh.turnedAway++
		rc.result = failed
		return
	}
	if sh.way.forwards {
		sh.forward(en, sm, rc)
		return
	}
	en.station.send(sm, rc)
}

// isAvoided reports whether the balancer has noticed that an entry is lost.
func (sh *sharing) isAvoided(index int, now time.Duration) bool {
	isDead := now >= diesAt+checkInterval && now < replacedAt
	isFrozen := now >= freezesAt+checkInterval && now < thawsAt
	return index == 1 && (isDead || isFrozen)
}

// forward sends a request to the least loaded owner that the entry sees.
func (sh *sharing) forward(en *entry, sm *stream, rc *record) {
	best := en
	for _, other := range sh.entries {
		if en.sees(other) && other.load() < best.load() {
			best = other
		}
	}
	if best == en {
		en.station.send(sm, rc)
		return
	}
	sh.timeline.after(hopTime, func() { best.station.send(sm, rc) })
}

// changed counts an attempt of an entry begun or ended at a target.
func (sh *sharing) changed(en *entry, vm string, by int) {
	sh.account()
	sh.inFlight[vm] += by
	en.running[vm] += by
	if en.dead {
		sh.left[vm] += by
	}
}

// account adds up the time that targets had more in flight than their slots.
func (sh *sharing) account() {
	elapsed := (sh.timeline.since() - sh.since).Seconds()
	sh.since = sh.timeline.since()
	for vm, count := range sh.inFlight {
		sh.over += float64(max(count-slotsPerTarget, 0)) * elapsed
		sh.overAlive += float64(max(count-sh.left[vm]-slotsPerTarget, 0)) * elapsed
	}
}

func (sh *sharing) figures() []figure {
	suffix := "." + sh.way.name
	windows := []struct {
		name   string
		window window
	}{
		{
			name:   "Unequal",
			window: unequalWindow,
		},
		{
			name:   "Death",
			window: deathWindow,
		},
		{
			name:   "Freeze",
			window: freezeWindow,
		},
	}
	var figures []figure
	for _, wi := range windows {
		offered, _ := sh.urgent.count(wi.window, succeeded)
		figures = append(figures,
			figure{
				name:  "sharingInTime" + wi.name + suffix,
				value: ratio(float64(sh.urgent.inTime(wi.window)), float64(offered)),
				unit:  "share",
			},
			figure{
				name:  "sharingStartDelayP99" + wi.name + suffix,
				value: quantile(sh.urgent.startDelays(wi.window), 0.99),
				unit:  "s",
			},
			figure{
				name:  "sharingSentDelayP99" + wi.name + suffix,
				value: quantile(sh.urgent.sentDelays(wi.window), 0.99),
				unit:  "s",
			},
			figure{
				name:  "sharingSlotUse" + wi.name + suffix,
				value: slotUse(wi.window, sh.urgent, sh.long),
				unit:  "share",
			},
		)
	}
	return append(figures,
		figure{
			name:  "sharingOvercommit" + suffix,
			value: sh.over,
			unit:  "slots*s",
		},
		figure{
			name:  "sharingOvercommitAlive" + suffix,
			value: sh.overAlive,
			unit:  "slots*s",
		},
		figure{
			name:  "sharingTraffic" + suffix,
			value: float64(sh.messages) * messageBytes / float64(len(sh.entries)) / shareLength.Seconds(),
			unit:  "B/s",
		},
	)
}
