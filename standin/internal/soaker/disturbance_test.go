package soaker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestCalmBeginsWithTheEndOfTheLastDisturbance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ds disturbances
		endFirst := ds.begin(disturbance{
			manager: 1,
		})
		time.Sleep(time.Second)
		endSecond := ds.begin(disturbance{
			manager: everyManager,
		})
		time.Sleep(time.Second)
		endSecond()
		_, isCalm := ds.calmSince(time.Now())
		must.False(t, isCalm)
		time.Sleep(time.Second)
		endFirst()
		ended := time.Now()
		time.Sleep(time.Second)
		since, isCalm := ds.calmSince(time.Now())
		must.True(t, isCalm)
		must.Eq(t, ended, since)
	})
}

func TestOnlyUnplannedDisturbancesOfProcessesAllowCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ds disturbances
		began := time.Now()
		ds.begin(disturbance{
			manager:   0,
			isPlanned: true,
			isProcess: true,
		})()
		ds.begin(disturbance{
			manager: everyManager,
		})()
		ds.begin(disturbance{
			manager:   1,
			isProcess: true,
		})()
		time.Sleep(time.Second)
		must.False(t, ds.hasUnplanned(0, began, time.Now()))
		must.True(t, ds.hasUnplanned(1, began, time.Now()))
		must.False(t, ds.hasUnplanned(1, began.Add(time.Millisecond), time.Now()))
	})
}
