package charter

import (
	"slices"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/looplab/fsm"

	"coltsfootwick.example/shared/process/classifier"
)

type wireChart struct {
	Name        string           `toml:"name"`
	Initial     string           `toml:"initial"`
	States      []wireState      `toml:"states"`
	Transitions []wireTransition `toml:"transitions"`
}

type wireState struct {
	Name         string   `toml:"name"`
	Summary      string   `toml:"summary"`
	Marks        []string `toml:"marks"`
	Timeout      string   `toml:"timeout"`
	TimeoutEvent string   `toml:"timeoutEvent"`
}

type wireTransition struct {
	Event   string   `toml:"event"`
	From    []string `toml:"from"`
	To      string   `toml:"to"`
	Summary string   `toml:"summary"`
}

// Parse parses a chart from TOML and validates it: state names are unique and
// not empty, every state is reachable, transitions and timeouts refer to
// declared states and events, and no event has two transitions from the same
// state. An invalid chart gives an error with the code Internal, because charts
// are embedded in the programs.
func Parse(source string) (*Chart, error) {
	var wc wireChart
	meta, err := toml.Decode(source, &wc)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "parse chart")
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return nil, classifier.New(classifier.Internal, "chart %s: unknown key %s", wc.Name, extra[0])
	}
	ct := &Chart{
		name:    wc.Name,
		initial: wc.Initial,
		states:  make(map[string]State, len(wc.States)),
	}
	for _, ws := range wc.States {
		if err := ct.addState(ws); err != nil {
			return nil, err
		}
	}
	for _, wt := range wc.Transitions {
		ct.transitions = append(ct.transitions, Transition(wt))
		ct.events = append(ct.events, fsm.EventDesc{
			Name: wt.Event,
			Src:  wt.From,
			Dst:  wt.To,
		})
	}
	if err := ct.check(); err != nil {
		return nil, err
	}
	return ct, nil
}

// MustParse is like Parse but panics if the chart is invalid. It is meant for
// charts embedded in a program.
func MustParse(source string) *Chart {
	ct, err := Parse(source)
	if err != nil {
		panic(err)
	}
	return ct
}

func (ct *Chart) addState(ws wireState) error {
	if ws.Name == "" || ct.HasState(ws.Name) {
		return classifier.New(classifier.Internal, "chart %s: state %q has no name or is declared twice", ct.name, ws.Name)
	}
	timeout := time.Duration(0)
	if ws.Timeout != "" {
		parsed, err := time.ParseDuration(ws.Timeout)
		if err != nil {
			return classifier.Wrap(err, classifier.Internal, "chart %s: state %s: timeout", ct.name, ws.Name)
		}
		timeout = parsed
	}
	ct.stateOrder = append(ct.stateOrder, ws.Name)
	ct.states[ws.Name] = State{
		Name:         ws.Name,
		Summary:      ws.Summary,
		Marks:        ws.Marks,
		Timeout:      timeout,
		TimeoutEvent: ws.TimeoutEvent,
	}
	return nil
}

func (ct *Chart) check() error {
	if !ct.HasState(ct.initial) {
		return classifier.New(classifier.Internal, "chart %s: unknown initial state %q", ct.name, ct.initial)
	}
	if err := ct.checkTransitions(); err != nil {
		return err
	}
	if err := ct.checkTimeouts(); err != nil {
		return err
	}
	return ct.checkReachable()
}

func (ct *Chart) checkTransitions() error {
	type edge struct {
		event string
		from  string
	}
	seen := map[edge]bool{}
	for _, tn := range ct.transitions {
		for _, name := range append(slices.Clone(tn.From), tn.To) {
			if !ct.HasState(name) {
				return classifier.New(classifier.Internal, "chart %s: event %s: unknown state %q", ct.name, tn.Event, name)
			}
		}
		for _, from := range tn.From {
			key := edge{
				event: tn.Event,
				from:  from,
			}
			if seen[key] {
				return classifier.New(classifier.Internal, "chart %s: event %s has two transitions from state %s", ct.name, tn.Event, from)
			}
			seen[key] = true
		}
	}
	return nil
}

func (ct *Chart) checkTimeouts() error {
	for _, st := range ct.states {
		if (st.Timeout == 0) != (st.TimeoutEvent == "") {
			return classifier.New(classifier.Internal, "chart %s: state %s: timeout and timeoutEvent must be set together", ct.name, st.Name)
		}
		if st.Timeout == 0 {
			continue
		}
		if _, err := ct.Next(st.Name, st.TimeoutEvent, classifier.Internal); err != nil {
			return err
		}
	}
	return nil
}

func (ct *Chart) checkReachable() error {
	reached := []string{ct.initial}
	for i := 0; i < len(reached); i++ {
		for _, tn := range ct.transitions {
			if slices.Contains(tn.From, reached[i]) && !slices.Contains(reached, tn.To) {
				reached = append(reached, tn.To)
			}
		}
	}
	for _, name := range ct.stateOrder {
		if !slices.Contains(reached, name) {
			return classifier.New(classifier.Internal, "chart %s: state %s is unreachable", ct.name, name)
		}
	}
	return nil
}
