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

// Headers of requests from callers and of responses to them.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Baobabdyke-Outcome"
	headerPrefix         = "Baobabdyke-Prefix"
)

const (
	// callTimeout bounds one HTTP request of a caller.
	callTimeout = 10 * time.Second
	// maxRateRetries bounds the retries of a request that exceeds the rate limit.
	maxRateRetries = 8
)

// A caller is a client of the callers' interface. It caches the list of VMs to use
// until the TTL of the list ends.
type caller struct {
	client *http.Client
	seeds  []string
	key    string
	route  string

	mu         sync.Mutex
	cachedVMs  []string
	validUntil time.Time
	prefix     string
}

func newCaller(seeds []string, key, route string) *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{}}, seeds: seeds, key: key, route: route}
}

// A response is what a caller received for one request. Status is zero if no
// response started.
type response struct {
	vm         string
	status     int
	outcome    string
	requestID  string
	retryAfter string
	errorCode  string
	body       string
	text       string
	ordered    bool
	complete   bool
	firstToken time.Duration
	// rateRetries is the number of retries after status 429.
	rateRetries int
	err         error
}

// String returns a one-line summary of the response.
func (r response) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: status %d, outcome %q, %v", r.vm, r.status, r.outcome, r.err)
	}
	return fmt.Sprintf("%s: status %d, outcome %q, error %q", r.vm, r.status, r.outcome, r.errorCode)
}

// entry asks one VM for the list of VMs to use.
func (c *caller) entry(ctx context.Context, vm string) (entry.Response, error) {
	c.mu.Lock()
	url := fmt.Sprintf("http://%s/entry?route=%s&prefix=%s", vm, c.route, c.prefix)
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
	var list entry.Response
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return list, fmt.Errorf("%s returned status %d: %s", vm, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}

func (c *caller) authorize(r *http.Request) {
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
}

// vms returns the VMs to use, best first. It fetches the list again when the cached
// one has expired.
func (c *caller) vms(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	vms, validUntil := c.cachedVMs, c.validUntil
	c.mu.Unlock()
	if time.Now().Before(validUntil) {
		return vms, nil
	}
	var errs []error
	for _, seed := range c.seeds {
		e, err := c.entry(ctx, seed)
		if err != nil || len(e.VMs) == 0 {
			errs = append(errs, err)
			continue
		}
		addresses := make([]string, len(e.VMs))
		for i, vm := range e.VMs {
			addresses[i] = vm.Address
		}
		c.mu.Lock()
		c.cachedVMs, c.validUntil = addresses, time.Now().Add(time.Duration(e.TTL)*time.Second)
		c.mu.Unlock()
		return addresses, nil
	}
	return nil, errors.Join(errs...)
}

// invalidate drops the cached list of VMs.
func (c *caller) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validUntil = time.Time{}
}

// chat sends a streaming chat completion to one of the VMs to use. It retries while
// the rate limit is exceeded.
func (c *caller) chat(ctx context.Context, system, question string, tokens int) response {
	return retryRateLimited(ctx, func() response { return c.chatOnce(ctx, system, question, tokens) })
}

// retryRateLimited sends a request. After a response with status 429, it waits as
// long as Retry-After says and sends the request again.
func retryRateLimited(ctx context.Context, send func() response) response {
	for retries := 0; ; retries++ {
		r := send()
		r.rateRetries = retries
		seconds, err := strconv.Atoi(r.retryAfter)
		if r.status != http.StatusTooManyRequests || err != nil || retries == maxRateRetries {
			return r
		}
		store.Sleep(ctx, time.Duration(seconds)*time.Second)
	}
}

// chatOnce sends a streaming chat completion to the best VM. It tries the next VM if
// there is no response or the request was not run, which is safe since the route is
// idempotent.
func (c *caller) chatOnce(ctx context.Context, system, question string, tokens int) response {
	var r response
	vms, err := c.vms(ctx)
	if err != nil {
		return response{err: err}
	}
	var tried []error
	for _, vm := range vms {
		r = c.chatAt(ctx, vm, system, question, tokens)
		if r.status != 0 && r.status != http.StatusServiceUnavailable {
			return r
		}
		tried = append(tried, fmt.Errorf("%s", r))
		c.invalidate()
	}
	r.err = errors.Join(tried...)
	return r
}

// chatAt sends a streaming chat completion to one VM.
func (c *caller) chatAt(ctx context.Context, vm, system, question string, tokens int) response {
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
		return response{err: err}
	}
	return c.send(ctx, vm, "/v1/chat/completions", body, "")
}

// hold requests a seat hold from the seat service through one VM.
func (c *caller) hold(ctx context.Context, vm, seat, idempotencyKey string) response {
	body := fmt.Appendf(nil, "{\"seat\":%q}", seat)
	return c.send(ctx, vm, "/s/"+c.route+"/holds", body, idempotencyKey)
}

func (c *caller) send(ctx context.Context, vm, path string, body []byte, idempotencyKey string) response {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := response{vm: vm}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+path, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	c.authorize(r)
	r.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		r.Header.Set(headerIdempotencyKey, idempotencyKey)
	}
	start := time.Now()
	resp, err := c.client.Do(r)
	if err != nil {
		result.err = err
		return result
	}
	defer resp.Body.Close()
	result.status = resp.StatusCode
	result.outcome = resp.Header.Get(headerOutcome)
	result.requestID = resp.Header.Get(headerRequestID)
	result.retryAfter = resp.Header.Get("Retry-After")
	c.setPrefix(resp.Header.Get(headerPrefix))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		result.readStream(resp.Body, start)
		return result
	}
	result.readBody(resp.Body)
	return result
}

func (c *caller) setPrefix(prefix string) {
	if prefix == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefix = prefix
}

// readBody reads a response that is not a stream.
func (r *response) readBody(body io.Reader) {
	data, err := io.ReadAll(body)
	r.body, r.err = string(data), err
	var failure struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &failure) == nil {
		r.errorCode = failure.Error.Code
	}
}

// readStream reads a stream of events. It records whether the event ids increase by
// one and whether the stream is complete.
func (r *response) readStream(body io.Reader, start time.Time) {
	r.ordered = true
	var text strings.Builder
	next := 1
	event := ""
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			r.ordered = r.ordered && line == fmt.Sprintf("id: %d", next)
			next++
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case line == "data: [DONE]":
			r.complete = true
		case strings.HasPrefix(line, "data: ") && event != "":
			r.errorCode = event
		case strings.HasPrefix(line, "data: "):
			if r.firstToken == 0 {
				r.firstToken = time.Since(start)
			}
			text.WriteString(deltaText(strings.TrimPrefix(line, "data: ")))
		}
	}
	r.text, r.err = text.String(), lines.Err()
}

// deltaText returns the text in one event of a streamed chat completion.
func deltaText(data string) string {
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
