package vm

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
)

// Register adds the handlers of the membership's calls. Probes are answered
// while Run runs.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallProbe, t.handleProbe)
	peer.Handle(r, peer.CallIndirectProbe, t.handleIndirect)
}

// SetState sets the state of this VM, one of the State constants. A VM that
// drains or stops tells others at once.
func (t *Task) SetState(state string) {
	t.mu.Lock()
	t.state = state
	t.mu.Unlock()
	t.nudge()
}

// SetConfig sets the version of the configuration that this VM has in force.
func (t *Task) SetConfig(version int64) {
	t.mu.Lock()
	t.config = max(t.config, version)
	t.mu.Unlock()
	t.nudge()
}

// Carry implements Carrier.
func (t *Task) Attach(word func() VersionReport, heard func(from Member, w VersionReport, sent time.Time)) {
	t.carried.Store(&carried{word: word, heard: heard})
}

func (t *Task) nudge() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Task) handleProbe(ctx context.Context, from string, p Probe) (ProbeReply, error) {
	reply := make(chan ProbeReply, 1)
	select {
	case t.inbox <- received{from: from, probe: p, reply: reply}:
	case <-ctx.Done():
		return ProbeReply{}, ctx.Err()
	}
	select {
	case r := <-reply:
		// The probe may have waited in a buffer while this VM was paused, so
		// its word has no age.
		t.heard(from, VersionReport{Version: p.Report.Version, Age: AgeUnknown}, t.opts.Clock.Now())
		r.Report = t.word()
		return r, nil
	case <-ctx.Done():
		return ProbeReply{}, ctx.Err()
	}
}

// handleIndirect probes a VM for another one.
func (t *Task) handleIndirect(ctx context.Context, _ string, req IndirectProbe) (IndirectProbeReply, error) {
	member, ok := t.member(req.VM)
	if !ok {
		return IndirectProbeReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply ProbeReply
	to := peer.Destination{VM: member.ID, Address: member.Peer}
	probe := Probe{RecordVersion: t.Self().RecordVersion(), Report: t.word()}
	err := t.opts.Peers.Call(ctx, to, peer.CallProbe, probe, &reply)
	return IndirectProbeReply{Reached: err == nil}, nil
}
