package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// An answer is what became of one request of a client.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0 if there was none
	whole  bool
	err    string
}

// Clients send requests and keep what became of them.
type clients struct {
	http *http.Client
	next atomic.Int64

	mu      sync.Mutex
	answers []answer
}

func newClients() *clients {
	return &clients{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and records its answer.
func (c *clients) send(to, method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x51a0000000+c.next.Add(1)), sent: time.Now()}
	client := http.Client{Transport: c.http.Transport, Timeout: deadline + 500*time.Millisecond}
	req, err := http.NewRequest(method, "http://"+to+path, bytes.NewReader(body))
	check(err)
	// Each attempt is the client's own; the library must not repeat it.
	req.GetBody = nil
	req.Host = "app.example"
	req.Header.Set("Baobabdyke-Request-Id", a.id)
	req.Header.Set("Baobabdyke-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	req.Header.Set("Baobabdyke-Credential", "key-of-tenant-1")
	resp, err := client.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.whole = readErr == nil && strings.Contains(string(text), a.id)
		err = readErr
	}
	if err != nil {
		a.err = err.Error()
	}
	a.took = time.Since(a.sent)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// all returns the answers so far.
func (c *clients) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}
