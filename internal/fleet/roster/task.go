package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// CallExchange is the call that sends entries to another VM and returns the
// entries that it has. Request and response are of type Exchange.
const CallExchange = "/roster/Exchange"

// Kind is the kind of the objects in the object store in which VMs register.
const Kind = "vms"

const (
	// baseRoundInterval is the shortest time between two rounds that send a change
	// at once, in a small fleet. It grows with the fleet up to maxRoundInterval: in
	// a large fleet a change takes four rounds to reach all VMs.
	baseRoundInterval = 60 * time.Millisecond
	maxRoundInterval  = 240 * time.Millisecond
	// fanout is the number of VMs that are contacted in a round.
	fanout = 2
	// urgentFanout is the same for a round that sends a change at once.
	urgentFanout = 4
	// exchangeTimeout bounds one exchange within a region.
	exchangeTimeout = 400 * time.Millisecond
	// silentRetryRounds is the number of rounds between calls to silent VMs and
	// seeds.
	silentRetryRounds = 4
	// registerRetryDelay is the mean delay between attempts to register.
	registerRetryDelay = 500 * time.Millisecond
	// listInterval is the mean time between two reads of the registered VMs.
	listInterval = 12 * time.Second
	// maxListFactor bounds the factor by which listInterval grows in a large fleet.
	maxListFactor = 4.0
)

// An Exchange is the request and the response of CallExchange.
type Exchange struct {
	Entries []Entry `cbor:"1,keyasint"`
	// Digest is sent in place of entries, and requests those that are newer at the
	// receiver. Want is returned with them and lists the VMs whose entries are newer
	// at the sender.
	Digest []EntryVersion `cbor:"2,keyasint,omitempty"`
	Want   []string       `cbor:"3,keyasint,omitempty"`
	// Pull requests the entries that the receiver has not sent to the sender yet.
	Pull bool `cbor:"4,keyasint,omitempty"`
}

// Options are the parameters of a Task.
type Options struct {
	Self Entry
	// Seeds returns the addresses of VMs to contact while no other VM is alive.
	Seeds func() []string
	Peers peer.Caller
	Store store.Store
	Log   log.Logger
	// Describe updates this VM's entry before each round.
	Describe func(e *Entry)
	// OnUpdate is called with new entries of other VMs and the VM that sent them.
	OnUpdate func(from string, fresh []Entry)
}

// A Task keeps a Table up to date by exchanges with other VMs.
type Task struct {
	opts    Options
	trigger chan struct{}

	// mu guards the table.
	mu    sync.Mutex
	table *Table
	alive map[string]bool
	// failedUntil is until when a relay that did not respond is not used.
	failedUntil map[string]time.Time
	// ignored holds, by key, the versions of registrations that could not be decoded.
	ignored map[string]int64
}

// NewTask returns a Task whose table contains only this VM.
func NewTask(o Options) *Task {
	return &Task{opts: o, trigger: make(chan struct{}, 1), table: NewTable(o.Self), alive: map[string]bool{}, failedUntil: map[string]time.Time{}, ignored: map[string]int64{}}
}

// Register registers the handler of CallExchange.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, CallExchange, func(_ context.Context, from string, in Exchange) (Exchange, error) {
		t.merge(from, in.Entries)
		t.mu.Lock()
		defer t.mu.Unlock()
		if in.Digest != nil {
			entries, want := t.table.Diff(in.Digest, time.Now())
			return Exchange{Entries: entries, Want: want}, nil
		}
		if t.table.Large() && !in.Pull {
			return Exchange{}, nil
		}
		out := t.table.EntriesFor(from, time.Now())
		t.table.MarkDelivered(from, out)
		return Exchange{Entries: out}, nil
	})
}

// Trigger starts a round at once to send a change of this VM's entry.
func (t *Task) Trigger() {
	select {
	case t.trigger <- struct{}{}:
	default:
	}
}

// Members returns the other VMs in the table, sorted by id. The slice must not be changed.
func (t *Task) Members() []*Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Members()
}

