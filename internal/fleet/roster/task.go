package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// CallExchange tells another VM entries and asks for those that it knows:
// Exchange, Exchange.
const CallExchange = "/roster/Exchange"

// Kind is the kind of objects in which VMs register.
const Kind = "vms"

const (
	// kickPause is the least time between two rounds that tell changes, in a small
	// fleet; mostKickPause bounds it in a large one, where word takes four rounds.
	kickPause     = 60 * time.Millisecond
	mostKickPause = 240 * time.Millisecond
	// fanout is the number of VMs that a round talks to.
	fanout = 2
	// urgentFanout is the same for a round that tells a change at once.
	urgentFanout = 4
	// exchangeTimeout bounds one exchange within a region.
	exchangeTimeout = 400 * time.Millisecond
	// retrySilent is the number of rounds between calls to silent VMs and seeds.
	retrySilent = 4
	// registerRetry is the pause between attempts to register.
	registerRetry = 500 * time.Millisecond
	// relist is the time between two readings of the registered VMs.
	relist = 12 * time.Second
	// mostRelist bounds how much longer that is in a large fleet.
	mostRelist = 4.0
)

// An Exchange is what one VM tells another.
type Exchange struct {
	Entries []Entry `cbor:"1,keyasint"`
	// Digest asks, in place of entries, for what the sender does not know; Want
	// answers it with what the receiver does not know.
	Digest []Stamp  `cbor:"2,keyasint,omitempty"`
	Want   []string `cbor:"3,keyasint,omitempty"`
}

// Options are the parameters of a Task.
type Options struct {
	Self Entry
	// Seeds are addresses of VMs to ask while no other is known.
	Seeds func() []string
	Peers peer.Caller
	Store store.Store
	Log   log.Logger
	// Describe fills in what this VM tells before each round.
	Describe func(e *Entry)
	// Heard is called with new entries of other VMs, and the VM that told them.
	OnUpdate func(from string, fresh []Entry)
}

// A Task keeps a Table by exchanges with other VMs.
type Task struct {
	opts Options
	kick chan struct{}

	// mu guards the table.
	mu    sync.Mutex
	table *Table
	alive map[string]bool
}

// NewTask returns a Task that knows only this VM.
func NewTask(o Options) *Task {
	return &Task{opts: o, kick: make(chan struct{}, 1), table: NewTable(o.Self), alive: map[string]bool{}}
}

// Register names the call that this VM answers.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, CallExchange, func(_ context.Context, from string, in Exchange) (Exchange, error) {
		t.take(from, in.Entries)
		t.mu.Lock()
		defer t.mu.Unlock()
		if in.Digest != nil {
			entries, want := t.table.Beyond(in.Digest, time.Now())
			return Exchange{Entries: entries, Want: want}, nil
		}
		if t.table.Large() {
			return Exchange{}, nil
		}
		out := t.table.For(from, time.Now())
		t.table.Delivered(from, out)
		return Exchange{Entries: out}, nil
	})
}

// Kick makes the task tell a change at once.
func (t *Task) Trigger() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// Members returns the other VMs that are remembered.
func (t *Task) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Members()
}

// Run exchanges entries until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.register(ctx) })
	defer wg.Wait()
	timer := time.NewTimer(period)
	defer timer.Stop()
	last := time.Now()
	for round := 0; ; round++ {
		n := fanout
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-t.kick:
			n = urgentFanout
			store.Sleep(ctx, t.kickPause()-time.Since(last))
		}
		last = time.Now()
		t.round(ctx, round, n)
		timer.Reset(t.pause())
	}
}

// pause is the time until the next telling.
func (t *Task) pause() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Period()
}

// kickPause is the least time between two rounds.
func (t *Task) kickPause() time.Duration {
	return min(time.Duration(float64(kickPause)*slowness(t.Count())), mostKickPause)
}

// Count returns the number of VMs that are remembered, this one included.
func (t *Task) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.table.members) + 1
}

// round tells and asks a few VMs.
func (t *Task) round(ctx context.Context, round, n int) {
	t.mu.Lock()
	t.table.Tell(t.opts.Describe)
	to := t.choose(round, n)
	t.mu.Unlock()
	for _, d := range to {
		go t.exchange(ctx, d)
	}
	t.noteAlive()
}

