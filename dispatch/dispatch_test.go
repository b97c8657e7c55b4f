package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/target"
)

var errReset = errors.New("connection reset")

// outcome returns the kind of an Outcome as text.
func outcome(o dispatch.Outcome) string {
	switch o := o.(type) {
	case dispatch.Ran:
		if o.Complete {
			return "complete"
		}
		return "not complete"
	case dispatch.NotRun:
		return "not run"
	case dispatch.Unknown:
		return "unknown"
	}
	return "none"
}

// A runCase is one job on scripted targets, with the expected results.
type runCase struct {
	name       string
	idempotent bool
	scripts    []script
	outcome    string
	sends      int
	body       string
	cancelled  int
}

func (rc runCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{scripts: rc.scripts}
		w := httptest.NewRecorder()
		start := time.Now()
		got := dispatch.NewRunner(dispatch.Options{Client: c, Chooser: newChooser(3)}).
			Run(t.Context(), rc.job(), w)
		must.LessEq(t, 5*time.Second, time.Since(start))
		synctest.Wait()
		must.Eq(t, rc.outcome, outcome(got))
		must.Eq(t, rc.sends, len(c.sent))
		must.Eq(t, rc.body, eventData(w.Body.String()))
		must.Eq(t, rc.cancelled, len(c.cancelled))
		assertAttempts(t, c.sent)
	})
}

func (rc runCase) job() dispatch.Job {
	return dispatch.Job{
		ID:       "r1",
		Method:   http.MethodPost,
		Path:     "/v1/chat/completions",
		Body:     []byte("{}"),
		Deadline: time.Now().Add(20 * time.Second),
		Route:    &config.Route{Kind: config.RouteModel, Idempotent: rc.idempotent},
	}
}

// eventData returns the data of the events in an event stream, joined by spaces,
// up to the first error event. A stream without one gets an "error" at the end.
func eventData(body string) string {
	var data []string
	for _, line := range strings.Split(body, "\n") {
		if d, ok := strings.CutPrefix(line, "data: "); ok {
			data = append(data, d)
		}
		if strings.HasPrefix(line, "event: error") {
			data = append(data, "error")
		}
	}
	return strings.SplitAfter(strings.Join(data, " ")+" error", "error")[0]
}

// assertAttempts checks that each send has a unique attempt id.
func assertAttempts(t must.T, sent []target.Request) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range sent {
		must.False(t, seen[r.Attempt])
		seen[r.Attempt] = true
	}
}

func TestRun(t *testing.T) {
	lost := fixedResult(target.Lost{Err: errReset})
	unreachable := fixedResult(target.NotRun{Reason: "refused", Unreachable: true})
	stale := fixedResult(target.NotRun{Reason: "409", Stale: true})
	cases := []runCase{
		{
			name: "complete response", scripts: []script{events(1, 2, "done")},
			outcome: "complete", sends: 1, body: "t1 t2 [DONE] error",
		},
		{
			name: "resumed after a broken connection", scripts: []script{events(1, 2, "broken"), events(3, 4, "done")},
			outcome: "complete", sends: 2, body: "t1 t2 t3 t4 [DONE] error",
		},
		{
			name: "resumed after silence", scripts: []script{events(1, 2, "silent"), events(2, 4, "done")},
			outcome: "complete", sends: 2, body: "t1 t2 t3 t4 [DONE] error",
		},
		{
			name: "stream cannot be resumed", scripts: []script{events(1, 2, "broken"), stale},
			outcome: "not complete", sends: 2, body: "t1 t2 error", cancelled: 1,
		},
		{
			name: "lost, not idempotent", scripts: []script{lost},
			outcome: "unknown", sends: 1, body: " error", cancelled: 1,
		},
		{
			name: "lost, idempotent", idempotent: true, scripts: []script{lost, events(1, 1, "done")},
			outcome: "complete", sends: 2, body: "t1 [DONE] error", cancelled: 1,
		},
		{
			name: "unreachable, not idempotent", scripts: []script{unreachable, events(1, 1, "done")},
			outcome: "complete", sends: 2, body: "t1 [DONE] error",
		},
		{
			name: "engine restarted between choice and send", scripts: []script{stale, events(1, 1, "done")},
			outcome: "complete", sends: 2, body: "t1 [DONE] error",
		},
		{
			name: "all targets unreachable", scripts: []script{unreachable},
			outcome: "not run", sends: 3, body: " error",
		},
		{
			name: "crash before the first token, idempotent", idempotent: true,
			scripts: []script{events(1, 0, "broken"), stale, events(1, 1, "done")},
			outcome: "complete", sends: 3, body: "t1 [DONE] error", cancelled: 1,
		},
		{
			name: "crash before the first token, not idempotent", scripts: []script{events(1, 0, "broken"), stale},
			outcome: "unknown", sends: 2, body: " error", cancelled: 1,
		},
	}
	for _, rc := range cases {
		t.Run(rc.name, rc.run)
	}
}

// TestRunCallerGone checks that a request whose caller disconnects is cancelled on
// the target.
func TestRunCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &client{scripts: []script{events(1, 2, "silent")}}
		time.AfterFunc(time.Second, cancel)
		got := dispatch.NewRunner(dispatch.Options{Client: c, Chooser: newChooser(1)}).
			Run(ctx, runCase{}.job(), httptest.NewRecorder())
		synctest.Wait()
		must.Eq(t, "not complete", outcome(got))
		must.Eq(t, []string{"r1"}, c.cancelled)
	})
}

// TestRunWithdrawn checks that a withdrawn key stops the job before a send, a
// retry and a resume.
func TestRunWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		script  script
		allowed int
		outcome string
		sends   int
	}{
		"before the send":   {events(1, 1, "done"), 0, "not run", 0},
		"before the retry":  {fixedResult(target.Lost{Err: errReset}), 1, "unknown", 1},
		"before the resume": {events(1, 1, "broken"), 1, "not complete", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c1 := &client{scripts: []script{c.script}}
				job := runCase{idempotent: true}.job()
				job.Allowed = func() error {
					if c.allowed--; c.allowed < 0 {
						return errors.New("key withdrawn")
					}
					return nil
				}
				got := dispatch.NewRunner(dispatch.Options{Client: c1, Chooser: newChooser(2)}).
					Run(t.Context(), job, httptest.NewRecorder())
				synctest.Wait()
				must.Eq(t, c.outcome, outcome(got))
				must.Eq(t, c.sends, len(c1.sent))
			})
		})
	}
}

// TestRunDelayedSend checks that a target is chosen again if the VM was paused between
// the choice and the send.
func TestRunDelayedSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{scripts: []script{events(1, 1, "done")}}
		chooser := newChooser(1)
		chooser.pause = 10 * time.Second
		got := dispatch.NewRunner(dispatch.Options{Client: c, Chooser: chooser}).
			Run(t.Context(), runCase{}.job(), httptest.NewRecorder())
		must.Eq(t, "complete", outcome(got))
		must.Eq(t, 1, len(c.sent))
		must.Eq(t, 2, chooser.done)
	})
}

// TestRunBudget checks that the retry budget limits retries to a small fraction
// of the requests.
func TestRunBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{scripts: []script{fixedResult(target.Lost{Err: errReset})}}
		r := dispatch.NewRunner(dispatch.Options{Client: c, Chooser: newChooser(3)})
		for range 200 {
			r.Run(t.Context(), runCase{idempotent: true}.job(), httptest.NewRecorder())
		}
		synctest.Wait()
		must.Between(t, 200, len(c.sent), 240)
	})
}
