// Package charter parses state charts from TOML and evaluates them. The pages
// of the charts in the documentation are generated from the same files.
package charter

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/looplab/fsm"

	"coltsfootwick.example/shared/process/classifier"
)

// Chart is a validated state chart.
type Chart struct {
	name        string
	initial     string
	states      map[string]State
	stateOrder  []string
	transitions []Transition
	events      []fsm.EventDesc
}

// State is one state of a chart.
type State struct {
	// Name is the state's name in camel case.
	Name string
	// Summary describes the state in one sentence.
	Summary string
	// Marks are properties of the state, which Chart.HasMark tests.
	Marks []string
	// Timeout is the maximum duration of the state; zero means no limit.
	Timeout time.Duration
	// TimeoutEvent is the event that ends the state after Timeout.
	TimeoutEvent string
}

// Transition is an event that leads from some states of a chart to another.
type Transition struct {
	// Event is the event's name in camel case.
	Event string
	// From are the states in which the event is allowed.
	From []string
	// To is the state after the event.
	To string
	// Summary describes in one sentence when the event occurs.
	Summary string
}

// Name returns the chart's name.
func (ct *Chart) Name() string { return ct.name }

// Initial returns the initial state.
func (ct *Chart) Initial() string { return ct.initial }

// States returns the states in the file's order.
func (ct *Chart) States() []State {
	states := make([]State, 0, len(ct.stateOrder))
	for _, name := range ct.stateOrder {
		states = append(states, ct.states[name])
	}
	return states
}

// Transitions returns the transitions in the file's order.
func (ct *Chart) Transitions() []Transition { return slices.Clone(ct.transitions) }

// HasState reports whether the chart has the state.
func (ct *Chart) HasState(state string) bool {
	_, ok := ct.states[state]
	return ok
}

// HasMark reports whether the state has the mark.
func (ct *Chart) HasMark(state, mark string) bool {
	return slices.Contains(ct.states[state].Marks, mark)
}

// Next returns the state that an event leads to. An event that is not allowed
// in the state gives an error with the code refused, and an unknown state gives
// a RecordInvalid error.
func (ct *Chart) Next(state, event string, refused classifier.Code) (string, error) {
	if !ct.HasState(state) {
		return "", classifier.New(classifier.RecordInvalid, "chart %s has no state %q", ct.name, state)
	}
	machine := fsm.NewFSM(state, ct.events, nil)
	err := machine.Event(context.Background(), event)
	var selfTransition fsm.NoTransitionError
	if err != nil && !errors.As(err, &selfTransition) {
		return "", classifier.New(refused, "event %s is not allowed in state %s", event, state)
	}
	return machine.Current(), nil
}

// Expired returns the timeout event of a state that was entered at since. The
// second result is false if the state has no timeout or it has not expired yet.
func (ct *Chart) Expired(state string, since, now time.Time) (string, bool) {
	found := ct.states[state]
	if found.Timeout == 0 || now.Sub(since) < found.Timeout {
		return "", false
	}
	return found.TimeoutEvent, true
}
