package limit

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/baobabdyke/baobabdyke/peer"
)

var errStopped = errors.New("limit: the task has stopped")

// A loop holds the data that only the goroutine of Task.Run accesses.
type loop struct {
	ctx            context.Context
	t              *Task
	state          *State
	decisions      map[uint64]chan Decision
	transferReply  chan Transfer
	releaseReplies []chan struct{}
	lastMembership time.Time
	busy           bool // the timer runs at the busy interval
}

func newLoop(ctx context.Context, t *Task) *loop {
	// The IDs of transfer requests differ between incarnations of a VM.
	firstID := t.o.Self.Incarnation<<32 ^ t.o.Seed
	return &loop{
		ctx: ctx, t: t, state: NewState(t.o.Self, t.o.Layout, firstID),
		decisions: map[uint64]chan Decision{},
	}
}

// handle processes one message.
func (l *loop) handle(m any) {
	l.configure()
	switch m := m.(type) {
	case reserveMessage:
		l.decisions[m.ID] = m.reply
		l.step(m.Reserve)
	case transferMessage:
		l.transferReply = m.reply
		l.step(m.TransferRequested)
	case releaseMessage:
		l.releaseReplies = append(l.releaseReplies, m.reply)
		l.step(ReleaseAll{})
		l.completeReleases()
	case dumpMessage:
		m.reply <- l.state.Dump(l.t.o.Clock.Now())
	case Event:
		l.step(m)
		l.completeReleases()
	}
}

// completeReleases unblocks the callers of Task.Release once no slot write is in
// progress.
func (l *loop) completeReleases() {
	if l.state.PendingWrites() > 0 {
		return
	}
	for _, reply := range l.releaseReplies {
		reply <- struct{}{}
	}
	l.releaseReplies = nil
}

// configure applies the current configuration if it has changed.
func (l *loop) configure() {
	if v := l.t.o.Config(); v != nil && v != l.state.view {
		l.step(Configured{View: v})
	}
}

// tick runs the periodic work and updates the membership every
// membershipInterval.
func (l *loop) tick() {
	l.configure()
	now := l.t.o.Clock.Now()
	if now.Sub(l.lastMembership) >= membershipInterval || l.state.awaitsList() {
		l.lastMembership = now
		removed := map[string]bool{}
		for _, id := range l.state.Holders() {
			removed[id] = l.t.o.Roster.Removed(id)
		}
		listed := l.t.o.Roster.Listed()
		l.step(Membership{Live: l.t.o.Roster.Live(), Listed: listed, ListUnread: listed == 0, Removed: removed})
	}
	l.step(Tick{})
	if !l.t.warm.Load() && l.state.Warm(now) {
		l.t.warm.Store(true)
	}
}

// nextTick returns the time until the next tick.
func (l *loop) nextTick() time.Duration {
	l.busy = l.state.Busy()
	if l.busy {
		return busyInterval
	}
	return idleInterval
}

// needsBusyTick reports whether requests have started to wait for other VMs
// while the timer was set to the idle interval.
func (l *loop) needsBusyTick() bool {
	if l.busy || !l.state.Busy() {
		return false
	}
	l.busy = true
	return true
}

// step applies an event and executes its effects.
func (l *loop) step(e Event) {
	for _, effect := range l.state.Step(e, l.t.o.Clock.Now()) {
		switch effect := effect.(type) {
		case Decide:
			l.decisions[effect.ID] <- effect.Decision
			delete(l.decisions, effect.ID)
		case SendTransfer:
			l.transferReply <- effect.Transfer
		case SendTransferRequest:
			go l.t.sendTransferRequest(l.ctx, l.destination(effect.To), effect)
		case SendTransferReturn:
			go l.t.sendTransferReturn(l.ctx, l.destination(effect.To), effect)
		case ListSlots:
			go l.t.listSlots(l.ctx, effect)
		case AcquireSlot:
			go l.t.acquireSlot(l.ctx, effect)
		case ReleaseSlot:
			go l.t.releaseSlot(l.ctx, effect)
		}
	}
}

// destination returns the peer destination of another VM. Its address is empty
// if the VM is not considered alive.
func (l *loop) destination(id string) peer.Destination {
	d := peer.Destination{VM: id}
	for _, m := range l.state.live {
		if m.ID == id {
			d.Address = m.Peer
		}
	}
	return d
}

// sendTransferRequest sends a transfer request to another VM and posts the
// result.
func (t *Task) sendTransferRequest(ctx context.Context, to peer.Destination, e SendTransferRequest) {
	result := TransferResult{ID: e.Request.ID, Failed: to.Address == ""}
	if !result.Failed {
		call, cancel := context.WithTimeout(ctx, TransferLifetime)
		defer cancel()
		err := t.o.Peers.Call(call, to, peer.CallTransferTokens, e.Request, &result.Transfer)
		if result.Failed = err != nil; result.Failed {
			_ = level.Debug(t.log).Log("msg", "transfer request failed", "vm", to.VM, "err", err)
		}
	}
	_ = t.post(ctx, result)
}

// sendTransferReturn returns tokens to another VM. If the call fails, the tokens
// are lost.
func (t *Task) sendTransferReturn(ctx context.Context, to peer.Destination, e SendTransferReturn) {
	if to.Address == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	if err := t.o.Peers.Call(call, to, peer.CallReturnTokens, e.Return, &TransferReturnReply{}); err != nil {
		_ = level.Debug(t.log).Log("msg", "returning tokens failed", "vm", to.VM, "err", err)
	}
}
