package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/answer"
)

const (
	// maxResponseBytes is the size of the largest response to a call.
	maxResponseBytes = 256 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 32 << 10
	// maxIdleConnections is the maximum number of idle connections to the
	// platform.
	maxIdleConnections = 8
)

// An httpClient sends requests to the platform.
type httpClient struct {
	base    *url.URL
	token   string
	timeout time.Duration
	client  *http.Client
}

func newHTTPClient(o HTTPOptions) (httpClient, error) {
	base, err := url.Parse(o.Base)
	if err != nil {
		return httpClient{}, eris.Wrap(err, "address of the platform")
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return httpClient{}, eris.Errorf("address of the platform %q: want http://IP:PORT or https://IP:PORT", o.Base)
	}
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{
			DialContext:            answer.Dial(new(net.Dialer).DialContext),
			ForceAttemptHTTP2:      true, // A DialContext disables it otherwise.
			MaxIdleConnsPerHost:    maxIdleConnections,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}
	}
	client := &http.Client{
		Transport:     answer.Transport{Base: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpClient{base: base, token: o.Token, timeout: orDefault(o.Timeout, defaultCallTimeout), client: client}, nil
}

// A response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r response) err() error { return eris.Errorf("platform answered status %d", r.status) }

func (r response) version() (int64, error) {
	text := r.header.Get(HeaderVersion)
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, eris.Errorf("platform answered %s %q", HeaderVersion, text)
	}
	return version, nil
}

// call sends one request and reads the complete response. A truncated response
// is an error.
func (c httpClient) call(ctx context.Context, method, path string, query url.Values, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return response{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, err
	}
	if len(data) > maxResponseBytes {
		return response{}, eris.Errorf("answer exceeds %d bytes", maxResponseBytes)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, nil
}

func (c httpClient) request(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Request, error) {
	u := *c.base
	u.Path = path
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// getJSON decodes the response to a GET request into v.
func (c httpClient) getJSON(ctx context.Context, path string, query url.Values, v any) error {
	r, err := c.call(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return unavailable(err)
	}
	if r.status != http.StatusOK {
		return unavailable(r.err())
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return unavailable(err)
	}
	return nil
}

func unavailable(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
