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

// A Service is a stand-in of a plain service that holds seats. POST /holds with
// {"seat": S} holds a seat and must not be repeated; GET /seats/S looks it up.
type Service struct {
	*Recorder
	name string
	mux  *http.ServeMux

	mu       sync.Mutex
	life     context.Context
	kill     context.CancelFunc
	holds    map[string]string
	down     bool
	leaving  bool
	refusals int
	losses   int
	silences int
	delay    time.Duration
}

// NewService returns a Service with no seat held.
func NewService(name string) *Service {
	s := &Service{Recorder: NewRecorder(), name: name, mux: http.NewServeMux(), holds: map[string]string{}}
	s.life, s.kill = context.WithCancel(context.Background())
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

// Crash ends all connections. Held seats are kept.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
	s.life, s.kill = context.WithCancel(context.Background())
}

// SetDown makes the service end every new connection without an answer.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLeaving makes the service report that it leaves and refuse new holds.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetDelay makes every hold take d.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// RefuseNext makes the service refuse the next n holds as not run.
func (s *Service) RefuseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = n
}

// LoseAnswers makes the service run the next n holds and break off their
// connections in place of an answer.
func (s *Service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = n
}

// SilenceNext makes the service run the next n holds and never answer them.
func (s *Service) HangNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences = n
}

// Held returns the number of seats held.
func (s *Service) HeldSeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holds)
}

// take uses up one of *n if there is one.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) hold(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	s.see(r, data)
	var body struct {
		Seat string `json:"seat"`
	}
	if err != nil || json.Unmarshal(data, &body) != nil || body.Seat == "" {
		refuse(w, http.StatusBadRequest, "want a body {\"seat\": name}")
		return
	}
	s.mu.Lock()
	refused := s.leaving || take(&s.refusals)
	delay, life := s.delay, s.life
	s.mu.Unlock()
	if refused {
		refuse(w, http.StatusServiceUnavailable, "takes no requests")
		return
	}
	s.ran(r)
	s.mu.Lock()
	holder, taken := s.holds[body.Seat]
	if !taken {
		holder = r.Header.Get(target.HeaderRequestID)
		s.holds[body.Seat] = holder
	}
	lost, silent := take(&s.losses), take(&s.silences)
	s.mu.Unlock()
	if silent {
		scope{life: life}.holdOpen(r.Context())
	}
	if !store.Sleep(life, delay) || lost {
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
	s.see(r, nil)
	s.ran(r)
	s.mu.Lock()
	holder, taken := s.holds[r.PathValue("seat")]
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Seat   string `json:"seat"`
		Free   bool   `json:"free"`
		Holder string `json:"holder,omitempty"`
	}{Seat: r.PathValue("seat"), Free: !taken, Holder: holder})
}

// load reports the service's state in the form of an engine's report.
func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, target.Report{Incarnation: s.name, Leaving: leaving, TakenAt: time.Now()})
}
