package soaker

import (
	"context"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/standin/internal/stager"
	"coltsfootwick.example/standin/internal/supervisor"
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// selfEndPause is the time from the end of a process by itself to the start of the next.
const selfEndPause = 500 * time.Millisecond

// manager runs the processes of one manager, one after the other.
type manager struct {
	number int
	node   *stager.Node
	play   *play

	mu sync.Mutex
	// life is the current process; nil between two processes.
	life *life
	// isClosed is true once no further process is to start.
	isClosed bool
	// unanswered counts the requests sent to the manager that wait for an answer.
	unanswered int
}

// life is one process of a manager.
type life struct {
	child     *supervisor.Child
	startedAt time.Time
	// end is the event that ends the process, or nil.
	end Event
	// isFrozen counts the freezes that last.
	frozen int
	// wasReady is true once the process has been ready.
	wasReady bool
	// isOverdue is true if the process was killed since it did not end within grace.
	isOverdue bool
	done      chan struct{}
}

// start starts a process, which gets SIGHUP after a time unless that is zero.
func (mg *manager) start(hangup time.Duration) error {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	if mg.isClosed || mg.life != nil {
		return nil
	}
	child, err := mg.node.Start()
	if err != nil {
		return err
	}
	lf := &life{
		child:     child,
		startedAt: time.Now(),
		done:      make(chan struct{}),
	}
	mg.life = lf
	if hangup > 0 {
		time.AfterFunc(hangup, func() { mg.hangupLife(lf) })
	}
	go mg.await(lf)
	return nil
}

// await awaits the end of a process, checks its cause and starts the next process.
func (mg *manager) await(lf *life) {
	err := lf.child.Wait(context.Background())
	mg.mu.Lock()
	mg.life = nil
	end, isClosed := lf.end, mg.isClosed
	mg.mu.Unlock()
	mg.play.recordEnd(mg.number)
	mg.checkEnd(lf, end, err)
	close(lf.done)
	if isClosed {
		return
	}
	var restart, hangup time.Duration
	switch ev := end.(type) {
	case nil:
		restart = selfEndPause
	case Stop:
		restart, hangup = ev.Restart, ev.Hangup
	case Kill:
		restart, hangup = ev.Restart, ev.Hangup
	case KillAll:
		restart = ev.Restart
	}
	time.Sleep(restart)
	if err := mg.start(hangup); err != nil {
		mg.play.report("PROCESS", "%s can't be started: %v", mg.node.Name, err)
	}
}

// checkEnd reports processes that ended by themselves or with an error.
func (mg *manager) checkEnd(lf *life, end Event, err error) {
	age := time.Since(lf.startedAt)
	switch end.(type) {
	case nil:
		mg.play.report("PROCESS", "%s ended by itself %s after its start: %v", mg.node.Name, age, err)
	case Stop:
		if err == nil || lf.isOverdue || !lf.wasReady && isEndedBy(err, syscall.SIGTERM) {
			return
		}
		mg.play.report("PROCESS", "%s ended with an error after SIGTERM, %s after its start: %v", mg.node.Name, age, err)
	}
}

// isEndedBy reports whether the error of a process is its end by a signal.
func isEndedBy(err error, signal syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signal() == signal
}

// claim takes the current process for an event that ends it. A later SIGKILL replaces
// a SIGTERM. It returns nil if there is no such process.
func (mg *manager) claim(ev Event) *life {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	lf := mg.life
	if lf == nil {
		return nil
	}
	if _, isStop := ev.(Stop); isStop && lf.end != nil {
		return nil
	}
	lf.end = ev
	return lf
}

// stop ends the process as the platform does.
func (mg *manager) stop(ev Stop) {
	lf := mg.claim(ev)
	if lf == nil {
		return
	}
	end := mg.play.disturbances.begin(disturbance{
		manager:   mg.number,
		isPlanned: true,
		isProcess: true,
	})
	defer end()
	_ = lf.child.Terminate()
	select {
	case <-lf.done:
	case <-time.After(grace):
		mg.overrun(lf)
		<-lf.done
	}
	time.Sleep(ev.Restart)
}

// overrun kills a process that has not ended within grace after SIGTERM.
func (mg *manager) overrun(lf *life) {
	mg.mu.Lock()
	lf.isOverdue = true
	unanswered, frozen := mg.unanswered, lf.frozen
	mg.mu.Unlock()
	mg.play.counts.overruns.Add(1)
	now := time.Now()
	isDisturbed := frozen > 0 || mg.play.disturbances.hasUnplanned(mg.number, now.Add(-grace-contactTime), now)
	mg.play.tracef("%s is killed %s after SIGTERM with %d unanswered requests, disturbed: %t", mg.node.Name, grace, unanswered, isDisturbed)
	if unanswered > 0 && !isDisturbed {
		mg.play.report("LOST", "%s was killed %s after SIGTERM with %d unanswered requests", mg.node.Name, grace, unanswered)
	}
	_ = lf.child.Kill()
}

// kill ends the process by SIGKILL. restart is the time until the next one starts.
func (mg *manager) kill(ev Event, restart time.Duration) {
	lf := mg.claim(ev)
	if lf == nil {
		return
	}
	end := mg.play.disturbances.begin(disturbance{
		manager:   mg.number,
		isProcess: true,
	})
	defer end()
	_ = lf.child.Kill()
	<-lf.done
	time.Sleep(restart)
}

// freeze stops the process from running for a time.
func (mg *manager) freeze(ctx context.Context, duration time.Duration) {
	mg.mu.Lock()
	lf := mg.life
	if lf != nil {
		lf.frozen++
		_ = lf.child.Freeze()
	}
	mg.mu.Unlock()
	if lf == nil {
		return
	}
	end := mg.play.disturbances.begin(disturbance{
		manager:   mg.number,
		isProcess: true,
	})
	defer end()
	pause(ctx, duration)
	mg.mu.Lock()
	defer mg.mu.Unlock()
	lf.frozen--
	if lf.frozen == 0 {
		_ = lf.child.Thaw()
	}
}

// hangup sends SIGHUP to the current process.
func (mg *manager) hangup() {
	mg.mu.Lock()
	lf := mg.life
	mg.mu.Unlock()
	if lf != nil {
		mg.hangupLife(lf)
	}
}

// hangupLife sends SIGHUP to a process once its program runs.
func (mg *manager) hangupLife(lf *life) {
	if lf.child.AwaitAction(syscall.SIGHUP) != nil {
		return
	}
	mg.play.counts.hangups.Add(1)
	_ = lf.child.Hangup()
}

// setReady records that the current process has been ready.
func (mg *manager) setReady() {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	if mg.life != nil {
		mg.life.wasReady = true
	}
}

// addUnanswered changes the number of requests that wait for an answer.
func (mg *manager) addUnanswered(change int) {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	mg.unanswered += change
}

// close prevents further starts.
func (mg *manager) close() {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	mg.isClosed = true
}
