package fake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// A Service is a stand-in for an ordinary service that reserves seats. POST
// /holds with {"seat": S} reserves a seat and must not be repeated; GET /seats/S
// looks it up.
type Service struct {
	*Recorder
	name string
	mux  *http.ServeMux

	mu              sync.Mutex
	crashCtx        context.Context
	crash           context.CancelFunc
	holders         map[string]string
	down            bool
	leaving         bool
	holdsToRefuse   int
	responsesToDrop int
	holdsToHang     int
	delay           time.Duration
}

// NewService returns a Service with no seat reserved.
func NewService(name string) *Service {
	s := &Service{Recorder: NewRecorder(), name: name, mux: http.NewServeMux(), holders: map[string]string{}}
	s.crashCtx, s.crash = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST /holds", s.hold)
	s.mux.HandleFunc("GET /seats/{seat}", s.seat)
	s.mux.HandleFunc("GET /load", s.load)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		abort()
	}
	s.mux.ServeHTTP(w, r)
}

// Crash aborts all running holds. Reserved seats are kept.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
	s.crashCtx, s.crash = context.WithCancel(context.Background())
}

// SetDown makes the service abort every new request without a response.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLeaving makes the service report that it is leaving and reject new holds.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetDelay sets the time that every hold takes.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// RefuseNext makes the service reject the next n holds as not run.
func (s *Service) RefuseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdsToRefuse = n
}

// DropResponses makes the service run the next n holds and close their
// connections without a response.
func (s *Service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// HangNext makes the service run the next n holds and never respond, without
// closing their connections.
func (s *Service) HangNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdsToHang = n
}

// HeldSeats returns the number of reserved seats.
func (s *Service) HeldSeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holders)
}

// takeOne decrements *n and reports whether it was above zero.
func takeOne(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) hold(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	s.recordRequest(r, data)
	var body struct {
		Seat string `json:"seat"`
	}
	if err != nil || json.Unmarshal(data, &body) != nil || body.Seat == "" {
		refuse(w, http.StatusBadRequest, "want a body {\"seat\": name}")
		return
	}
	s.mu.Lock()
	refused := s.leaving || takeOne(&s.holdsToRefuse)
	delay, crashCtx := s.delay, s.crashCtx
	s.mu.Unlock()
	if refused {
		refuse(w, http.StatusServiceUnavailable, "takes no requests")
		return
	}
	s.recordRun(r)
	s.mu.Lock()
	holder, taken := s.holders[body.Seat]
	if !taken {
		holder = r.Header.Get(target.HeaderRequestID)
		s.holders[body.Seat] = holder
	}
	dropResponse, hang := takeOne(&s.responsesToDrop), takeOne(&s.holdsToHang)
	s.mu.Unlock()
	if hang {
		scope{crashCtx: crashCtx}.holdOpen(r.Context())
	}
	if !store.Sleep(crashCtx, delay) || dropResponse {
		abort()
	}
	status := http.StatusCreated
	if taken {
		status = http.StatusConflict
	}
	writeJSON(w, status, struct {
		Seat   string `json:"seat"`
		Holder string `json:"holder"`
		Held   bool   `json:"held"`
	}{Seat: body.Seat, Holder: holder, Held: !taken})
}

func (s *Service) seat(w http.ResponseWriter, r *http.Request) {
	s.recordRequest(r, nil)
	s.recordRun(r)
	s.mu.Lock()
	holder, taken := s.holders[r.PathValue("seat")]
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Seat   string `json:"seat"`
		Free   bool   `json:"free"`
		Holder string `json:"holder,omitempty"`
	}{Seat: r.PathValue("seat"), Free: !taken, Holder: holder})
}

// load returns the state of the service in the format of an engine's load report.
func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, target.Report{Incarnation: s.name, Leaving: leaving, TakenAt: time.Now()})
}
