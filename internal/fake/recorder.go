package fake

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// maxRecordedRequests is the number of requests that a Recorder keeps.
const maxRecordedRequests = 10_000

// A RecordedRequest is a request as a stand-in received it. The header includes
// the trailers, with the prefix "Trailer:".
type RecordedRequest struct {
	ReceivedAt time.Time
	Method     string
	URL        string
	Header     http.Header
	Body       string
}

// A Recorder records the requests that a stand-in received and counts those that
// it ran.
type Recorder struct {
	mu        sync.Mutex
	requests  []RecordedRequest
	runs      map[string]int
	totalRuns int
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{runs: map[string]int{}} }

// recordRequest records a request with its body and trailers.
func (r *Recorder) recordRequest(req *http.Request, body []byte) {
	h := req.Header.Clone()
	for name, values := range req.Trailer {
		h["Trailer:"+name] = values
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) == maxRecordedRequests {
		r.requests = r.requests[1:]
	}
	r.requests = append(r.requests, RecordedRequest{
		ReceivedAt: time.Now(), Method: req.Method, URL: req.URL.String(), Header: h, Body: string(body),
	})
}

// recordRun counts a run of the request.
func (r *Recorder) recordRun(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totalRuns++
	r.runs[req.Header.Get(target.HeaderRequestID)]++
}

// Runs returns the number of times that the request with the given id was run.
func (r *Recorder) Runs(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[requestID]
}

// TotalRuns returns the number of runs of all requests.
func (r *Recorder) TotalRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalRuns
}

// MaxRunsPerRequest returns the largest number of runs with the same request id.
func (r *Recorder) MaxRunsPerRequest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	maxRuns := 0
	for _, n := range r.runs {
		maxRuns = max(maxRuns, n)
	}
	return maxRuns
}

// Requests returns the latest requests in the order of their arrival.
func (r *Recorder) Requests() []RecordedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RecordedRequest(nil), r.requests...)
}

// Contains reports whether the URL, a header, a trailer or the body of a recorded
// request contains secret.
func (r *Recorder) Contains(secret string) bool {
	for _, req := range r.Requests() {
		if req.contains(secret) {
			return true
		}
	}
	return false
}

func (r RecordedRequest) contains(secret string) bool {
	if strings.Contains(r.URL, secret) || strings.Contains(r.Body, secret) {
		return true
	}
	for name, values := range r.Header {
		if strings.Contains(name+"\n"+strings.Join(values, "\n"), secret) {
			return true
		}
	}
	return false
}
