package fake

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/target"
)

// holdSeat reserves the seat A1 as request r1 and returns the status, or zero if there is no response.
func holdSeat(ctx context.Context, t *testing.T, n *Network) (status int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engineAddress+"/holds", strings.NewReader(`{"seat":"A1"}`))
	must.NoError(t, err)
	r.Header.Set(target.HeaderRequestID, "r1")
	resp, err := (&http.Client{Transport: n}).Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func TestServiceHolds(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(s *Service)
		status int
		runs   int
		held   int
	}{
		"held":             {fault: func(*Service) {}, status: http.StatusCreated, runs: 1, held: 1},
		"refused":          {fault: func(s *Service) { s.RefuseNext(1) }, status: http.StatusServiceUnavailable},
		"leaving":          {fault: func(s *Service) { s.SetLeaving(true) }, status: http.StatusServiceUnavailable},
		"down":             {fault: func(s *Service) { s.SetDown(true) }},
		"response dropped": {fault: func(s *Service) { s.DropResponses(1) }, runs: 1, held: 1},
		"no response":      {fault: func(s *Service) { s.HangNext(1) }, runs: 1, held: 1},
		"crash":            {fault: crashDuringHold, runs: 1, held: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := NewService("zaseki"), NewNetwork()
				n.Add(engineAddress, s)
				c.fault(s)
				status := holdSeat(t.Context(), t, n)
				must.Eq(t, c.status, status)
				must.Eq(t, c.runs, s.Runs("r1"))
				must.Eq(t, c.held, s.HeldSeats())
			})
		})
	}
}

// crashDuringHold crashes the service while a hold is running.
func crashDuringHold(s *Service) {
	s.SetDelay(2 * time.Second)
	time.AfterFunc(time.Second, s.Crash)
}

// TestServiceCountsRepeatedRuns checks that a second run with the same request id
// is counted.
func TestServiceCountsRepeatedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := NewService("zaseki"), NewNetwork()
		n.Add(engineAddress, s)
		holdSeat(t.Context(), t, n)
		status := holdSeat(t.Context(), t, n)
		must.Eq(t, http.StatusConflict, status)
		must.Eq(t, 2, s.MaxRunsPerRequest())
	})
}

// TestNetworkRefuses checks that no request arrives over a refused connection.
func TestNetworkRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := NewService("zaseki"), NewNetwork()
		n.Add(engineAddress, s)
		n.Refuse(engineAddress, true)
		status := holdSeat(t.Context(), t, n)
		must.Eq(t, 0, status)
		must.SliceEmpty(t, s.Requests())
	})
}
