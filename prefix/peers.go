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
	// lookupTimeout bounds a lookup at a replica. It is short since it delays a
	// request.
	lookupTimeout = 20 * time.Millisecond
	// pullInterval is the time between two attempts to pull the index.
	pullInterval = 500 * time.Millisecond
	// maxPullDelay is the time over which restarted VMs spread their first pulls.
	maxPullDelay = 200 * time.Millisecond
	// warmUpTimeout is the time after which a VM counts as warm even if the
	// snapshots of some engines could not be read.
	warmUpTimeout = 5 * time.Second
)

// Messages to the task about calls from and to other VMs.
type (
	partCommand struct {
		part  Part
		reply chan PartReply
	}
	pullQuery struct {
		from  string
		reply chan Part
	}
	pullResult struct{ part Part }
	// remoteAnnouncement carries an announcement made by another VM.
	remoteAnnouncement struct{ announcement Announcement }
	// announceCommand carries an announcement of this VM for the other replicas.
	announceCommand struct{ announcement Announcement }
)

// Register registers the handlers for calls from other VMs.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallIndexPart, func(ctx context.Context, _ string, p Part) (PartReply, error) {
		return request(ctx, t, func(reply chan PartReply) any { return partCommand{p, reply} })
	})
	peer.Handle(r, peer.CallIndexPull, func(ctx context.Context, from string, _ Pull) (Part, error) {
		return request(ctx, t, func(reply chan Part) any { return pullQuery{from, reply} })
	})
	peer.Handle(r, peer.CallAnnouncePrefill, func(ctx context.Context, _ string, a Announcement) (AnnouncementReply, error) {
		t.post(ctx, remoteAnnouncement{a})
		return AnnouncementReply{}, ctx.Err()
	})
	peer.Handle(r, peer.CallPrefixLookup, func(ctx context.Context, _ string, q LookupRequest) (LookupReply, error) {
		keys := make([]Key, len(q.Keys))
		for i, k := range q.Keys {
			keys[i] = Key(k)
		}
		return LookupReply{Matches: t.lookupLocal(ctx, keys, nil)}, ctx.Err()
	})
}

// announce sends the announcement to the other replicas. A failed call is not
// retried, since the announcement would arrive too late to be of use.
func (t *Task) announce(ctx context.Context, a Announcement) {
	if t.opts.Peers == nil || len(a.Keys) == 0 {
		return
	}
	for _, m := range t.placement.Replicas(Key(a.Keys[0]).Partition()) {
		if m.ID != t.opts.Self {
			go t.sendAnnouncement(ctx, m, a)
		}
	}
}

func (t *Task) sendAnnouncement(ctx context.Context, to vm.Member, a Announcement) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply AnnouncementReply
	_ = t.opts.Peers.Call(ctx, peer.Destination{VM: to.ID, Address: to.Peer}, peer.CallAnnouncePrefill, a, &reply)
}

// request posts a message with a reply channel to the task and waits for the
// reply.
func request[Reply any](ctx context.Context, t *Task, message func(chan Reply) any) (Reply, error) {
	var none Reply
	reply := make(chan Reply, 1)
	if !t.post(ctx, message(reply)) {
		return none, ctx.Err()
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// mergePart merges a Part of another VM into the index.
func (t *Task) mergePart(p Part, now time.Time) PartReply {
	var reply PartReply
	for _, e := range p.Engines {
		if _, gap := t.index.Merge(e, now).(Gap); gap {
			reply.Missing = append(reply.Missing, e.Engine)
		}
	}
	return reply
}

// lookupRemote asks the replicas of the keys in turn until one replies.
func (t *Task) lookupRemote(ctx context.Context, p *Placement, keys []Key, dst []Match) []Match {
	q := LookupRequest{Keys: rawKeys(keys)}
	for _, m := range p.Replicas(keys[0].Partition()) {
		callCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		var reply LookupReply
		err := t.opts.Peers.Call(callCtx, peer.Destination{VM: m.ID, Address: m.Peer}, peer.CallPrefixLookup, q, &reply)
		cancel()
		if err == nil {
			return append(dst, reply.Matches...)
		}
	}
	return dst
}

// warmUp pulls this VM's partitions of the index from another VM. It marks the
// task as warm when every engine is loaded or after warmUpTimeout.
func (t *Task) warmUp(ctx context.Context, now time.Time) {
	if t.warm.Load() || t.opts.Config().Version == 0 {
		return
	}
	if t.loaded() || now.Sub(t.startedAt) >= warmUpTimeout {
		t.warm.Store(true)
		return
	}
	if t.opts.Roster == nil || t.opts.Peers == nil || t.pulling || now.Before(t.pullTime()) {
		return
	}
	t.pulling = true
	t.nextPull = now.Add(pullInterval)
	go t.pull(ctx)
}

// pullTime returns the time at which the next pull is due.
func (t *Task) pullTime() time.Time {
	if !t.nextPull.IsZero() {
		return t.nextPull
	}
	delay := time.Duration(xxhash.Sum64String(t.opts.Self) % uint64(maxPullDelay))
	return t.startedAt.Add(delay)
}

// pull asks the other VMs in turn until one returns entries.
func (t *Task) pull(ctx context.Context) {
	live := t.opts.Roster.Live()
	selfIndex := slices.IndexFunc(live, func(m vm.Member) bool { return m.ID == t.opts.Self })
	for i := range live {
		m := live[(selfIndex+1+i+len(live))%len(live)]
		if m.ID == t.opts.Self {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var part Part
		err := t.opts.Peers.Call(callCtx, peer.Destination{VM: m.ID, Address: m.Peer}, peer.CallIndexPull, Pull{}, &part)
		cancel()
		if err == nil && len(part.Engines) > 0 {
			t.post(ctx, pullResult{part})
			return
		}
	}
	t.post(ctx, pullResult{})
}

// loaded reports whether, for every configured engine, the entries are known or
// a snapshot has been attempted.
func (t *Task) loaded() bool {
	for i, targets := 0, t.opts.Config().Targets; i < len(targets); i++ {
		if targets[i].Kind != config.TargetEngine || t.snapshotTried[targets[i].Name] {
			continue
		}
		if e, ok := t.index.engines[targets[i].Name]; !ok || !e.known {
			return false
		}
	}
	return true
}