// Run exchanges entries until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.register(ctx) })
	defer wg.Wait()
	timer := time.NewTimer(baseInterval)
	defer timer.Stop()
	last := time.Now()
	for round := 0; ; round++ {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-t.trigger:
			urgent = true
			store.Sleep(ctx, t.minRoundInterval()-time.Since(last))
		}
		last = time.Now()
		if urgent && t.isLarge() {
			// The next regular round, which the push doesn't replace, stays due.
			t.push(ctx)
			round--
			continue
		}
		if t.isLarge() {
			t.relayRound(ctx, round)
		} else {
			t.round(ctx, round, urgent)
		}
		t.logLiveness()
		timer.Reset(t.roundInterval())
	}
}

// isLarge reports whether the fleet is large.
func (t *Task) isLarge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Large()
}

// roundInterval returns the time until the next round.
func (t *Task) roundInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Large() {
		return max(t.table.Interval()/roundsPerUpdate, minRelayInterval)
	}
	return t.table.Interval()
}

// updateInterval returns the time between two updates of this VM's entry.
func (t *Task) updateInterval() time.Duration {
	if t.isLarge() {
		return roundsPerUpdate * t.roundInterval()
	}
	return t.roundInterval()
}

// UpdateDelay returns how long an update of this VM takes at most to reach the others, unless
// messages are lost: as long as VMs count as alive without one.
func (t *Task) UpdateDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.aliveTimeout()
}

// minRoundInterval returns the shortest time between two rounds.
func (t *Task) minRoundInterval() time.Duration {
	return min(time.Duration(float64(baseRoundInterval)*intervalFactor(t.Count())), maxRoundInterval)
}

// Count returns the number of VMs in the table, including this one.
func (t *Task) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.table.members) + 1
}

// round exchanges entries with a few VMs of a small fleet.
func (t *Task) round(ctx context.Context, round int, urgent bool) {
	n := fanout
	if urgent {
		n = urgentFanout
	}
	t.mu.Lock()
	t.table.UpdateSelf(t.opts.Describe)
	peers := t.choosePeers(round, n)
	t.mu.Unlock()
	for _, d := range peers {
		go t.exchange(ctx, d)
	}
}

// choosePeers selects the VMs to contact in a round. The caller holds mu.
func (t *Task) choosePeers(round, n int) []peer.Destination {
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
	if round%silentRetryRounds != 0 && len(alive) > 0 {
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
	out := t.table.EntriesFor(to.VM, time.Now())
	t.mu.Unlock()
	var in Exchange
	if err := t.opts.Peers.Call(ctx, to, CallExchange, Exchange{Entries: out}, &in); err != nil {
		return
	}
	if to.VM != peer.AnyVM {
		t.mu.Lock()
		t.table.MarkDelivered(to.VM, out)
		t.mu.Unlock()
	}
	t.merge(to.VM, in.Entries)
}

// exchangeDigest exchanges entries with a VM after comparing digests.
func (t *Task) exchangeDigest(ctx context.Context, to peer.Destination) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	t.mu.Lock()
	digest := t.table.Digest(time.Now())
	t.mu.Unlock()
	var in Exchange
	if err := t.opts.Peers.Call(ctx, to, CallExchange, Exchange{Digest: digest}, &in); err != nil {
		return
	}
	t.merge(to.VM, in.Entries)
	if len(in.Want) == 0 {
		return
	}
	t.mu.Lock()
	out := t.table.EntriesOf(in.Want, time.Now())
	t.mu.Unlock()
	// Entries that are lost here are sent again in a later round.
	_ = t.opts.Peers.Call(ctx, to, CallExchange, Exchange{Entries: out}, &Exchange{})
}

// merge merges entries into the table and calls OnUpdate with the new ones.
func (t *Task) merge(from string, entries []Entry) {
	t.mu.Lock()
	fresh := t.table.Merge(from, entries, time.Now())
	t.mu.Unlock()
	if len(fresh) > 0 && t.opts.OnUpdate != nil {
		t.opts.OnUpdate(from, fresh)
	}
}

