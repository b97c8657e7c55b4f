package prefix

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// heldTimeout bounds the question to a home on the way of a request.
	heldTimeout = 20 * time.Millisecond
	// pullEvery is the time between two tries to get the index from a peer.
	pullEvery = 500 * time.Millisecond
	// pullSpread is the time over which restarted VMs spread their first pull.
	pullSpread = 200 * time.Millisecond
	// warmLimit is the time after which a VM counts as warm although some
	// engines could not be asked.
	warmLimit = 5 * time.Second
)

// Messages of other VMs to the task.
type (
	partCommand struct {
		part  Part
		reply chan PartReply
	}
	pullQuery struct {
		from  string
		reply chan Part
	}
	pulled struct{ part Part }
	// announced is an announcement of another VM.
	announced struct{ announcement Announcement }
	// announceCommand is one of this VM for the other homes.
	announceCommand struct{ announcement Announcement }
)

// Register takes the calls of other VMs.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallIndexPart, func(ctx context.Context, _ string, p Part) (PartReply, error) {
		return ask(ctx, t, func(reply chan PartReply) any { return partCommand{p, reply} })
	})
	peer.Handle(r, peer.CallIndexPull, func(ctx context.Context, from string, _ Pull) (Part, error) {
		return ask(ctx, t, func(reply chan Part) any { return pullQuery{from, reply} })
	})
	peer.Handle(r, peer.CallAnnounce, func(ctx context.Context, _ string, a Announcement) (AnnouncementReply, error) {
		t.say(ctx, announced{a})
		return AnnouncementReply{}, ctx.Err()
	})
	peer.Handle(r, peer.CallHeld, func(ctx context.Context, _ string, q LookupRequest) (LookupReply, error) {
		keys := make([]Key, len(q.Keys))
		for i, k := range q.Keys {
			keys[i] = Key(k)
		}
		return LookupReply{Matches: t.ownHeld(ctx, keys, nil)}, ctx.Err()
	})
}

// announce tells the other homes of a prefill that this VM has sent. A lost
// message is not repeated: it would come too late.
func (t *Task) announce(ctx context.Context, a Announcement) {
	if t.opts.Peers == nil || len(a.Keys) == 0 {
		return
	}
	for _, m := range t.placement.Replicas(Key(a.Keys[0]).Partition()) {
		if m.ID != t.opts.Self {
			go t.tell(ctx, m, a)
		}
	}
}

func (t *Task) tell(ctx context.Context, to vm.Member, a Announcement) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply AnnouncementReply
	_ = t.opts.Peers.Call(ctx, peer.Destination{VM: to.ID, Address: to.Peer}, peer.CallAnnounce, a, &reply)
}

// ask sends a message with a channel for the reply and waits for it.
func ask[Reply any](ctx context.Context, t *Task, message func(chan Reply) any) (Reply, error) {
	var none Reply
	reply := make(chan Reply, 1)
	if !t.say(ctx, message(reply)) {
		return none, ctx.Err()
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// takePart merges what another VM sent.
func (t *Task) takePart(p Part, now time.Time) PartReply {
	var reply PartReply
	for _, e := range p.Engines {
		if _, missed := t.index.Merge(e, now).(Gap); missed {
			reply.Missing = append(reply.Missing, e.Engine)
		}
	}
	return reply
}

// askHomes asks the homes of the keys in turn until one answers.
func (t *Task) askHomes(ctx context.Context, p *Placement, keys []Key, dst []Match) []Match {
	q := LookupRequest{Keys: raw(keys)}
	for _, m := range p.Replicas(keys[0].Partition()) {
		limited, cancel := context.WithTimeout(ctx, heldTimeout)
		var reply LookupReply
		err := t.opts.Peers.Call(limited, peer.Destination{VM: m.ID, Address: m.Peer}, peer.CallHeld, q, &reply)
		cancel()
		if err == nil {
			return append(dst, reply.Matches...)
		}
	}
	return dst
}

// warmUp gets this VM's part of the index from a peer, and sets the VM warm when
// every engine is known or could not be asked in time.
func (t *Task) warmUp(ctx context.Context, now time.Time) {
	if t.warm.Load() || t.opts.Config().Version == 0 {
		return
	}
	if t.loaded() || now.Sub(t.begun) >= warmLimit {
		t.warm.Store(true)
		return
	}
	if t.opts.Roster == nil || t.opts.Peers == nil || t.pulling || now.Before(t.pullAt()) {
		return
	}
	t.pulling = true
	t.nextPull = now.Add(pullEvery)
	go t.pull(ctx)
}

// pullAt returns when the next pull is due.
func (t *Task) pullAt() time.Time {
	if !t.nextPull.IsZero() {
		return t.nextPull
	}
	spread := time.Duration(xxhash.Sum64String(t.opts.Self) % uint64(pullSpread))
	return t.begun.Add(spread)
}

// pull asks the other VMs in turn until one has entries.
func (t *Task) pull(ctx context.Context) {
	live := t.opts.Roster.Live()
	at := slices.IndexFunc(live, func(m vm.Member) bool { return m.ID == t.opts.Self })
	for i := range live {
		m := live[(at+1+i+len(live))%len(live)]
		if m.ID == t.opts.Self {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		var part Part
		err := t.opts.Peers.Call(limited, peer.Destination{VM: m.ID, Address: m.Peer}, peer.CallIndexPull, Pull{}, &part)
		cancel()
		if err == nil && len(part.Engines) > 0 {
			t.say(ctx, pulled{part})
			return
		}
	}
	t.say(ctx, pulled{})
}

// loaded tells whether the entries of every configured engine are known, or the
// engine was asked for them and did not answer.
func (t *Task) loaded() bool {
	for i, targets := 0, t.opts.Config().Targets; i < len(targets); i++ {
		if targets[i].Kind != config.TargetEngine || t.tried[targets[i].Name] {
			continue
		}
		if e, ok := t.index.engines[targets[i].Name]; !ok || !e.known {
			return false
		}
	}
	return true
}
