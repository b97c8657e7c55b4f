package store

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultCallTimeout limits the time of one call.
	defaultCallTimeout = 5 * time.Second
	// defaultWatchTimeout is the time without data after which a watch is
	// closed.
	defaultWatchTimeout = 5 * time.Second
)

// HTTPOptions are the settings of an HTTPStore and an HTTPDirectory.
type HTTPOptions struct {
	// Base is the address of the platform, such as http://192.0.2.1:8080.
	Base string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Timeout limits the time of each call, and WatchTimeout the time that a
	// watch may receive nothing. Zero stands for five seconds.
	Timeout      time.Duration
	WatchTimeout time.Duration
	// Transport replaces the default transport, for TLS settings and tests.
	Transport http.RoundTripper
}

// An HTTPStore is a Store that uses the platform's HTTP API.
type HTTPStore struct {
	client       httpClient
	watchTimeout time.Duration
}

// NewHTTPStore returns a client of the object store at o.Base.
func NewHTTPStore(o HTTPOptions) (*HTTPStore, error) {
	c, err := newHTTPClient(o)
	if err != nil {
		return nil, err
	}
	return &HTTPStore{client: c, watchTimeout: orDefault(o.WatchTimeout, defaultWatchTimeout)}, nil
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Object, error) {
	r, err := s.client.call(ctx, http.MethodGet, PathObjects+"/"+key, nil, nil)
	if err != nil {
		return Object{}, unavailable(err)
	}
	switch r.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, unavailable(r.err())
	}
	version, err := r.version()
	if err != nil {
		return Object{}, unavailable(err)
	}
	return Object{Key: key, Version: version, Value: r.body}, nil
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]Object, error) {
	var wire []WireObject
	query := url.Values{ParamPrefix: {prefix}}
	if err := s.client.getJSON(ctx, PathObjects, query, &wire); err != nil {
		return nil, err
	}
	list := make([]Object, 0, len(wire))
	for _, w := range wire {
		list = append(list, Object{Key: w.Key, Version: w.Version, Value: w.Value})
	}
	return list, nil
}

// Put implements Store.
func (s *HTTPStore) Put(ctx context.Context, key string, value []byte, expect int64) WriteResult {
	if len(value) > MaxValueBytes {
		return NotSent{Err: eris.Errorf("value of %d bytes exceeds %d", len(value), MaxValueBytes)}
	}
	return s.write(ctx, http.MethodPut, key, value, expect)
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, expect int64) WriteResult {
	return s.write(ctx, http.MethodDelete, key, nil, expect)
}

// write sends one conditional update. Once the request has a connection, a part
// of it may have been sent, and only a complete response determines the outcome.
func (s *HTTPStore) write(ctx context.Context, method, key string, value []byte, expect int64) WriteResult {
	if err := ctx.Err(); err != nil {
		return NotSent{Err: err}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	query := url.Values{ParamExpect: {strconv.FormatInt(expect, 10)}}
	r, err := s.client.call(httptrace.WithClientTrace(ctx, trace), method, PathObjects+"/"+key, query, value)
	if err != nil {
		if connected.Load() {
			return Unknown{Err: err}
		}
		return NotSent{Err: err}
	}
	return writeOutcome(r)
}

// writeOutcome returns the outcome of a write. A response that may not come from
// the object store itself, such as that of a proxy, leaves it unknown.
func writeOutcome(r response) WriteResult {
	switch r.status {
	case http.StatusOK, http.StatusConflict:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusRequestEntityTooLarge:
		return NotSent{Err: r.err()}
	default:
		return Unknown{Err: r.err()}
	}
	version, err := r.version()
	switch {
	case err != nil:
		return Unknown{Err: err}
	case r.status == http.StatusConflict:
		return Conflict{Current: version}
	default:
		return Done{Version: version}
	}
}

// An HTTPDirectory is a Directory that uses the platform's HTTP API.
type HTTPDirectory struct{ client httpClient }

// NewHTTPDirectory returns a client of the list of VMs at o.Base.
func NewHTTPDirectory(o HTTPOptions) (*HTTPDirectory, error) {
	c, err := newHTTPClient(o)
	if err != nil {
		return nil, err
	}
	return &HTTPDirectory{client: c}, nil
}

// VMs implements Directory.
func (d *HTTPDirectory) VMs(ctx context.Context) ([]VMRecord, error) {
	var vms []VMRecord
	if err := d.client.getJSON(ctx, PathVMs, nil, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}
