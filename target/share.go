package target

import (
	"context"
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	shareInterval = 500 * time.Millisecond
	// fullShareInterval is the time after which a report is shared in full again
	// even if only its load has changed.
	fullShareInterval = 10 * time.Second
)

// A StatesUpdate contains reports that a VM shares with another.
type StatesUpdate struct {
	Reports []SharedReport `cbor:"1,keyasint,omitempty"`
	Loads   []SharedLoad   `cbor:"2,keyasint,omitempty"`
}

// A SharedReport is a full report with its age when it was sent.
type SharedReport struct {
	Target string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
	Report Report        `cbor:"3,keyasint"`
}

// A SharedLoad contains the frequently changing fields of a report. The receiver
// applies it only if the last full report that it has of the target has the same
// Digest.
type SharedLoad struct {
	_             struct{} `cbor:",toarray"`
	Target        string
	Digest        uint32
	AgeMillis     uint32
	Queued        int
	Running       int
	PendingTokens int
	EvictionRate  uint32
}

// A StatesUpdateReply acknowledges a StatesUpdate.
type StatesUpdateReply struct{}

// digest returns a hash of the fields that a SharedLoad does not contain.
func (r *Report) digest() uint32 {
	var d xxhash.Digest
	d.Reset()
	addString := func(s string) { _, _ = d.WriteString(s + "\x00") }
	addNumber := func(n uint64) { _, _ = d.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	addString(r.Incarnation)
	addString(r.Weights)
	addString(r.Role)
	for i := range r.Models {
		addString(r.Models[i].Model)
		addString(r.Models[i].Version)
		for _, a := range r.Models[i].Adapters {
			addString(a)
		}
		addNumber(uint64(len(r.Models[i].Adapters)))
	}
	addNumber(math.Float64bits(r.PrefillRate))
	addNumber(uint64(r.CachePieces))
	if r.Leaving {
		addNumber(1)
	}
	return uint32(d.Sum64())
}

// A lastShare describes the last full report of a target that this VM shared.
type lastShare struct {
	digest uint32
	fullAt time.Time
}

// newStatesUpdate returns an update with the given states and records its full
// reports in last. A report is included in full if more than its load has changed
// or if fullShareInterval has passed.
func newStatesUpdate(states []State, last map[string]lastShare, now time.Time) StatesUpdate {
	var s StatesUpdate
	for i := range states {
		name, r := states[i].Target.Name, &states[i].Report
		age, digest := now.Sub(states[i].ReportedAt), r.digest()
		if previous := last[name]; previous.digest != digest || now.Sub(previous.fullAt) >= fullShareInterval {
			last[name] = lastShare{digest: digest, fullAt: now}
			s.Reports = append(s.Reports, SharedReport{Target: name, Age: age, Report: *r})
			continue
		}
		s.Loads = append(s.Loads, SharedLoad{
			Target: name, Digest: digest, AgeMillis: uint32(age.Milliseconds()),
			Queued: r.Queued, Running: r.Running, PendingTokens: r.PendingTokens, EvictionRate: uint32(r.EvictionRate),
		})
	}
	return s
}

// handleUpdate stores the reports shared by another VM.
func (f *Fleet) handleUpdate(s StatesUpdate, now time.Time) {
	for _, r := range s.Reports {
		f.storeReport(r.Target, r.Report, now.Add(-r.Age), now)
	}
	for _, l := range s.Loads {
		r, ok := f.records[l.Target]
		if !ok || !r.state.Reported || r.state.Report.digest() != l.Digest {
			continue
		}
		report := r.state.Report
		report.Queued, report.Running, report.PendingTokens = l.Queued, l.Running, l.PendingTokens
		report.EvictionRate = float64(l.EvictionRate)
		f.storeReport(l.Target, report, now.Add(-time.Duration(l.AgeMillis)*time.Millisecond), now)
	}
}

// share sends the recent reports read by this VM to all other live VMs.
func (f *Fleet) share(ctx context.Context, now time.Time) {
	if f.opts.Roster == nil || f.opts.Peers == nil {
		return
	}
	live := f.opts.Roster.Live()
	f.updatePeers(live)
	var states []State
	for _, r := range f.records {
		if r.state.Reported && f.isReader(r.state.Target) && now.Sub(r.state.ReportedAt) <= 2*shareInterval {
			states = append(states, r.state)
		}
	}
	if len(states) == 0 {
		return
	}
	message := newStatesUpdate(states, f.lastShared, now)
	for _, m := range live {
		if m.ID != f.opts.Self {
			go f.sendUpdate(ctx, m, message)
		}
	}
}

// updatePeers updates the incarnations of the live VMs. If a VM is new or has
// restarted, all reports will be shared in full.
func (f *Fleet) updatePeers(live []vm.Member) {
	incarnations := make(map[string]uint64, len(live))
	for i := range live {
		incarnations[live[i].ID] = live[i].Incarnation
		if incarnation, ok := f.peerIncarnations[live[i].ID]; !ok || incarnation != live[i].Incarnation {
			clear(f.lastShared)
		}
	}
	f.peerIncarnations = incarnations
}

func (f *Fleet) sendUpdate(ctx context.Context, to vm.Member, s StatesUpdate) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var reply StatesUpdateReply
	_ = f.opts.Peers.Call(ctx, peer.Destination{VM: to.ID, Address: to.Peer}, peer.CallTargetStates, s, &reply)
}
