package storer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/store/storer"
)

func TestPatienceFollowsTheService(t *testing.T) {
	var pa storer.AdaptiveTimeout
	must.Greater(t, 400*time.Millisecond, pa.Timeout(), must.Sprint("a slow service is not out"))
	pa.RecordAnswer(200 * time.Millisecond)
	must.Eq(t, 800*time.Millisecond, pa.Timeout())
	pa.RecordAnswer(400 * time.Millisecond)
	must.Eq(t, time.Second, pa.Timeout())
	for range 5 {
		pa.RecordTimeout()
	}
	must.Eq(t, time.Second, pa.Timeout())
	pa.RecordAnswer(4 * time.Millisecond)
	must.Eq(t, 600*time.Millisecond, pa.Timeout())
}
