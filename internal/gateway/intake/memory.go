package intake

import (
	"container/list"
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// A Kind is what memory is used for.
type Kind int

// Kinds of use.
const (
	// Connections are open connections, Headers what was read of requests' headers,
	// Requests what a running request takes without its body, Bodies the bodies of
	// requests, and Answers those that callers have not read yet. A message of another VM
	// counts as a header until it is answered.
	Connections Kind = iota
	Headers
	Requests
	Bodies
	Answers
	kinds
)

var kindNames = [kinds]string{"connections", "headers", "requests", "bodies", "answers"}

// Sizes at which memory is counted.
const (
	// RequestCost is what a running request takes besides its header and body: stacks,
	// contexts, buffers, and a part of an answer of up to Free bytes, which arrives whatever
	// the budget is. With 16 KB, 1,800 requests with answers of 60 KB took 81 MB of 64 MB.
	RequestCost = 32 << 10
	// SmallBody is the size up to which a body is small: it may use the part of the memory
	// that is kept from large ones.
	SmallBody = 64 << 10
	// firstBodyBytes is the size at which the buffer of a body begins.
	firstBodyBytes = 2 << 10
)

const (
	// smallDivisor and urgentDivisor give the parts of the memory that only small bodies,
	// and only urgent requests, may use.
	smallDivisor, urgentDivisor = 8, 16
	// connsShare / connsDivisor is the most that connections and headers may take, so that
	// the rest of the budget is left for requests whatever connections are open.
	connsShare, connsDivisor = 5, 8
	// stalledAfter is how long a body must have made no progress to be given up for
	// another one. Packets that are sent again arrive within it.
	stalledAfter = 500 * time.Millisecond
	// unreadAfter is the same for the answer to a caller. It is longer since the answer has
	// cost a run.
	unreadAfter = 2 * time.Second
	// maxRoomWait is how long a body waits for room while none is stalled. Then the oldest
	// unfinished one is given up.
	maxRoomWait = 400 * time.Millisecond
	// roomPoll is how often a waiting body looks for stalled ones.
	roomPoll = 50 * time.Millisecond
)

// ErrEvicted reports that a body was given up to make room for others.
var ErrEvicted = errors.New("the body made no progress while others needed its memory")

// A Memory is the budget for all that others can make a VM keep. It is designed for some
// thousand connections, of which some hundred carry requests. It is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	limit int64
	total int64
	used  [kinds]int64
	// open holds the unfinished transfers, the oldest first.
	open *list.List
	// room is closed when memory is released, if somebody waits for it; else nil.
	room chan struct{}
	// refused counts by kind for what there was no room, and evicted what was given up.
	refused, evicted [kinds]int64
}

// NewMemory returns a Memory of the given number of bytes; 0 means no limit.
func NewMemory(limit int64) *Memory {
	m := &Memory{open: list.New()}
	m.SetLimit(limit)
	return m
}

// SetLimit changes the number of bytes; 0 means no limit. What is reserved remains so.
func (m *Memory) SetLimit(limit int64) {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Limit returns the number of bytes.
func (m *Memory) Limit() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

// Vars returns the counters for expvar.
func (m *Memory) Vars() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{
		"limit": m.limit, "used": m.total, "unfinished": int64(m.open.Len()),
	}
	for kind, name := range kindNames {
		out["used_"+name], out["refused_"+name], out["evicted_"+name] = m.used[kind], m.refused[kind], m.evicted[kind]
	}
	return out
}

// Reserve reserves memory at once, for anything but a large body, and reports whether there
// was room. A nil Memory has no limit.
func (m *Memory) Reserve(kind Kind, n int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	connsFull := m.used[Connections]+m.used[Headers] > m.limit/connsDivisor*connsShare-n
	if (kind == Connections || kind == Headers) && connsFull || !m.reserve(kind, n, m.limit-m.limit/urgentDivisor) {
		m.refused[kind]++
		return false
	}
	return true
}

