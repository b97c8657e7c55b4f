package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/target"
)

// An oracle is the reference that outcomes are checked against: it counts the runs
// of one job on targets and their responses.
type oracle struct {
	runs      int
	responses int
}

// next returns a script that draws the result of each send.
func (o *oracle) next(t *rapid.T) script {
	return func(ctx context.Context, r target.Request) target.Result {
		kind := rapid.SampledFrom([]string{
			"unreachable", "stale", "full", "lost", "error", "broken", "silent", "done",
		}).Draw(t, "fate")
		if r.Resume > 0 && (kind == "error" || kind == "full") {
			kind = "stale"
		}
		switch kind {
		case "unreachable":
			return target.NotRun{Reason: kind, Unreachable: true}
		case "stale":
			return target.NotRun{Reason: kind, Stale: true}
		case "full":
			return target.NotRun{Reason: kind}
		}
		if r.Resume == 0 {
			o.runs++
		}
		if kind == "lost" {
			return target.Lost{Err: errReset}
		}
		o.responses++
		if kind == "error" {
			return target.Responded{Response: target.Response{Status: http.StatusServiceUnavailable, Body: http.NoBody}}
		}
		first := max(1, int(r.Resume)-rapid.IntRange(0, 1).Draw(t, "repeated"))
		return events(first, max(first, 1+rapid.IntRange(0, 5).Draw(t, "last")), kind)(ctx, r)
	}
}

// check compares an outcome with what the targets ran and what the caller
// received.
func (o *oracle) check(t *rapid.T, idempotent bool, got dispatch.Outcome, body string) {
	must.True(t, idempotent || o.runs <= 1, must.Sprintf("%d runs", o.runs))
	var ids []string
	for _, line := range strings.Split(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	for i, id := range ids {
		must.Eq(t, fmt.Sprint(i+1), id)
	}
	complete := strings.HasSuffix(body, "data: [DONE]\n\n")
	hasErrorEvent := strings.Contains(body, "event: error")
	switch got := got.(type) {
	case dispatch.Ran:
		must.True(t, o.responses > 0)
		must.Eq(t, complete, got.Complete && len(ids) > 0)
		must.True(t, got.Complete || got.MustAbort || hasErrorEvent)
	case dispatch.NotRun:
		must.Zero(t, o.runs)
		must.Eq(t, got.Started, hasErrorEvent)
	case dispatch.Unknown:
		must.Positive(t, o.runs)
		must.Zero(t, len(ids))
		must.Eq(t, got.Started, hasErrorEvent)
	}
}

// noDeadline hides the deadline of a test from rapid: it is a wall-clock time and
// means nothing in virtual time.
type noDeadline struct{ testing.TB }

// TestRunAgainstOracle runs jobs on targets whose results are drawn at random.
func TestRunAgainstOracle(t *testing.T) {
	must.NoError(t, seed.SetRapid())
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			o := &oracle{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
				time.AfterFunc(time.Duration(rapid.IntRange(0, 5000).Draw(t, "after"))*time.Millisecond, cancel)
			}
			job := runCase{idempotent: rapid.Bool().Draw(t, "idempotent")}.job()
			w := httptest.NewRecorder()
			c := &client{scripts: []script{o.next(t)}}
			got := dispatch.NewRunner(dispatch.Options{Client: c, Chooser: newChooser(3)}).Run(ctx, job, w)
			synctest.Wait()
			assertAttempts(t, c.sent)
			o.check(t, job.Route.Idempotent, got, w.Body.String())
		})
	})
}
