package vm

import (
	"context"

	"github.com/looplab/fsm"
	"github.com/rotisserie/eris"
)

// Events of a Life.
const (
	eventWarm  = "warm"
	eventServe = "serve"
	eventDrain = "drain"
	eventStop  = "stop"
)

// A Life is the life cycle of this VM's process: starting, warming, serving,
// draining, stopped. It only moves forward, and every state may stop.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLife returns a Life in StateStarting. Entered, which may be nil, is called
// with every state that is entered.
func NewLifecycle(entered func(state string)) *Lifecycle {
	early := []string{StateStarting, StateWarming, StateServing}
	events := fsm.Events{
		{Name: eventWarm, Src: []string{StateStarting}, Dst: StateWarming},
		{Name: eventServe, Src: []string{StateWarming}, Dst: StateServing},
		{Name: eventDrain, Src: early, Dst: StateDraining},
		{Name: eventStop, Src: append(early, StateDraining), Dst: StateStopped},
	}
	callbacks := fsm.Callbacks{}
	if entered != nil {
		callbacks["enter_state"] = func(_ context.Context, e *fsm.Event) { entered(e.Dst) }
	}
	return &Lifecycle{machine: fsm.NewFSM(StateStarting, events, callbacks)}
}

// State returns the present state.
func (l *Lifecycle) State() string { return l.machine.Current() }

// Warm moves from StateStarting to StateWarming.
func (l *Lifecycle) Warm() error { return l.move(eventWarm) }

// Serve moves from StateWarming to StateServing.
func (l *Lifecycle) Serve() error { return l.move(eventServe) }

// Drain moves from any state before it to StateDraining.
func (l *Lifecycle) Drain() error { return l.move(eventDrain) }

// Stop moves from any state to StateStopped.
func (l *Lifecycle) Stop() error { return l.move(eventStop) }

func (l *Lifecycle) move(event string) error {
	from := l.State()
	if err := l.machine.Event(context.Background(), event); err != nil {
		return eris.Wrapf(err, "VM cannot %s while %s", event, from)
	}
	return nil
}