// reserve reserves memory if no more than limit is used then. The caller holds mu.
func (m *Memory) reserve(kind Kind, n, limit int64) bool {
	if m.total > limit-n {
		return false
	}
	m.add(kind, n)
	return true
}

func (m *Memory) add(kind Kind, n int64) {
	m.total += n
	m.used[kind] += n
}

// Release returns reserved memory.
func (m *Memory) Release(kind Kind, n int64) {
	if m == nil || n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(kind, -n)
	if m.room != nil {
		close(m.room)
		m.room = nil
	}
}

// EvictStalled gives up the transfer that has made no progress for longest, if there is one,
// and reports whether there was.
func (m *Memory) EvictStalled() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	victim := m.stalled(nil, time.Now())
	m.giveUp(victim)
	m.mu.Unlock()
	return m.evict(victim)
}

// evict ends a transfer that was removed; nil is none.
func (m *Memory) evict(victim *Transfer) bool {
	if victim == nil {
		return false
	}
	victim.cut()
	return true
}

// giveUp takes out a transfer that is to be evicted; nil is none. The caller holds mu.
func (m *Memory) giveUp(victim *Transfer) {
	if victim != nil {
		m.remove(victim)
		victim.evicted.Store(true)
		m.evicted[victim.kind]++
	}
}

// remove removes a transfer from the unfinished ones. The caller holds mu.
func (m *Memory) remove(t *Transfer) {
	if t != nil && t.element != nil {
		m.open.Remove(t.element)
		t.element = nil
	}
}

// stalled returns the transfer other than the given one that has made no progress for
// longest, if for long enough. The caller holds mu.
func (m *Memory) stalled(but *Transfer, now time.Time) (victim *Transfer) {
	latest := int64(math.MaxInt64)
	for e := m.open.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Transfer)
		at := t.progress.Load()
		if t == but || t.waits || now.Sub(time.Unix(0, at)) < t.patience {
			continue
		}
		if at < latest {
			victim, latest = t, at
		}
	}
	return victim
}

// oldest returns the unfinished body that was begun first, among large ones only if large is
// set. The caller holds mu.
func (m *Memory) oldest(large bool) *Transfer {
	for e := m.open.Front(); e != nil; e = e.Next() {
		if t := e.Value.(*Transfer); t.kind == Bodies && (!large || t.held > SmallBody) {
			return t
		}
	}
	return nil
}

// A Transfer is the body of a request that arrives, or an answer that is written to its
// caller. It is used by one goroutine at a time, but for its being cut.
type Transfer struct {
	memory *Memory
	kind   Kind
	urgent bool
	// cut makes the Read or Write in progress, and all further ones, fail.
	cut      func()
	patience time.Duration
	// progress is when bytes were last moved, in ns of Unix time.
	progress atomic.Int64
	evicted  atomic.Bool

	// The memory's mu guards the fields below.

	// element is the transfer's element of the unfinished ones, nil once it is finished.
	element *list.Element
	held    int64
	// waits reports whether the transfer waits for memory, so that no progress is not its
	// fault.
	waits bool
}

// begin returns a transfer that is unfinished.
func (m *Memory) begin(kind Kind, urgent bool, patience time.Duration, cut func()) *Transfer {
	t := &Transfer{memory: m, kind: kind, urgent: urgent, patience: patience, cut: cut}
	t.moved()
	m.mu.Lock()
	defer m.mu.Unlock()
	t.element = m.open.PushBack(t)
	return t
}

// BeginBody returns the transfer of a body. Cut must make reading from it fail.
func (m *Memory) BeginBody(urgent bool, cut func()) *Transfer {
	return m.begin(Bodies, urgent, stalledAfter, cut)
}

// BeginAnswer returns the transfer of an answer of n bytes, which are counted even if there
// is no room: the answer has been earned, and requests are refused instead. Cut must make
// writing it fail.
func (m *Memory) BeginAnswer(n int64, cut func()) *Transfer {
	t := m.begin(Answers, false, unreadAfter, cut)
	m.mu.Lock()
	t.held = n
	m.add(Answers, n)
	full := m.total > m.limit
	m.mu.Unlock()
	if full {
		m.EvictStalled()
	}
	return t
}

