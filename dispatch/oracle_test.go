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

// An oracle counts what targets did with the sends of one job.
type oracle struct {
	runs     int
	answered int
}

// next draws what happens to one send.
func (o *oracle) next(t *rapid.T) script {
	return func(ctx context.Context, r target.Request) target.Result {
		fate := rapid.SampledFrom([]string{
			"unreachable", "stale", "full", "lost", "error", "broken", "silent", "done",
		}).Draw(t, "fate")
		if r.Resume > 0 && (fate == "error" || fate == "full") {
			fate = "stale"
		}
		switch fate {
		case "unreachable":
			return target.NotRun{Reason: fate, Unreachable: true}
		case "stale":
			return target.NotRun{Reason: fate, Stale: true}
		case "full":
			return target.NotRun{Reason: fate}
		}
		if r.Resume == 0 {
			o.runs++
		}
		if fate == "lost" {
			return target.Lost{Err: errReset}
		}
		o.answered++
		if fate == "error" {
			return target.Responded{Response: target.Response{Status: http.StatusServiceUnavailable, Body: http.NoBody}}
		}
		first := max(1, int(r.Resume)-rapid.IntRange(0, 1).Draw(t, "repeated"))
		return events(first, max(first, 1+rapid.IntRange(0, 5).Draw(t, "last")), fate)(ctx, r)
	}
}

// check compares an outcome with what the targets did and the caller got.
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
	whole := strings.HasSuffix(body, "data: [DONE]\n\n")
	explained := strings.Contains(body, "event: error")
	switch got := got.(type) {
	case dispatch.Ran:
		must.True(t, o.answered > 0)
		must.Eq(t, whole, got.Complete && len(ids) > 0)
		must.True(t, got.Complete || got.MustAbort || explained)
	case dispatch.NotRun:
		must.Zero(t, o.runs)
		must.Eq(t, got.Started, explained)
	case dispatch.Unknown:
		must.Positive(t, o.runs)
		must.Zero(t, len(ids))
		must.Eq(t, got.Started, explained)
	}
}

// noDeadline hides the deadline of a test, which has none in virtual time.
type noDeadline struct{ testing.TB }

// TestRunAgainstOracle runs jobs on targets with drawn fates.
func TestRunAgainstOracle(t *testing.T) {
	must.NoError(t, seed.Rapid())
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			o := &oracle{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
				time.AfterFunc(time.Duration(rapid.IntRange(0, 5000).Draw(t, "after"))*time.Millisecond, cancel)
			}
			job := scene{idempotent: rapid.Bool().Draw(t, "idempotent")}.job()
			w := httptest.NewRecorder()
			c := &client{scripts: []script{o.next(t)}}
			got := dispatch.NewRunner(dispatch.Options{Client: c, Chooser: newChooser(3)}).Run(ctx, job, w)
			synctest.Wait()
			assertAttempts(t, c.sent)
			o.check(t, job.Route.Idempotent, got, w.Body.String())
		})
	})
}
