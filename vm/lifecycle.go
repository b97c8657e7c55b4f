package vm

import (
	"context"

	"github.com/looplab/fsm"
	"github.com/rotisserie/eris"
)

// Events of a Lifecycle.
const (
	eventWarm  = "warm"
	eventServe = "serve"
	eventDrain = "drain"
	eventStop  = "stop"
)

// A Lifecycle is the state machine of this VM's process: starting, warming,
// serving, draining, stopped. Transitions only go forward, and every state may
// go to stopped.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLifecycle returns a Lifecycle in StateStarting. onEnter, which may be nil,
// is called with every state that is entered.
func NewLifecycle(onEnter func(state string)) *Lifecycle {
	early := []string{StateStarting, StateWarming, StateServing}
	events := fsm.Events{
		{Name: eventWarm, Src: []string{StateStarting}, Dst: StateWarming},
		{Name: eventServe, Src: []string{StateWarming}, Dst: StateServing},
		{Name: eventDrain, Src: early, Dst: StateDraining},
		{Name: eventStop, Src: append(early, StateDraining), Dst: StateStopped},
	}
	callbacks := fsm.Callbacks{}
	if onEnter != nil {
		callbacks["enter_state"] = func(_ context.Context, e *fsm.Event) { onEnter(e.Dst) }
	}
	return &Lifecycle{machine: fsm.NewFSM(StateStarting, events, callbacks)}
}

// State returns the current state.
func (l *Lifecycle) State() string { return l.machine.Current() }

// Warm changes the state from StateStarting to StateWarming.
func (l *Lifecycle) Warm() error { return l.transition(eventWarm) }

// Serve changes the state from StateWarming to StateServing.
func (l *Lifecycle) Serve() error { return l.transition(eventServe) }

// Drain changes the state from any earlier one to StateDraining.
func (l *Lifecycle) Drain() error { return l.transition(eventDrain) }

// Stop changes the state from any earlier one to StateStopped.
func (l *Lifecycle) Stop() error { return l.transition(eventStop) }

func (l *Lifecycle) transition(event string) error {
	from := l.State()
	if err := l.machine.Event(context.Background(), event); err != nil {
		return eris.Wrapf(err, "VM cannot %s while %s", event, from)
	}
	return nil
}
