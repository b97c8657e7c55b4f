package store

import (
	"context"
	"errors"
	"time"
)

// A Kind is the operation of a call of a Store or Directory.
type Kind string

// Kinds of calls.
const (
	KindGet    Kind = "get"
	KindList   Kind = "list"
	KindPut    Kind = "put"
	KindDelete Kind = "delete"
	KindWatch  Kind = "watch"
	KindVMs    Kind = "vms"
)

// errFault is the error of calls that fail because of an injected fault.
var errFault = errors.New("injected fault")

// A Call is one call of a Memory. From is the id of the calling VM, which is
// empty for calls of the Memory itself; Key is the key or the prefix.
type Call struct {
	From string
	Kind Kind
	Key  string
}

// A Fault is an injected fault of one call. The zero Fault has no effect.
type Fault struct {
	// Delay is the time before the call is executed.
	Delay time.Duration
	// Refuse fails the call before it takes effect: a write is NotSent.
	Refuse bool
	// LoseResponse executes the call and loses its response: a write is Unknown.
	LoseResponse bool
	// LoseRequest loses the call before it is executed: a write is Unknown.
	LoseRequest bool
	// LateWrite, if positive, loses the response of a write and executes the
	// write after this time: the write is Unknown.
	LateWrite time.Duration
	// Stale makes a read return the state of this many changes ago.
	Stale int64
}

// Counts are the numbers of calls since the Memory was created.
type Counts struct {
	Reads  int
	Writes int
}

func (c *Counts) add(k Kind) {
	if k == KindPut || k == KindDelete {
		c.Writes++
		return
	}
	c.Reads++
}

// SetFault sets the function that returns the fault of each call, or removes it
// if f is nil. f must be safe for concurrent use.
func (m *Memory) SetFault(f func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetRate limits the calls of all VMs together to a number a second, beyond
// which they are refused. Zero removes the limit.
func (m *Memory) SetRate(perSecond int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate = rateWindow{limit: perSecond}
}

// MuteWatches sets whether the present and future watches of a VM miss all
// events. Muted watches stay open.
func (m *Memory) MuteWatches(vm string, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.muted[vm] = silent
}

// CloseWatches closes all watches.
func (m *Memory) CloseWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.watches {
		m.endWatch(w)
	}
}

// Counts returns the calls of one VM.
func (m *Memory) Counts(vm string) Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[vm]
}

// Total returns the calls of all VMs together.
func (m *Memory) Total() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total Counts
	for _, c := range m.counts {
		total.Reads += c.Reads
		total.Writes += c.Writes
	}
	return total
}

// Down returns a fault function that refuses every call of the given VMs, or
// every call if there are none.
func Down(vms ...string) func(Call) Fault {
	return func(c Call) Fault {
		if len(vms) == 0 {
			return Fault{Refuse: true}
		}
		for _, vm := range vms {
			if vm == c.From {
				return Fault{Refuse: true}
			}
		}
		return Fault{}
	}
}

// Slow returns a fault function that delays every call.
func Slow(d time.Duration) func(Call) Fault {
	return func(Call) Fault { return Fault{Delay: d} }
}

// A rateWindow counts calls in windows of one second.
type rateWindow struct {
	limit int
	start time.Time
	calls int
}

func (r *rateWindow) exceeded(now time.Time) bool {
	if r.limit == 0 {
		return false
	}
	if now.Sub(r.start) >= time.Second {
		r.start = now
		r.calls = 0
	}
	r.calls++
	return r.calls > r.limit
}

// wait waits for the delay of a fault. It reports false if ctx ends first.
func (f Fault) wait(ctx context.Context) bool { return Sleep(ctx, f.Delay) }
