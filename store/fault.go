package store

import (
	"context"
	"errors"
	"time"
)

// A Kind is what a call of a Store or Directory does.
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

// errFault is the error of every call that a Memory's fault switch spoils.
var errFault = errors.New("injected fault")

// A Call is one call of a Memory. From is the id of the calling VM, empty for
// calls of the Memory itself; Key is the key or the prefix.
type Call struct {
	From string
	Kind Kind
	Key  string
}

// A Fault is what goes wrong with one call. The zero Fault is a call that goes
// well.
type Fault struct {
	// Delay passes before the call is carried out.
	Delay time.Duration
	// Refuse fails the call before it takes effect: a write is NotSent.
	Refuse bool
	// LoseAnswer carries the call out and loses its answer: a write is Unknown.
	LoseResponse bool
	// LoseRequest does not carry the call out, and the caller can not tell: a
	// write is Unknown.
	LoseRequest bool
	// Late loses the answer of a write, which is carried out that much later.
	LateWrite time.Duration
	// Stale answers a read as of that many changes ago.
	Stale int64
}

// Counts are calls of one VM since the Memory was made.
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

// SetFault sets the function that decides on the fault of each call. It may be
// called from several goroutines at once; nil ends all faults.
func (m *Memory) SetFault(f func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetRate makes the Memory refuse calls above a number a second, all VMs taken
// together; zero lifts the limit.
func (m *Memory) SetRate(perSecond int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate = rateWindow{limit: perSecond}
}

// Silence makes the open watches of a VM, and those that it opens later, miss
// every event until it is called with silent false. Watches stay open.
func (m *Memory) MuteWatches(vm string, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent[vm] = silent
}

// BreakWatches closes all watches.
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

// Down returns a fault function under which every call of the VMs is refused;
// with no VMs, every call.
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

// A rateWindow counts calls in the running second.
type rateWindow struct {
	limit int
	start time.Time
	calls int
}

func (r *rateWindow) over(now time.Time) bool {
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

// wait passes the delay of a fault. It reports false when ctx ends first.
func (f Fault) wait(ctx context.Context) bool { return Sleep(ctx, f.Delay) }
