package vm

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
)

// Register adds the handlers of the membership's calls. Probes are handled only
// while Run is running.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallProbe, t.handleProbe)
	peer.Handle(r, peer.CallIndirectProbe, t.handleIndirect)
}

// SetState sets the lifecycle state of this VM, one of the State constants. A
// change to StateDraining or StateStopped is sent to other VMs at once.
func (t *Task) SetState(state string) {
	t.mu.Lock()
	t.state = state
	t.mu.Unlock()
	t.wakeUp()
}

// SetConfig sets the version of the configuration that this VM has in force.
func (t *Task) SetConfig(version int64) {
	t.mu.Lock()
	t.config = max(t.config, version)
	t.mu.Unlock()
	t.wakeUp()
}

// Attach implements Carrier.
func (t *Task) Attach(report func() VersionReport, onReport func(from Member, r VersionReport, sent time.Time)) {
	t.hooks.Store(&reportHooks{report: report, onReport: onReport})
}

func (t *Task) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Task) handleProbe(ctx context.Context, from string, p Probe) (ProbeReply, error) {
	reply := make(chan ProbeReply, 1)
	select {
	case t.inbox <- probeReceived{from: from, probe: p, reply: reply}:
	case <-ctx.Done():
		return ProbeReply{}, ctx.Err()
	}
	select {
	case r := <-reply:
		// The probe may have waited in a buffer while this VM was paused, so
		// the age of its report is unknown.
		t.deliverReport(from, VersionReport{Version: p.Report.Version, Age: AgeUnknown}, t.opts.Clock.Now())
		r.Report = t.report()
		return r, nil
	case <-ctx.Done():
		return ProbeReply{}, ctx.Err()
	}
}

// handleIndirect probes a VM on behalf of another one.
func (t *Task) handleIndirect(ctx context.Context, _ string, req IndirectProbe) (IndirectProbeReply, error) {
	member, ok := t.member(req.VM)
	if !ok {
		return IndirectProbeReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply ProbeReply
	to := peer.Destination{VM: member.ID, Address: member.Peer}
	probe := Probe{RecordVersion: t.Self().RecordVersion(), Report: t.report()}
	err := t.opts.Peers.Call(ctx, to, peer.CallProbe, probe, &reply)
	return IndirectProbeReply{Reached: err == nil}, nil
}
