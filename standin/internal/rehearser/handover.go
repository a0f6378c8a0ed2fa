package rehearser

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

const (
	// frozenTime is how long a keeper is frozen: longer than its permission and
	// than the time after which the scheduler gives it up, shorter than the leases
	// of its workers.
	frozenTime = 2500 * time.Millisecond
	// tasksPerJob and longRunningTasks count the tasks of the demo's jobs.
	tasksPerJob      = 7
	longRunningTasks = 2
)

// handOverSteps returns the steps of the demo of hand-overs: keepers and the
// holder of the scheduler's duty are frozen, woken and killed while jobs run.
func handOverSteps() []step {
	return []step{{
		name: "managers are ready",
		run:  awaitReady,
	}, {
		name: "a long-running job is accepted",
		run:  func(ctx context.Context, se *stage) error { return se.submit(ctx, 0, pools[0], true) },
	}, {
		name: "a keeper is frozen while jobs are accepted, and woken",
		run:  freezeKeeper,
	}, {
		name: "the scheduler's node is frozen until another holds the duty, and woken",
		run:  freezeHolder,
	}, {
		name: "a keeper is killed while jobs are accepted",
		run:  killKeeper,
	}, {
		name: "all jobs are shown as completed",
		run:  awaitCompleted,
	}, {
		name: "every task was started once",
		run:  checkStarts,
	}, {
		name: "the long-running job is cancelled and ends",
		run:  cancelLong,
	}, {
		name: "no task ran twice, and no worker was over its capacity",
		run:  checkPromises,
	}, {
		name: "managers end gracefully",
		run:  stopManagers,
	}}
}

// holderAddress returns the internal address of the holder of the scheduler's
// duty.
func (se *stage) holderAddress(ctx context.Context) (string, error) {
	et, err := se.Provider().Keeper().Zone("demo").Get(ctx, "duties/demo/scheduler")
	return string(et.Value), err
}

// holder returns the manager that holds the scheduler's duty.
func (se *stage) holder(ctx context.Context) (*node, error) {
	address, err := se.holderAddress(ctx)
	if err != nil {
		return nil, err
	}
	for _, nd := range se.nodes {
		if nd.Internal.String() == address {
			return nd, nil
		}
	}
	return nil, classifier.New(classifier.Internal, "holder %s is no manager", address)
}

// keeper returns a running manager that doesn't hold the duty.
func (se *stage) keeper(ctx context.Context) (*node, error) {
	holder, err := se.holder(ctx)
	if err != nil {
		return nil, err
	}
	for _, nd := range se.up() {
		if nd != holder {
			return nd, nil
		}
	}
	return nil, classifier.New(classifier.Internal, "no manager beside the holder is left")
}

// whileFrozen freezes a manager while a function runs.
func (nd *node) whileFrozen(run func() error) error {
	if err := nd.child.Freeze(); err != nil {
		return err
	}
	nd.isUp = false
	err := run()
	if thawErr := nd.child.Thaw(); thawErr != nil {
		return thawErr
	}
	nd.isUp = true
	return err
}

func freezeKeeper(ctx context.Context, se *stage) error {
	third := se.jobs / 3
	if err := se.submitMany(ctx, third/2); err != nil {
		return err
	}
	nd, err := se.keeper(ctx)
	if err != nil {
		return err
	}
	err = nd.whileFrozen(func() error {
		until := time.Now().Add(frozenTime)
		if err := se.submitMany(ctx, third-third/2); err != nil {
			return err
		}
		time.Sleep(time.Until(until))
		return nil
	})
	if err != nil {
		return err
	}
	return awaitReady(ctx, se)
}

func freezeHolder(ctx context.Context, se *stage) error {
	frozen, err := se.holder(ctx)
	if err != nil {
		return err
	}
	err = frozen.whileFrozen(func() error {
		if err := se.submitMany(ctx, se.jobs/3); err != nil {
			return err
		}
		return poll(ctx, func() error {
			address, err := se.holderAddress(ctx)
			if err == nil && address == frozen.Internal.String() {
				err = classifier.New(classifier.Internal, "the frozen manager still holds the duty")
			}
			return err
		})
	})
	if err != nil {
		return err
	}
	return awaitReady(ctx, se)
}

func killKeeper(ctx context.Context, se *stage) error {
	nd, err := se.keeper(ctx)
	if err != nil {
		return err
	}
	if err := se.submitMany(ctx, se.jobs/6); err != nil {
		return err
	}
	nd.isUp = false
	se.killed = nd.Name
	if err := nd.child.Kill(); err != nil {
		return err
	}
	return se.submitMany(ctx, se.jobs/3-se.jobs/6)
}

// checkStarts checks that no task was started again: all workers were well, and
// only the managers in between weren't.
func checkStarts(_ context.Context, se *stage) error {
	tasks := longRunningTasks + tasksPerJob*(len(se.submitted)-1)
	if starts := se.Provider().Counts().Starts; starts != tasks {
		return classifier.New(classifier.Internal, "%d starts of %d tasks", starts, tasks)
	}
	return nil
}
