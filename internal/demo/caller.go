package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/store"
)

// Headers of the callers' interface.
const (
	headerRequestID  = "X-Request-Id"
	headerIdempotent = "Idempotency-Key"
	headerOutcome    = "Baobabdyke-Outcome"
	headerFamily     = "Baobabdyke-Prefix"
)

const (
	// callTimeout bounds one call of a caller.
	callTimeout = 10 * time.Second
	// maxDelays is how often a caller over its rate sends again.
	maxDelays = 8
)

// A caller is one client of the public interface. It keeps the answer to the
// question which VM to use for as long as the answer says.
type caller struct {
	client *http.Client
	seeds  []string
	key    string
	route  string

	mu     sync.Mutex
	kept   []string
	until  time.Time
	family string
}

func newCaller(seeds []string, key, route string) *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{}}, seeds: seeds, key: key, route: route}
}

// An answer is what a caller got for one request. Status is zero if no answer
// began.
type answer struct {
	vm         string
	status     int
	outcome    string
	requestID  string
	retryAfter string
	code       string
	body       string
	text       string
	ordered    bool
	complete   bool
	first      time.Duration
	// delayed is how often the request was over the rate and sent again.
	delayed int
	err     error
}

// String returns the answer on one line.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: status %d, outcome %q, %v", a.vm, a.status, a.outcome, a.err)
	}
	return fmt.Sprintf("%s: status %d, outcome %q, error %q", a.vm, a.status, a.outcome, a.code)
}

// entry asks one VM which VMs to use.
func (c *caller) entry(ctx context.Context, vm string) (entry.Response, error) {
	c.mu.Lock()
	url := fmt.Sprintf("http://%s/entry?route=%s&prefix=%s", vm, c.route, c.family)
	c.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return entry.Response{}, err
	}
	c.authorize(r)
	resp, err := c.client.Do(r)
	if err != nil {
		return entry.Response{}, err
	}
	defer resp.Body.Close()
	var a entry.Response
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return a, fmt.Errorf("%s answers %d: %s", vm, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

func (c *caller) authorize(r *http.Request) {
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
}

// vms returns the VMs to use, best first. It asks again when the kept answer
// has run out.
func (c *caller) vms(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	kept, until := c.kept, c.until
	c.mu.Unlock()
	if time.Now().Before(until) {
		return kept, nil
	}
	var errs []error
	for _, seed := range c.seeds {
		a, err := c.entry(ctx, seed)
		if err != nil || len(a.VMs) == 0 {
			errs = append(errs, err)
			continue
		}
		list := make([]string, len(a.VMs))
		for i, vm := range a.VMs {
			list[i] = vm.Address
		}
		c.mu.Lock()
		c.kept, c.until = list, time.Now().Add(time.Duration(a.TTL)*time.Second)
		c.mu.Unlock()
		return list, nil
	}
	return nil, errors.Join(errs...)
}

// forget drops the kept answer.
func (c *caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// chat sends a streaming chat completion to the VMs to use.
func (c *caller) chat(ctx context.Context, system, question string, tokens int) answer {
	return patiently(ctx, func() answer { return c.chatOnce(ctx, system, question, tokens) })
}

// patiently sends a request and, over the rate, waits as long as it is told and
// sends it again.
func patiently(ctx context.Context, send func() answer) answer {
	for delayed := 0; ; delayed++ {
		a := send()
		a.delayed = delayed
		seconds, err := strconv.Atoi(a.retryAfter)
		if a.status != http.StatusTooManyRequests || err != nil || delayed == maxDelays {
			return a
		}
		store.Sleep(ctx, time.Duration(seconds)*time.Second)
	}
}

// chatOnce sends a streaming chat completion to the best VM, and to the next
// one when there is no answer or the request did not run. Its route is
// idempotent.
func (c *caller) chatOnce(ctx context.Context, system, question string, tokens int) answer {
	var a answer
	list, err := c.vms(ctx)
	if err != nil {
		return answer{err: err}
	}
	var tried []error
	for _, vm := range list {
		a = c.chatAt(ctx, vm, system, question, tokens)
		if a.status != 0 && a.status != http.StatusServiceUnavailable {
			return a
		}
		tried = append(tried, fmt.Errorf("%s", a))
		c.forget()
	}
	a.err = errors.Join(tried...)
	return a
}

// chatAt sends a streaming chat completion to one VM.
func (c *caller) chatAt(ctx context.Context, vm, system, question string, tokens int) answer {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(struct {
		Model    string    `json:"model"`
		Stream   bool      `json:"stream"`
		Max      int       `json:"max_tokens"`
		Messages []message `json:"messages"`
	}{
		Model: c.route, Stream: true, Max: tokens,
		Messages: []message{{Role: "system", Content: system}, {Role: "user", Content: question}},
	})
	if err != nil {
		return answer{err: err}
	}
	return c.send(ctx, vm, "/v1/chat/completions", body, "")
}

// hold asks the seat service for a seat through one VM.
func (c *caller) hold(ctx context.Context, vm, seat, idempotencyKey string) answer {
	body := fmt.Appendf(nil, "{\"seat\":%q}", seat)
	return c.send(ctx, vm, "/s/"+c.route+"/holds", body, idempotencyKey)
}

func (c *caller) send(ctx context.Context, vm, path string, body []byte, idempotencyKey string) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a := answer{vm: vm}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	c.authorize(r)
	r.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		r.Header.Set(headerIdempotent, idempotencyKey)
	}
	start := time.Now()
	resp, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.outcome = resp.Header.Get(headerOutcome)
	a.requestID = resp.Header.Get(headerRequestID)
	a.retryAfter = resp.Header.Get("Retry-After")
	c.keepFamily(resp.Header.Get(headerFamily))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, start)
		return a
	}
	a.readBody(resp.Body)
	return a
}

func (c *caller) keepFamily(family string) {
	if family == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.family = family
}

// readBody reads an answer that is not a stream.
func (a *answer) readBody(body io.Reader) {
	data, err := io.ReadAll(body)
	a.body, a.err = string(data), err
	var failure struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &failure) == nil {
		a.code = failure.Error.Code
	}
}

// readStream reads a stream of events and notes whether their offsets grow by
// one and whether the end came.
func (a *answer) readStream(body io.Reader, start time.Time) {
	a.ordered = true
	var text strings.Builder
	next := 1
	event := ""
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			a.ordered = a.ordered && line == fmt.Sprintf("id: %d", next)
			next++
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case line == "data: [DONE]":
			a.complete = true
		case strings.HasPrefix(line, "data: ") && event != "":
			a.code = event
		case strings.HasPrefix(line, "data: "):
			if a.first == 0 {
				a.first = time.Since(start)
			}
			text.WriteString(contentOf(strings.TrimPrefix(line, "data: ")))
		}
	}
	a.text, a.err = text.String(), lines.Err()
}

// contentOf returns the text in one event of a streamed chat completion.
func contentOf(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}
