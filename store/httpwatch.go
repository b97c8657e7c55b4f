package store

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// maxWatchLineBytes is the size of the longest line of a watch: a value in base64
// with its key.
const maxWatchLineBytes = 2 * MaxValueBytes

// Watch implements Store. The watch is closed when the object store sends
// neither a change nor a keep-alive for the watch timeout, since the connection
// may be dead.
func (s *HTTPStore) Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(s.watchTimeout, cancel)
	query := url.Values{ParamPrefix: {prefix}, ParamAfter: {strconv.FormatInt(after, 10)}}
	req, err := s.client.request(ctx, http.MethodGet, PathWatch, query, nil)
	if err != nil {
		cancel()
		return nil, unavailable(err)
	}
	resp, err := s.client.client.Do(req)
	if err != nil {
		cancel()
		return nil, unavailable(err)
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		_ = resp.Body.Close()
		return nil, unavailable(eris.Errorf("platform answered status %d", resp.StatusCode))
	}
	r := watchReader{body: resp.Body, watchdog: watchdog, timeout: s.watchTimeout, events: make(chan Event)}
	go func() {
		defer cancel()
		defer func() { _ = r.body.Close() }()
		defer close(r.events)
		r.run(ctx)
	}()
	return r.events, nil
}

// A watchReader sends the lines of one watch as events.
type watchReader struct {
	body     io.ReadCloser
	watchdog *time.Timer
	timeout  time.Duration
	events   chan Event
}

func (r watchReader) run(ctx context.Context) {
	lines := bufio.NewScanner(r.body)
	lines.Buffer(make([]byte, 0, 4<<10), maxWatchLineBytes)
	for lines.Scan() {
		// The time that the receiver takes does not count as time without data.
		r.watchdog.Stop()
		var w WireObject
		if err := json.Unmarshal(lines.Bytes(), &w); err != nil {
			return
		}
		if w.Key != "" && !r.sendEvent(ctx, w) {
			return
		}
		r.watchdog.Reset(r.timeout)
	}
}

func (r watchReader) sendEvent(ctx context.Context, w WireObject) bool {
	e := Event{Object: Object{Key: w.Key, Version: w.Version, Value: w.Value}, Deleted: w.Deleted}
	select {
	case r.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
