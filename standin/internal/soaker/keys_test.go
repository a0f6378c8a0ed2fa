package soaker

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against findings for keys that change while a request is sent, and against
// keys that count as known although an earlier change isn't in force yet.
func TestSecondKeyIsKnownOnceItsLastChangeIsInForce(t *testing.T) {
	began := time.Now()
	ks := keys{}
	for number, granted := range [][]bool{{true, false}, {true, true}, {false, true}} {
		at := began.Add(time.Duration(number) * 10 * time.Second)
		ks.changes = append(ks.changes, keyChange{granted: granted, beganAt: at, storedAt: at.Add(time.Second)})
	}
	for _, tc := range []struct {
		team               int
		sent, ended        time.Duration
		isGranted, isKnown bool
	}{
		{0, 3 * time.Second, 3 * time.Second, true, false},
		{0, 5 * time.Second, 5 * time.Second, true, true},
		{0, 12 * time.Second, 13 * time.Second, true, true},
		{1, 12 * time.Second, 13 * time.Second, true, false},
		{0, 19 * time.Second, 21 * time.Second, false, false},
		{0, 25 * time.Second, 26 * time.Second, false, true},
		{1, 25 * time.Second, 26 * time.Second, true, true},
	} {
		isGranted, isKnown := ks.isGranted(tc.team, began.Add(tc.sent), began.Add(tc.ended))
		must.Eq(t, tc.isGranted, isGranted, must.Sprint(tc))
		must.Eq(t, tc.isKnown, isKnown, must.Sprint(tc))
	}
}
