package dispatch_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/seed"
)

const randomRequests = 400

// TestRandomFaults sends requests through a system with random faults, and checks
// each response against what the engines ran.
func TestRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, true)
		rng := rand.New(rand.NewPCG(seed.Value(), 6))
		var wg sync.WaitGroup
		var complete atomic.Int64
		for i := range randomRequests {
			id := fmt.Sprintf("random-%d", i)
			route := []string{"chat", "repeatable"}[rng.IntN(2)]
			name := string(rune('a' + rng.IntN(3)))
			wg.Go(func() {
				o, w := s.sendRequest(name, id, route)
				s.check(id, route, o, w)
				if ran, ok := o.(dispatch.Ran); ok && ran.Complete {
					complete.Add(1)
				}
			})
			s.injectFault(rng)
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		wg.Wait()
		t.Logf("%d of %d complete", complete.Load(), randomRequests)
		must.Greater(t, randomRequests/2, int(complete.Load()))
		for _, e := range s.engines {
			must.Eq(t, 0, e.Usage().SaltMismatches)
			must.False(t, e.Contains("caller-secret"))
		}
	})
}

// injectFault injects at most one random fault, or clears the faults of an engine.
func (s *system) injectFault(rng *rand.Rand) {
	i := rng.IntN(len(s.engines))
	e := s.engines[i]
	switch rng.IntN(24) {
	case 0:
		e.Crash()
	case 1:
		e.StallConnections()
	case 2:
		e.StallAfter(int64(1 + rng.IntN(3)))
	case 3:
		e.TruncateAfter(int64(1 + rng.IntN(3)))
	case 4:
		e.DropEvents(1 + rng.IntN(3))
	case 5:
		e.SetLeaving(true)
	case 6:
		e.SetDown(true)
	case 7:
		s.network.Refuse(s.view.Targets[i+1].Address, true)
	case 8, 9, 10, 11:
		e.SetLeaving(false)
		e.SetDown(false)
		s.network.Refuse(s.view.Targets[i+1].Address, false)
	}
}

// check compares an outcome with the runs recorded by the engines and with the
// response.
func (s *system) check(id, route string, o dispatch.Outcome, w *httptest.ResponseRecorder) {
	s.t.Helper()
	runs := 0
	for _, e := range s.engines {
		runs += e.Runs(id)
	}
	must.True(s.t, route == "repeatable" || runs <= 1, must.Sprintf("%s ran %d times", id, runs))
	got, want := responseText(s.t, w.Body.String()), fake.CompletionText(id, 3)
	switch o := o.(type) {
	case dispatch.Ran:
		must.Positive(s.t, runs)
		must.StrHasPrefix(s.t, got, want)
		must.Eq(s.t, o.Complete, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
		must.True(s.t, o.Complete || strings.Contains(w.Body.String(), "event: error"))
		must.True(s.t, !o.Complete || got == want)
	case dispatch.NotRun:
		must.Zero(s.t, runs, must.Sprintf("%s: %s", id, o.Reason))
	case dispatch.Unknown:
		must.Eq(s.t, "", got)
	}
}

// responseText returns the text of a streamed chat completion.
func responseText(t *testing.T, body string) string {
	t.Helper()
	text := ""
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: {\"id\"")
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		must.NoError(t, json.Unmarshal([]byte("{\"id\""+data), &chunk))
		text += chunk.Choices[0].Delta.Content
	}
	return text
}