// moved records progress.
func (t *Transfer) moved() { t.progress.Store(time.Now().UnixNano()) }

// Evicted reports whether the transfer was given up.
func (t *Transfer) Evicted() bool { return t.evicted.Load() }

// finish ends the transfer, and reports whether it was not evicted before. What it holds
// remains reserved.
func (t *Transfer) finish() bool {
	t.memory.mu.Lock()
	defer t.memory.mu.Unlock()
	t.memory.remove(t)
	return !t.evicted.Load()
}

// Release ends the transfer and returns what it holds.
func (t *Transfer) Release() {
	t.finish()
	t.memory.Release(t.kind, t.held)
	t.held = 0
}

// roomFor returns how much memory may be used when the transfer holds size bytes.
func (t *Transfer) roomFor(size int64) int64 {
	limit := t.memory.limit
	kept := int64(0)
	if size > SmallBody {
		kept += limit / smallDivisor
	}
	if !t.urgent {
		kept += limit / urgentDivisor
	}
	return limit - kept
}

// grow reserves memory for a buffer of the given size beside what the transfer holds. It
// waits for room, and makes it.
func (t *Transfer) grow(ctx context.Context, size int64) error {
	m := t.memory
	var poll *time.Ticker
	begun := time.Time{}
	for {
		m.mu.Lock()
		if t.evicted.Load() {
			m.mu.Unlock()
			return ErrEvicted
		}
		if m.reserve(t.kind, size, t.roomFor(size)) {
			t.held += size
			t.waits = false
			m.mu.Unlock()
			t.moved()
			return nil
		}
		now := time.Now()
		if begun.IsZero() {
			begun = now
		}
		victim := m.stalled(t, now)
		late := now.Sub(begun) >= maxRoomWait
		if victim == nil && late {
			victim = m.oldest(size > SmallBody)
			begun = now
		}
		if victim == nil && late || victim == t {
			m.refused[t.kind]++
			m.mu.Unlock()
			return ErrNoRoom
		}
		m.giveUp(victim)
		t.waits = true
		if m.room == nil {
			m.room = make(chan struct{})
		}
		room := m.room
		m.mu.Unlock()
		m.evict(victim)
		if poll == nil {
			poll = time.NewTicker(roomPoll)
			defer poll.Stop()
		}
		select {
		case <-room:
		case <-poll.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// shrink returns a part of what the transfer holds.
func (t *Transfer) shrink(n int64) {
	t.memory.mu.Lock()
	t.held -= n
	t.memory.mu.Unlock()
	t.memory.Release(t.kind, n)
}

// Read reads a whole body, of the given length unless that is negative, and of at most limit
// bytes. The buffer grows with what has arrived, whatever length was announced. Its memory
// is reserved until Release.
func (t *Transfer) Read(ctx context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	most := limit + 1
	if length >= 0 {
		most = min(most, max(length, 1))
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstBodyBytes), most)
			if err := t.grow(ctx, size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			t.shrink(int64(cap(data)))
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 {
			t.moved()
		}
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF), err == nil && int64(len(data)) == length:
			if !t.finish() {
				return nil, ErrEvicted
			}
			return data, nil
		case err != nil && t.evicted.Load():
			return nil, ErrEvicted
		case err != nil:
			return nil, err
		}
	}
}

// answerPiece is the size of the pieces in which an answer is written, after each of which
// its caller has made progress.
const answerPiece = 16 << 10

// Write writes an answer.
func (t *Transfer) Write(w io.Writer, data []byte) error {
	for len(data) > 0 {
		n, err := w.Write(data[:min(len(data), answerPiece)])
		if err != nil {
			return err
		}
		t.moved()
		data = data[n:]
	}
	return nil
}
