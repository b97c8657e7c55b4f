package fake

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// recordLimit is the number of requests that a Record keeps.
const recordLimit = 10_000

// A Seen is one request as a stand-in saw it.
type RecordedRequest struct {
	ReceivedAt time.Time
	Method     string
	URL        string
	Header     http.Header
	Body       string
}

// A Record notes what a stand-in saw and ran.
type Recorder struct {
	mu    sync.Mutex
	seen  []RecordedRequest
	runs  map[string]int
	total int
}

// NewRecord returns an empty Record.
func NewRecorder() *Recorder { return &Recorder{runs: map[string]int{}} }

// see notes a request with its body, and the trailers that came after it.
func (r *Recorder) see(req *http.Request, body []byte) {
	h := req.Header.Clone()
	for name, values := range req.Trailer {
		h["Trailer:"+name] = values
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.seen) == recordLimit {
		r.seen = r.seen[1:]
	}
	r.seen = append(r.seen, RecordedRequest{
		ReceivedAt: time.Now(), Method: req.Method, URL: req.URL.String(), Header: h, Body: string(body),
	})
}

// ran notes that the request was run.
func (r *Recorder) ran(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	r.runs[req.Header.Get(target.HeaderRequestID)]++
}

// Runs returns how often the request with the given id was run.
func (r *Recorder) Runs(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[requestID]
}

// TotalRuns returns how many requests were run.
func (r *Recorder) TotalRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// MostRuns returns the largest number of runs under one request id.
func (r *Recorder) MaxRunsPerRequest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, n := range r.runs {
		most = max(most, n)
	}
	return most
}

// Requests returns the latest requests in the order in which they came.
func (r *Recorder) Requests() []RecordedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RecordedRequest(nil), r.seen...)
}

// Contains tells whether secret was in the URL, a header, a trailer or the body
// of a recorded request.
func (r *Recorder) Contains(secret string) bool {
	for _, s := range r.Requests() {
		if s.contains(secret) {
			return true
		}
	}
	return false
}

func (s RecordedRequest) contains(secret string) bool {
	if strings.Contains(s.URL, secret) || strings.Contains(s.Body, secret) {
		return true
	}
	for name, values := range s.Header {
		if strings.Contains(name+"\n"+strings.Join(values, "\n"), secret) {
			return true
		}
	}
	return false
}
