package soaker

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

// teams are the teams of a play with keys. Each has a key that is always valid, and a
// second one that comes and goes.
var teams = []string{"north", "south"}

// unknownKey is a key that no configuration ever has.
const unknownKey = "never-granted"

func firstKey(team string) string  { return team + "-first" }
func secondKey(team string) string { return team + "-second" }

const (
	// keyApplyTime is the time within which a configuration with other keys is in
	// force.
	keyApplyTime = 3 * time.Second
	// minKeyGap and maxKeyGap bound the time between two changes of the keys. Most are
	// longer than keyApplyTime, so that both states can be checked.
	minKeyGap = 2 * time.Second
	maxKeyGap = 7 * time.Second
	// probeShare is the share of the requests with keys that must not be served, or
	// only at times, in percent.
	probeShare = 20
	// versionFactor leaves room for versions with other keys between those of the plan.
	versionFactor = 1000
)

// keys are the configurations of a play with keys.
type keys struct {
	mu sync.Mutex
	// last is the last configuration that was written, and granted its second keys.
	last    modeller.Configuration
	granted []bool
	changes []keyChange
}

// keyChange is a change of the second keys.
type keyChange struct {
	granted []bool
	// beganAt is when the configuration was sent, and storedAt when it was stored.
	beganAt, storedAt time.Time
}

// drawKeyChanges draws when second keys come and go.
func (pr *planner) drawKeyChanges() []Moment {
	var moments []Moment
	for at := pr.until(0, maxKeyGap); at < pr.plan.Duration; at += pr.until(minKeyGap, maxKeyGap) {
		var granted []bool
		for range teams {
			granted = append(granted, pr.rand.IntN(2) == 0)
		}
		moments = append(moments, Moment{
			At:    at,
			Event: KeyChange{Granted: granted},
		})
	}
	return moments
}

// put writes a configuration of the plan.
func (ks *keys) put(pl *play, cf modeller.Configuration) {
	if !pl.plan.HasKeys {
		pl.stage.Provider().Configure(cf)
		return
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if ks.granted == nil {
		ks.granted = make([]bool, len(teams))
	}
	cf.Version = max(cf.Version*versionFactor, ks.last.Version+1)
	ks.write(pl, cf)
}

// changeKeys writes the last configuration with other keys.
func (pl *play) changeKeys(ev KeyChange) {
	ks := &pl.keys
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.granted = ev.Granted
	cf := ks.last
	cf.Version++
	ks.write(pl, cf)
}

func (ks *keys) write(pl *play, cf modeller.Configuration) {
	change := keyChange{
		granted: ks.granted,
		beganAt: time.Now(),
	}
	var tenants []provider.Tenant
	for number, team := range teams {
		tn := provider.Tenant{
			Name:    team,
			APIKeys: []string{firstKey(team)},
		}
		if ks.granted[number] {
			tn.APIKeys = append(tn.APIKeys, secondKey(team))
		}
		tenants = append(tenants, tn)
	}
	pl.stage.Provider().Configure(cf, tenants...)
	ks.last = cf
	change.storedAt = time.Now()
	ks.changes = append(ks.changes, change)
}

// isGranted reports whether the second key of a team is granted to a request, and
// false if the key may have changed too short a time before or while it was sent.
func (ks *keys) isGranted(team int, sentAt, endedAt time.Time) (isGranted, isKnown bool) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	isKnown = true
	for number, kc := range ks.changes {
		if kc.beganAt.After(endedAt) {
			break
		}
		isChanged := number == 0 || kc.granted[team] != ks.changes[number-1].granted[team]
		if isChanged {
			isGranted = kc.granted[team]
			isKnown = kc.storedAt.Add(keyApplyTime).Before(sentAt)
		}
	}
	return isGranted, isKnown
}

// isAlwaysValid reports whether a key is valid in each configuration of the play.
func (pl *play) isAlwaysValid(key string) bool {
	return slices.ContainsFunc(teams, func(team string) bool { return key == firstKey(team) })
}

// key returns the key of requests on the job, or an empty string in a play without keys.
func (jb *job) key() string {
	if jb.Team == "" {
		return ""
	}
	return firstKey(jb.Team)
}

// probe sends a request with a key that isn't that of the job's team, or only at times,
// and checks the answer.
func (cl *caller) probe(ctx context.Context) {
	jb := cl.play.drawJob(cl.random)
	if jb == nil {
		return
	}
	team := 0
	if jb.Team == teams[1] {
		team = 1
	}
	other := firstKey(teams[1-team])
	_, isAccepted := jb.accepted()
	switch kind := cl.random.IntN(8); {
	case kind == 0:
		cl.expectRefusal(ctx, http.MethodGet, jb, unknownKey, http.StatusUnauthorized)
	case kind == 1:
		cl.expectRefusal(ctx, http.MethodPost, jb, "", http.StatusUnauthorized)
	case kind == 2:
		cl.expectRefusal(ctx, http.MethodGet, jb, other, http.StatusGone)
	case kind == 3:
		cl.expectRefusal(ctx, http.MethodDelete, jb, other, http.StatusGone)
	case kind == 4 && isAccepted:
		cl.expectRefusal(ctx, http.MethodPost, jb, other, http.StatusConflict)
	default:
		cl.probeSecondKey(ctx, jb, team)
	}
}

// expectRefusal sends a request that must be answered with a status, unless it can't be
// handled or its queue isn't configured.
func (cl *caller) expectRefusal(ctx context.Context, method string, jb *job, key string, status int) {
	var body []byte
	if method == http.MethodPost {
		body = jb.body
	}
	as, ok := cl.exchange(ctx, method, jb.path, key, body, nil)
	if !ok || as.isUnanswered || as.status == status {
		return
	}
	switch as.status {
	case http.StatusNotFound, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	default:
		cl.play.report("KEY", "%s %s with key %q is answered with %d by manager %d, not %d", method, jb.path, key, as.status, as.manager, status)
	}
}

// probeSecondKey sends a query with the second key of the job's team. A process that
// was stopped or has started again must not accept a revoked key, but one that could
// not reach the store may.
func (cl *caller) probeSecondKey(ctx context.Context, jb *job, team int) {
	as, ok := cl.exchange(ctx, http.MethodGet, jb.path, secondKey(jb.Team), nil, nil)
	if !ok || as.isUnanswered {
		return
	}
	isGranted, isKnown := cl.play.keys.isGranted(team, as.sentAt, as.at)
	isRefused := as.status == http.StatusUnauthorized
	isServed := as.isSuccess() || as.status == http.StatusGone
	ds := &cl.play.disturbances
	from := as.sentAt.Add(-contactTime)
	switch {
	case !isKnown:
	case isGranted && isRefused && !ds.hasAny(as.manager, from, as.at):
		cl.play.report("KEY", "GET %s with a granted key is answered with 401 by manager %d", jb.path, as.manager)
	case !isGranted && isServed && !ds.hasAnyBesideProcess(as.manager, from, as.at):
		cl.play.report("KEY", "GET %s with a revoked key is answered with %d by manager %d", jb.path, as.status, as.manager)
	}
}