// logLiveness removes VMs that are gone and logs changes of liveness.
func (t *Task) logLiveness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, vm := range t.table.RemoveGone(now) {
		delete(t.alive, vm)
		delete(t.failedUntil, vm)
	}
	for vm, m := range t.table.members {
		alive := m.Alive(now)
		if alive == t.alive[vm] {
			continue
		}
		t.alive[vm] = alive
		_ = t.opts.Log.Log("msg", "VM liveness changed", "peer", vm, "alive", alive, "heard", now.Sub(m.Heard))
	}
}

// A registration is the value of the object in which a VM registers.
type registration struct {
	VM         string `json:"vm"`
	Born       int64  `json:"born"`
	Region     string `json:"region"`
	DataCentre string `json:"datacentre"`
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
}

// register reads the registrations of all VMs periodically, and writes that of this
// VM whenever it is missing, until ctx ends.
func (t *Task) register(ctx context.Context) {
	registered := false
	for {
		current, listed := t.list(ctx)
		if registered && listed && !current {
			// The object store was restored from a copy from before the registration.
			_ = t.opts.Log.Log("msg", "registration lost")
			registered = false
		}
		if listed && !registered {
			registered = t.write(ctx)
		}
		delay := registerRetryDelay/2 + rand.N(registerRetryDelay)
		if registered && listed {
			delay = t.listDelay()
		}
		if !store.Sleep(ctx, delay) {
			return
		}
	}
}

// listDelay returns the time until the registered VMs are read again. It grows
// with the fleet, so that the load of the object store does not.
func (t *Task) listDelay() time.Duration {
	scaled := time.Duration(float64(listInterval) * t.IntervalFactor())
	return scaled/2 + rand.N(scaled)
}

// list reads the registered VMs. It reports whether that succeeded, and whether this
// incarnation of this VM, or a later one, is among them.
func (t *Task) list(ctx context.Context) (registered, ok bool) {
	objects, err := t.opts.Store.List(ctx, Kind+"/")
	if err != nil {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range objects {
		r, err := decodeRegistration(o)
		if err != nil {
			if t.ignored[o.Key] != o.Version {
				t.ignored[o.Key] = o.Version
				_ = t.opts.Log.Log("msg", "registration ignored", "object", o.Key, "err", logline.ErrorText(err))
			}
			continue
		}
		if r.VM == t.opts.Self.VM && r.Born >= t.opts.Self.Born {
			registered = true
		}
		t.table.AddRegistered(Entry{
			VM: r.VM, Born: r.Born, Region: r.Region, DataCentre: r.DataCentre, Callers: r.Callers, Peers: r.Peers,
		}, time.Now())
	}
	return registered, true
}

// decodeRegistration decodes the registration in an object.
func decodeRegistration(o store.Object) (registration, error) {
	var r registration
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, err
	}
	switch {
	case Kind+"/"+r.VM != o.Key:
		return r, fmt.Errorf("registration of VM %q under the name of another one", r.VM)
	case r.VM == "" || r.Peers == "":
		return r, errors.New("registration without a VM or its address")
	}
	return r, nil
}

// Forget removes the registration of a VM that is gone.
func (t *Task) Forget(ctx context.Context, vm string) {
	key := Kind + "/" + vm
	if current, err := t.opts.Store.Get(ctx, key); err == nil {
		// A VM that has just started again writes it again at its next read.
		t.opts.Store.Delete(ctx, key, current.Version)
	}
}

// IsAlive reports whether a VM counts as alive.
func (t *Task) IsAlive(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table.members[vm]
	return ok && m.Alive(time.Now())
}

// IntervalFactor returns the factor by which VMs read the registrations less often than in
// a small fleet.
func (t *Task) IntervalFactor() float64 { return min(intervalFactor(t.Count()), maxListFactor) }

// write writes this VM's registration, replacing that of an earlier incarnation.
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
	current, err := t.opts.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, done := t.opts.Store.Put(ctx, key, value, current.Version).(store.Done)
	return done
}
