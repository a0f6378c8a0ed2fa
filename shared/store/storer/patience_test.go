package storer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/store/storer"
)

func TestPatienceFollowsTheService(t *testing.T) {
	var pa storer.Patience
	must.Greater(t, 400*time.Millisecond, pa.Wait(), must.Sprint("a slow service is not out"))
	pa.Answered(200 * time.Millisecond)
	must.Eq(t, 800*time.Millisecond, pa.Wait())
	pa.Answered(400 * time.Millisecond)
	must.Eq(t, time.Second, pa.Wait())
	for range 5 {
		pa.Unanswered()
	}
	must.Eq(t, time.Second, pa.Wait())
	pa.Answered(4 * time.Millisecond)
	must.Eq(t, 600*time.Millisecond, pa.Wait())
}
