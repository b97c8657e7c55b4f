package prefix

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// flushInterval is the least time between two Parts to the same replica.
	// partitionedFlushInterval replaces it in a large fleet, where each VM is a
	// replica of some partitions only.
	flushInterval            = 100 * time.Millisecond
	partitionedFlushInterval = time.Second
	callTimeout              = 2 * time.Second
	// maxOutboxPieces bounds the pieces queued for one replica. Beyond it, the
	// replica gets all entries of the engine instead of changes.
	maxOutboxPieces = 1 << 16
)

// An outbox queues the changes, from the feeds that this VM reads, that have not
// yet been sent to one replica.
type outbox struct {
	replica      vm.Member
	parts        map[string]*EnginePart
	sentSequence map[string]uint64
	needsFull    map[string]bool
	pieces       int
	sending      bool
	nextSend     time.Time
}

// partSent reports the outcome of sending a Part.
type partSent struct {
	replica vm.Member
	engines []string
	missing []string
	err     error
}

func newOutbox(replica vm.Member, feeds map[string]*feed) *outbox {
	o := &outbox{replica: replica, parts: map[string]*EnginePart{}, sentSequence: map[string]uint64{}, needsFull: map[string]bool{}}
	for name := range feeds {
		o.needsFull[name] = true
	}
	return o
}

// add queues a change of an engine. It ignores changes while the replica needs
// all entries of the engine, and changes that are already covered by what is
// queued.
func (o *outbox) add(f *feed, engine string, kind uint8, pieces []uint64) {
	p, ok := o.parts[engine]
	if !ok {
		p = &EnginePart{Engine: engine, Incarnation: f.incarnation, Weights: f.weights, From: o.sentSequence[engine], To: o.sentSequence[engine]}
	}
	switch {
	case o.needsFull[engine] || f.sequence <= p.To:
		return
	case p.Incarnation != f.incarnation || p.Weights != f.weights:
		o.requireFull(engine)
		return
	}
	p.add(kind, pieces)
	p.To, p.OutOfSync = f.sequence, f.outOfSync
	o.parts[engine] = p
	if o.pieces += len(pieces); o.pieces > maxOutboxPieces {
		o.requireFull(engine)
	}
}

// setFull queues all entries of an engine.
func (o *outbox) setFull(p EnginePart) {
	o.parts[p.Engine] = &p
	o.needsFull[p.Engine] = false
}

// requireFull drops the queued changes of an engine and requests that all of its
// entries be queued.
func (o *outbox) requireFull(engine string) {
	delete(o.parts, engine)
	o.needsFull[engine] = true
	o.pieces = 0
}

// dequeue returns the Part to send now, if any.
func (o *outbox) dequeue(now time.Time, interval time.Duration) (Part, bool) {
	if o.sending || len(o.parts) == 0 || now.Before(o.nextSend) {
		return Part{}, false
	}
	o.nextSend = now.Add(interval)
	o.sending = true
	var message Part
	for name, p := range o.parts {
		message.Engines = append(message.Engines, *p)
		o.sentSequence[name] = p.To
	}
	clear(o.parts)
	o.pieces = 0
	return message, true
}

// flush sends the Parts that are due.
func (t *Task) flush(ctx context.Context, now time.Time) {
	interval := flushInterval
	if t.placement.replicas != nil {
		interval = partitionedFlushInterval
	}
	for _, o := range t.outboxes {
		if message, ok := o.dequeue(now, interval); ok {
			go t.sendPart(ctx, o.replica, message)
		}
	}
}

func (t *Task) sendPart(ctx context.Context, replica vm.Member, message Part) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := partSent{replica: replica}
	for _, p := range message.Engines {
		result.engines = append(result.engines, p.Engine)
	}
	var reply PartReply
	to := peer.Destination{VM: replica.ID, Address: replica.Peer}
	result.err = t.opts.Peers.Call(callCtx, to, peer.CallIndexPart, message, &reply)
	result.missing = reply.Missing
	t.post(ctx, result)
}

// handlePartSent handles the outcome of sending a Part. The replica will get all
// entries of the engines for which it reports a gap, or of all engines in the
// Part if the call failed.
func (t *Task) handlePartSent(m partSent) {
	o, ok := t.outboxes[m.replica.ID]
	if !ok || o.replica.Incarnation != m.replica.Incarnation {
		return
	}
	o.sending = false
	missing := m.missing
	if m.err != nil {
		missing = m.engines
	}
	for _, engine := range missing {
		o.requireFull(engine)
	}
}

// updatePlacement updates the placement and the outboxes to the live VMs. A new
// or restarted VM gets all entries, and so does every VM if the index is
// partitioned, since the partitions of any VM may have changed.
func (t *Task) updatePlacement() {
	if t.opts.Roster == nil || t.opts.Peers == nil {
		return
	}
	live := t.opts.Roster.Live()
	if t.placement.isFor(live) {
		return
	}
	partitioned := t.placement.replicas != nil || len(live) > maxUnpartitionedVMs
	t.placement = NewPlacement(live)
	old := t.outboxes
	t.outboxes = make(map[string]*outbox, len(live))
	for _, m := range live {
		if m.ID == t.opts.Self {
			continue
		}
		o, ok := old[m.ID]
		if !ok || o.replica.Incarnation != m.Incarnation || partitioned {
			o = newOutbox(m, t.feeds)
		}
		o.replica = m
		t.outboxes[m.ID] = o
	}
}

// filter returns the pieces of which the VM is a replica.
func (p *Placement) filter(id string, pieces []uint64) []uint64 {
	if p.replicas == nil {
		return pieces
	}
	var filtered []uint64
	for _, k := range pieces {
		if p.IsReplica(id, Key(k).Partition()) {
			filtered = append(filtered, k)
		}
	}
	return filtered
}
