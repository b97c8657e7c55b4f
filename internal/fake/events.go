package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// eventLimit is the number of events that an engine keeps for its feed.
const eventLimit = 4096

// An eventLog is the feed of one incarnation.
type eventLog struct {
	incarnation string
	last        uint64
	entries     []eventEntry
	more        chan struct{}
}

type eventEntry struct {
	at    time.Time
	lost  bool
	event target.CacheEvent
}

func newEventLog(incarnation string) eventLog {
	return eventLog{incarnation: incarnation, more: make(chan struct{})}
}

func (l *eventLog) add(kind, weights string, pieces []uint64, lost bool) {
	l.last++
	l.entries = append(l.entries, eventEntry{at: time.Now(), lost: lost, event: target.CacheEvent{
		Sequence: l.last, Incarnation: l.incarnation, Weights: weights, Kind: kind, Pieces: pieces,
	}})
	if len(l.entries) > eventLimit {
		l.entries = l.entries[1:]
	}
	close(l.more)
	l.more = make(chan struct{})
}

// next returns the first event after a sequence number that was not lost.
func (l *eventLog) next(after uint64) (eventEntry, bool) {
	for _, entry := range l.entries {
		if entry.event.Sequence > after && !entry.lost {
			return entry, true
		}
	}
	return eventEntry{}, false
}

// serveEvents sends events after the given sequence number, each late by the
// configured delay, and pings while there are none.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	s := e.scope()
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush(w)
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	var due <-chan time.Time
	for {
		e.mu.Lock()
		entry, ok := e.log.next(after)
		more := e.log.more
		wait := time.Until(entry.at.Add(e.opts.EventDelay))
		e.mu.Unlock()
		if ok && wait <= 0 && s.feeds.Err() == nil {
			after = entry.event.Sequence
			_ = json.NewEncoder(w).Encode(entry.event)
			flush(w)
			continue
		}
		due = nil
		if ok {
			due = time.After(wait)
		}
		select {
		case <-s.life.Done():
			abort()
		case <-r.Context().Done():
			return
		case <-s.feeds.Done():
			s.holdOpen(r.Context())
		case <-ping.C:
			_, _ = w.Write([]byte("{}\n"))
			flush(w)
		case <-due:
		case <-more:
		}
	}
}

func (e *Engine) serveSnapshot(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := target.CacheSnapshot{
		Sequence: e.log.last, Incarnation: e.incarnation(), Weights: e.weights, Pieces: e.cache.keys(),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// serveLoad answers with a report that is at most the configured lag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if e.report.TakenAt.IsZero() || now.Sub(e.report.TakenAt) >= e.opts.MaxReportAge {
		e.report = e.takeReport(now)
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// takeReport returns the current state. The caller holds mu.
func (e *Engine) takeReport(now time.Time) target.Report {
	evictions := 0.0
	if span := now.Sub(e.report.TakenAt).Seconds(); !e.report.TakenAt.IsZero() && span > 0 {
		evictions = float64(e.evicted) / span
	}
	e.evicted = 0
	return target.Report{
		Incarnation:   e.incarnation(),
		Weights:       e.weights,
		Models:        append([]target.Loaded(nil), e.loaded...),
		Role:          e.role,
		Queued:        e.slots.waitingCount(),
		Running:       e.running,
		PendingTokens: e.pending,
		PrefillRate:   e.opts.PrefillRate,
		EvictionRate:  evictions,
		CachePieces:   e.opts.CachePieces,
		Leaving:       e.faults.leaving,
		TakenAt:       now,
	}
}
