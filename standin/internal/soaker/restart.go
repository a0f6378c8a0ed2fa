package soaker

import (
	"time"

	"coltsfootwick.example/standin/internal/interposer"
)

// The times of the workers that are back under their IDs.
const (
	maxDownTime     = time.Second
	maxUptime       = 2500 * time.Millisecond
	maxIsolation    = 9 * time.Second
	maxRestartPause = 6 * time.Second
)

// drawRestarts draws series in which workers crash at once, are back under their IDs
// and are cut off soon after.
func (pr *planner) drawRestarts() []Moment {
	var moments []Moment
	for at := pr.until(time.Second, maxRestartPause); at < pr.plan.Duration; at += pr.until(time.Second, maxRestartPause) {
		back := pr.until(50*time.Millisecond, maxDownTime)
		cutAt := at + back + pr.until(0, maxUptime)
		isolation := pr.until(time.Second, maxIsolation)
		for _, number := range pr.rand.Perm(len(pr.plan.VMs))[:1+pr.rand.IntN(len(pr.plan.VMs)/2+1)] {
			vm := pr.plan.VMs[number].Name
			moments = append(moments, Moment{
				At: at,
				Event: WorkerCrash{
					VM:      vm,
					Restart: back,
					KeepsID: true,
				},
			}, Moment{
				At: cutAt,
				Event: LinkFault{
					Kind:     linkWorker,
					Manager:  everyManager,
					VM:       vm,
					Fault:    interposer.Cut{},
					Duration: isolation,
				},
			})
		}
	}
	return moments
}
