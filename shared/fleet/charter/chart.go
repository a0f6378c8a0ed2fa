// Package charter reads state charts from TOML and interprets them. The same
// files are drawn into the documentation.
package charter

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/looplab/fsm"

	"coltsfootwick.example/shared/process/classifier"
)

// Chart is a checked state chart.
type Chart struct {
	name        string
	initial     string
	states      map[string]State
	order       []string
	transitions []Transition
	events      []fsm.EventDesc
}

// State is one state of a chart.
type State struct {
	// Name is the state's name in camel case.
	Name string
	// Summary says in one sentence what the state means.
	Summary string
	// Marks are the properties that code asks for with Chart.Has.
	Marks []string
	// Timeout is how long the state may last; zero for ever.
	Timeout time.Duration
	// TimeoutEvent is the event that ends the state after Timeout.
	TimeoutEvent string
}

// Transition is one arrow of a chart.
type Transition struct {
	// Event is the event's name in camel case.
	Event string
	// From are the states that the event may come in.
	From []string
	// To is the state after it.
	To string
	// Summary says in one sentence when the event comes.
	Summary string
}

// Name returns the chart's name.
func (ct *Chart) Name() string { return ct.name }

// Initial returns the state that begins the chart.
func (ct *Chart) Initial() string { return ct.initial }

// States returns the states in the file's order.
func (ct *Chart) States() []State {
	states := make([]State, 0, len(ct.order))
	for _, name := range ct.order {
		states = append(states, ct.states[name])
	}
	return states
}

// Transitions returns the transitions in the file's order.
func (ct *Chart) Transitions() []Transition { return slices.Clone(ct.transitions) }

// Knows reports whether the chart has the state.
func (ct *Chart) Knows(state string) bool {
	_, ok := ct.states[state]
	return ok
}

// HasMark reports whether the state carries the mark.
func (ct *Chart) HasMark(state, mark string) bool {
	return slices.Contains(ct.states[state].Marks, mark)
}

// Next returns the state that the event leads to from a state. An event that
// the state doesn't allow gives an error with the code refused.
func (ct *Chart) Next(state, event string, refused classifier.Code) (string, error) {
	if !ct.Knows(state) {
		return "", classifier.New(classifier.RecordInvalid, "chart %s has no state %q", ct.name, state)
	}
	machine := fsm.NewFSM(state, ct.events, nil)
	err := machine.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return "", classifier.New(refused, "event %s is not allowed in state %s", event, state)
	}
	return machine.Current(), nil
}

// Expired returns the event due in a state that began at since, and false if
// none is due at now.
func (ct *Chart) Expired(state string, since, now time.Time) (string, bool) {
	st := ct.states[state]
	if st.Timeout == 0 || now.Sub(since) < st.Timeout {
		return "", false
	}
	return st.TimeoutEvent, true
}
