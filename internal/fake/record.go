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
type Seen struct {
	At     time.Time
	Method string
	URL    string
	Header http.Header
	Body   string
}

// A Record notes what a stand-in saw and ran.
type Record struct {
	mu    sync.Mutex
	seen  []Seen
	runs  map[string]int
	total int
}

// NewRecord returns an empty Record.
func NewRecord() *Record { return &Record{runs: map[string]int{}} }

// see notes a request with its body, and the trailers that came after it.
func (r *Record) see(req *http.Request, body []byte) {
	h := req.Header.Clone()
	for name, values := range req.Trailer {
		h["Trailer:"+name] = values
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.seen) == recordLimit {
		r.seen = r.seen[1:]
	}
	r.seen = append(r.seen, Seen{
		At: time.Now(), Method: req.Method, URL: req.URL.String(), Header: h, Body: string(body),
	})
}

// ran notes that the request was run.
func (r *Record) ran(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	r.runs[req.Header.Get(target.HeaderRequestID)]++
}

// Runs returns how often the request with the given id was run.
func (r *Record) Runs(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[requestID]
}

// TotalRuns returns how many requests were run.
func (r *Record) TotalRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// MostRuns returns the largest number of runs under one request id.
func (r *Record) MostRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, n := range r.runs {
		most = max(most, n)
	}
	return most
}

// Requests returns the latest requests in the order in which they came.
func (r *Record) Requests() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Seen(nil), r.seen...)
}

// Contains tells whether secret was in the URL, a header, a trailer or the body
// of a recorded request.
func (r *Record) Contains(secret string) bool {
	for _, s := range r.Requests() {
		if s.contains(secret) {
			return true
		}
	}
	return false
}

func (s Seen) contains(secret string) bool {
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
