package storer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/store/storer"
)

func TestAdaptiveTimeoutFollowsLatency(t *testing.T) {
	var at storer.AdaptiveTimeout
	must.Greater(t, 400*time.Millisecond, at.Timeout(), must.Sprint("the timeout must exceed the latency of a slow service"))
	at.RecordAnswer(200 * time.Millisecond)
	must.Eq(t, 800*time.Millisecond, at.Timeout())
	at.RecordAnswer(400 * time.Millisecond)
	must.Eq(t, time.Second, at.Timeout())
	for range 5 {
		at.RecordTimeout()
	}
	must.Eq(t, time.Second, at.Timeout())
	at.RecordAnswer(4 * time.Millisecond)
	must.Eq(t, 600*time.Millisecond, at.Timeout())
}
