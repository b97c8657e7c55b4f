package model

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/route"
)

// follow sends a request when the prefill that it follows is done, or late.
func (t *Trial) follow(a workload.Arrival, begun time.Time, excluded []string, plan route.Plan) {
	sent := false
	again := func() {
		if !sent {
			sent = true
			t.send(a, begun, excluded, true)
		}
	}
	if plan.Ready == nil {
		t.schedule.After(100*time.Millisecond, again)
		return
	}
	t.schedule.After(plan.Until.Sub(t.schedule.Now()), again)
	t.waiting = append(t.waiting, func() {
		select {
		case <-plan.Ready:
			again()
		default:
			if !sent {
				t.waiting = append(t.waiting, nil)
			}
		}
	})
}

// wake lets the requests go on whose prefill is done.
func (t *Trial) wake() {
	list := t.waiting
	t.waiting = nil
	for _, check := range list {
		before := len(t.waiting)
		check()
		for i := before; i < len(t.waiting); i++ {
			if t.waiting[i] == nil {
				t.waiting[i] = check
			}
		}
	}
}