// choose picks the VMs to talk to. The caller holds mu.
func (t *Task) choose(round, n int) []peer.Destination {
	now := time.Now()
	var alive, silent []peer.Destination
	for _, m := range t.table.members {
		d := peer.Destination{VM: m.Entry.VM, Address: m.Entry.Peers}
		if m.Alive(now) {
			alive = append(alive, d)
		} else {
			silent = append(silent, d)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	out := alive[:min(n, len(alive))]
	if round%retrySilent != 0 && len(alive) > 0 {
		return out
	}
	if len(silent) > 0 {
		out = append(out, silent[rand.IntN(len(silent))])
	}
	if len(alive) == 0 {
		for _, seed := range t.opts.Seeds() {
			if seed != t.opts.Self.Peers {
				out = append(out, peer.Destination{VM: peer.AnyVM, Address: seed})
			}
		}
	}
	return out
}

func (t *Task) exchange(ctx context.Context, to peer.Destination) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	t.mu.Lock()
	large := t.table.Large()
	out := []Entry{}
	if !large {
		out = t.table.For(to.VM, time.Now())
	}
	t.mu.Unlock()
	if large {
		t.compare(ctx, to)
		return
	}
	var in Exchange
	if err := t.opts.Peers.Call(ctx, to, CallExchange, Exchange{Entries: out}, &in); err != nil {
		return
	}
	if to.VM != peer.AnyVM {
		t.mu.Lock()
		t.table.Delivered(to.VM, out)
		t.mu.Unlock()
	}
	t.take(to.VM, in.Entries)
}

// compare exchanges with a VM by way of a digest.
func (t *Task) compare(ctx context.Context, to peer.Destination) {
	t.mu.Lock()
	digest := t.table.Digest(time.Now())
	t.mu.Unlock()
	var in Exchange
	if err := t.opts.Peers.Call(ctx, to, CallExchange, Exchange{Digest: digest}, &in); err != nil {
		return
	}
	t.take(to.VM, in.Entries)
	if len(in.Want) == 0 {
		return
	}
	t.mu.Lock()
	out := t.table.Of(in.Want)
	t.mu.Unlock()
	// What is lost here is told in a later round.
	_ = t.opts.Peers.Call(ctx, to, CallExchange, Exchange{Entries: out}, &in)
}

// take merges entries and passes on the new ones.
func (t *Task) take(from string, entries []Entry) {
	t.mu.Lock()
	fresh := t.table.Merge(from, entries, time.Now())
	t.mu.Unlock()
	if len(fresh) > 0 && t.opts.OnUpdate != nil {
		t.opts.OnUpdate(from, fresh)
	}
}

// noteAlive logs which VMs came and went.
func (t *Task) noteAlive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, vm := range t.table.Forget(now) {
		delete(t.alive, vm)
	}
	for vm, m := range t.table.members {
		alive := m.Alive(now)
		if alive == t.alive[vm] {
			continue
		}
		t.alive[vm] = alive
		_ = t.opts.Log.Log("msg", "vm", "peer", vm, "alive", alive, "heard", now.Sub(m.Heard))
	}
}

// registration is the value of this VM's object.
type registration struct {
	VM         string `json:"vm"`
	Born       int64  `json:"born"`
	Region     string `json:"region"`
	DataCentre string `json:"datacentre"`
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
}

// register writes this VM's object and reads those of the others, then again
// from time to time.
func (t *Task) register(ctx context.Context) {
	registered := false
	for {
		listed := t.list(ctx)
		if listed && !registered {
			registered = t.write(ctx)
		}
		pause := registerRetry/2 + rand.N(registerRetry)
		if registered && listed {
			pause = t.relistPause()
		}
		if !store.Sleep(ctx, pause) {
			return
		}
	}
}

// relistPause is the time until the registered VMs are read again; a fleet reads
// them about as often whatever its size.
func (t *Task) relistPause() time.Duration {
	scaled := time.Duration(float64(relist) * min(slowness(t.Count()), mostRelist))
	return scaled/2 + rand.N(scaled)
}

// list reads the registered VMs.
func (t *Task) list(ctx context.Context) bool {
	objects, err := t.opts.Store.List(ctx, Kind+"/")
	if err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil || r.VM == "" || r.Peers == "" {
			_ = t.opts.Log.Log("msg", "registration ignored", "object", o.Key, "err", err)
			continue
		}
		t.table.Learn(Entry{
			VM: r.VM, Born: r.Born, Region: r.Region, DataCentre: r.DataCentre, Callers: r.Callers, Peers: r.Peers,
		}, time.Now())
	}
	return true
}

// write puts this VM's object in place of that of an earlier start.
func (t *Task) write(ctx context.Context) bool {
	key := Kind + "/" + t.opts.Self.VM
	value, err := json.Marshal(registration{
		VM: t.opts.Self.VM, Born: t.opts.Self.Born, Region: t.opts.Self.Region,
		DataCentre: t.opts.Self.DataCentre, Callers: t.opts.Self.Callers, Peers: t.opts.Self.Peers,
	})
	if err != nil {
		_ = t.opts.Log.Log("msg", "registration failed", "err", err)
		return false
	}
	now, err := t.opts.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, done := t.opts.Store.Put(ctx, key, value, now.Version).(store.Done)
	return done
}
