package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// FeedIdleTimeout is the time without a line after which an event feed counts
	// as broken. Engines send a ping every second.
	FeedIdleTimeout = 3 * time.Second
	// MaxEventBytes bounds one line of an event feed.
	MaxEventBytes = 1 << 20
	// MaxEventPieces bounds the pieces of one event.
	MaxEventPieces = 1 << 16
	feedBuffer     = 64
)

// Events implements Client. The channel is closed when ctx is done, when the feed
// ends or breaks, or when nothing is received for FeedIdleTimeout.
func (c *HTTPClient) Events(ctx context.Context, address string, after uint64) (<-chan CacheEvent, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(FeedIdleTimeout, cancel)
	path := fmt.Sprintf("http://%s/events?after=%d", address, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		cancel()
		return nil, eris.Wrap(err, "create event feed request")
	}
	c.authorize(req.Header)
	resp, err := c.sendClient.Do(req) //nolint:bodyclose // readFeed closes it.
	if err != nil {
		cancel()
		return nil, eris.Wrap(err, "open event feed")
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		_ = resp.Body.Close()
		return nil, eris.Errorf("open event feed: %s", resp.Status)
	}
	events := make(chan CacheEvent, feedBuffer)
	go func() {
		defer cancel()
		defer close(events)
		readFeed(ctx, resp.Body, watchdog, events)
	}()
	return events, nil
}

// readFeed sends events to the channel until the feed ends or a line is not a
// valid event.
func readFeed(ctx context.Context, body io.ReadCloser, watchdog *time.Timer, events chan<- CacheEvent) {
	defer body.Close()
	defer watchdog.Stop()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, MaxEventBytes)
	for lines.Scan() {
		watchdog.Reset(FeedIdleTimeout)
		ev, ping, err := ParseEvent(lines.Bytes())
		if err != nil {
			return
		}
		if ping {
			continue
		}
		select {
		case events <- ev:
		case <-ctx.Done():
			return
		}
		watchdog.Reset(FeedIdleTimeout)
	}
}

// ParseEvent decodes one line of an event feed. An empty line or an empty object
// is a ping.
func ParseEvent(line []byte) (ev CacheEvent, ping bool, err error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return ev, true, nil
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		return CacheEvent{}, false, eris.Wrap(err, "decode cache event")
	}
	if ev.Kind == "" && ev.Sequence == 0 {
		return CacheEvent{}, true, nil
	}
	if err := ev.validate(); err != nil {
		return CacheEvent{}, false, err
	}
	return ev, false, nil
}

// validate returns an error if the event violates the protocol.
func (ev CacheEvent) validate() error {
	switch ev.Kind {
	case EventStored, EventEvicted, EventCleared:
	default:
		return eris.Errorf("cache event of unknown kind %q", ev.Kind)
	}
	switch {
	case ev.Sequence == 0:
		return eris.New("cache event without a sequence number")
	case ev.Incarnation == "":
		return eris.New("cache event without an incarnation")
	case len(ev.Pieces) > MaxEventPieces:
		return eris.Errorf("cache event with too many pieces: %d", len(ev.Pieces))
	}
	return nil
}
