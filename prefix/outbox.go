package prefix

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// flushEvery is the time between two Parts to one home, and flushLarge the
	// same in a fleet in which each VM is a home of a part only.
	flushEvery = 100 * time.Millisecond
	flushLarge = time.Second
	// callTimeout bounds one call to another VM.
	callTimeout = 2 * time.Second
	// partLimit is the number of pieces that wait for one home beyond which the
	// home gets all entries anew.
	partLimit = 1 << 16
)

// An outbox is what this VM has yet to tell one home, of the feeds it reads.
type outbox struct {
	home    vm.Member
	parts   map[string]*EnginePart
	sent    map[string]uint64
	full    map[string]bool
	pieces  int
	sending bool
	next    time.Time
}

// partSent is the outcome of a Part.
type partSent struct {
	home    vm.Member
	engines []string
	missing []string
	err     error
}

func newOutbox(home vm.Member, feeds map[string]*feed) *outbox {
	o := &outbox{home: home, parts: map[string]*EnginePart{}, sent: map[string]uint64{}, full: map[string]bool{}}
	for name := range feeds {
		o.full[name] = true
	}
	return o
}

// add puts a change of an engine into the outbox. Nothing is added while the
// home waits for all entries, or that those already cover.
func (o *outbox) add(f *feed, engine string, kind uint8, pieces []uint64) {
	p, ok := o.parts[engine]
	if !ok {
		p = &EnginePart{Engine: engine, Incarnation: f.incarnation, Weights: f.weights, From: o.sent[engine], To: o.sent[engine]}
	}
	switch {
	case o.full[engine] || f.sequence <= p.To:
		return
	case p.Incarnation != f.incarnation || p.Weights != f.weights:
		o.needAll(engine)
		return
	}
	p.add(kind, pieces)
	p.To, p.OutOfSync = f.sequence, f.unsure
	o.parts[engine] = p
	if o.pieces += len(pieces); o.pieces > partLimit {
		o.needAll(engine)
	}
}

// replace puts all entries of an engine into the outbox.
func (o *outbox) replace(p EnginePart) {
	o.parts[p.Engine] = &p
	o.full[p.Engine] = false
}

// needAll drops what waits of an engine until all its entries are there.
func (o *outbox) needAll(engine string) {
	delete(o.parts, engine)
	o.full[engine] = true
	o.pieces = 0
}

// take returns the Part to send now, if any.
func (o *outbox) take(now time.Time, every time.Duration) (Part, bool) {
	if o.sending || len(o.parts) == 0 || now.Before(o.next) {
		return Part{}, false
	}
	o.next = now.Add(every)
	o.sending = true
	var message Part
	for name, p := range o.parts {
		message.Engines = append(message.Engines, *p)
		o.sent[name] = p.To
	}
	clear(o.parts)
	o.pieces = 0
	return message, true
}

// flush sends the Parts that are due.
func (t *Task) flush(ctx context.Context, now time.Time) {
	every := flushEvery
	if t.placement.homes != nil {
		every = flushLarge
	}
	for _, o := range t.outboxes {
		if message, ok := o.take(now, every); ok {
			go t.sendPart(ctx, o.home, message)
		}
	}
}

func (t *Task) sendPart(ctx context.Context, home vm.Member, message Part) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := partSent{home: home}
	for _, p := range message.Engines {
		done.engines = append(done.engines, p.Engine)
	}
	var reply PartReply
	to := peer.Destination{VM: home.ID, Address: home.Peer}
	done.err = t.opts.Peers.Call(limited, to, peer.CallIndexPart, message, &reply)
	done.missing = reply.Missing
	t.say(ctx, done)
}

// takeSent follows a Part: the home gets all entries of the engines that it
// missed, or of all in the message when that was lost.
func (t *Task) takeSent(m partSent) {
	o, ok := t.outboxes[m.home.ID]
	if !ok || o.home.Incarnation != m.home.Incarnation {
		return
	}
	o.sending = false
	missing := m.missing
	if m.err != nil {
		missing = m.engines
	}
	for _, engine := range missing {
		o.needAll(engine)
	}
}

// followHomes keeps one outbox for each other VM. A new VM, or one that became
// the home of other divisions, gets all entries.
func (t *Task) followHomes() {
	if t.opts.Roster == nil || t.opts.Peers == nil {
		return
	}
	live := t.opts.Roster.Live()
	if t.placement.same(live) {
		return
	}
	divided := t.placement.homes != nil || len(live) > wholeFleet
	t.placement = NewPlacement(live)
	old := t.outboxes
	t.outboxes = make(map[string]*outbox, len(live))
	for _, m := range live {
		if m.ID == t.opts.Self {
			continue
		}
		o, ok := old[m.ID]
		if !ok || o.home.Incarnation != m.Incarnation || divided {
			o = newOutbox(m, t.feeds)
		}
		o.home = m
		t.outboxes[m.ID] = o
	}
}

// mine returns the pieces whose home the VM is.
func (p *Placement) mine(id string, pieces []uint64) []uint64 {
	if p.homes == nil {
		return pieces
	}
	var mine []uint64
	for _, k := range pieces {
		if p.IsReplica(id, Key(k).Partition()) {
			mine = append(mine, k)
		}
	}
	return mine
}
