package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// maxEvents is the number of events that an engine keeps for its feed.
const maxEvents = 4096

// An eventLog holds the cache events of one incarnation. The channel updated is
// closed and replaced when an event is added.
type eventLog struct {
	incarnation  string
	lastSequence uint64
	entries      []eventEntry
	updated      chan struct{}
}

type eventEntry struct {
	recordedAt time.Time
	dropped    bool
	event      target.CacheEvent
}

func newEventLog(incarnation string) eventLog {
	return eventLog{incarnation: incarnation, updated: make(chan struct{})}
}

func (l *eventLog) add(kind, weights string, pieces []uint64, dropped bool) {
	l.lastSequence++
	l.entries = append(l.entries, eventEntry{recordedAt: time.Now(), dropped: dropped, event: target.CacheEvent{
		Sequence: l.lastSequence, Incarnation: l.incarnation, Weights: weights, Kind: kind, Pieces: pieces,
	}})
	if len(l.entries) > maxEvents {
		l.entries = l.entries[1:]
	}
	close(l.updated)
	l.updated = make(chan struct{})
}

// next returns the first event after a sequence number that is not to be
// dropped.
func (l *eventLog) next(after uint64) (eventEntry, bool) {
	for _, entry := range l.entries {
		if entry.event.Sequence > after && !entry.dropped {
			return entry, true
		}
	}
	return eventEntry{}, false
}

// serveEvents streams the events after the given sequence number, each delayed
// by EventDelay, and sends pings while there are none.
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
		updated := e.log.updated
		wait := time.Until(entry.recordedAt.Add(e.opts.EventDelay))
		e.mu.Unlock()
		if ok && wait <= 0 && s.stallCtx.Err() == nil {
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
		case <-s.crashCtx.Done():
			abort()
		case <-r.Context().Done():
			return
		case <-s.stallCtx.Done():
			s.holdOpen(r.Context())
		case <-ping.C:
			_, _ = w.Write([]byte("{}\n"))
			flush(w)
		case <-due:
		case <-updated:
		}
	}
}

func (e *Engine) serveSnapshot(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := target.CacheSnapshot{
		Sequence: e.log.lastSequence, Incarnation: e.incarnation(), Weights: e.weights, Pieces: e.cache.keys(),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// serveLoad returns a load report that is not older than MaxReportAge.
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

// takeReport returns a report of the current state and starts a new count of
// evictions. The caller holds mu.
func (e *Engine) takeReport(now time.Time) target.Report {
	evictionRate := 0.0
	if span := now.Sub(e.report.TakenAt).Seconds(); !e.report.TakenAt.IsZero() && span > 0 {
		evictionRate = float64(e.evicted) / span
	}
	e.evicted = 0
	return target.Report{
		Incarnation:   e.incarnation(),
		Weights:       e.weights,
		Models:        append([]target.Loaded(nil), e.loaded...),
		Role:          e.role,
		Queued:        e.slots.waitingCount(),
		Running:       e.running,
		PendingTokens: e.pendingTokens,
		PrefillRate:   e.opts.PrefillRate,
		EvictionRate:  evictionRate,
		CachePieces:   e.opts.CachePieces,
		Leaving:       e.faults.leaving,
		TakenAt:       now,
	}
}
