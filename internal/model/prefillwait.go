package model

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/route"
)

// awaitPrefill sends a request again when the prefill that it waits for is done or
// the wait times out.
func (t *Trial) awaitPrefill(a workload.Arrival, start time.Time, excluded []string, plan route.Plan) {
	sent := false
	resend := func() {
		if !sent {
			sent = true
			t.send(a, start, excluded, true)
		}
	}
	if plan.Ready == nil {
		t.schedule.After(100*time.Millisecond, resend)
		return
	}
	t.schedule.After(plan.Until.Sub(t.schedule.Now()), resend)
	t.waiting = append(t.waiting, func() {
		select {
		case <-plan.Ready:
			resend()
		default:
			if !sent {
				t.waiting = append(t.waiting, nil)
			}
		}
	})
}

// resumeWaiting resends the waiting requests whose prefill is done.
func (t *Trial) resumeWaiting() {
	waiting := t.waiting
	t.waiting = nil
	for _, check := range waiting {
		before := len(t.waiting)
		check()
		for i := before; i < len(t.waiting); i++ {
			if t.waiting[i] == nil {
				t.waiting[i] = check
			}
		}
	}
}
