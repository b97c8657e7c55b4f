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
	shareEvery = 500 * time.Millisecond
	// wholeEvery is the time after which a report is shared whole although only
	// its load changed.
	wholeEvery = 10 * time.Second
)

// States are reports that one VM shares with another.
type StatesUpdate struct {
	Reports []SharedReport `cbor:"1,keyasint,omitempty"`
	Loads   []SharedLoad   `cbor:"2,keyasint,omitempty"`
}

// A SharedReport is a whole report with its age when it was sent.
type SharedReport struct {
	Target string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
	Report Report        `cbor:"3,keyasint"`
}

// A SharedLoad is the part of a report that changes all the time. It counts
// only with a whole report of the same Digest.
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

// StatesReply acknowledges States.
type StatesUpdateReply struct{}

// digest returns a hash of all that a SharedLoad does not carry.
func (r *Report) digest() uint32 {
	var d xxhash.Digest
	d.Reset()
	word := func(s string) { _, _ = d.WriteString(s + "\x00") }
	number := func(n uint64) { _, _ = d.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	word(r.Incarnation)
	word(r.Weights)
	word(r.Role)
	for i := range r.Models {
		word(r.Models[i].Model)
		word(r.Models[i].Version)
		for _, a := range r.Models[i].Adapters {
			word(a)
		}
		number(uint64(len(r.Models[i].Adapters)))
	}
	number(math.Float64bits(r.PrefillRate))
	number(uint64(r.CachePieces))
	if r.Leaving {
		number(1)
	}
	return uint32(d.Sum64())
}

// A shared is what this VM last told the others of a target.
type shared struct {
	digest uint32
	whole  time.Time
}

// newStates returns the message about the given states, and notes in told what it
// holds. A report goes whole when more than its load changed, or after a while.
func newStates(states []State, told map[string]shared, now time.Time) StatesUpdate {
	var s StatesUpdate
	for i := range states {
		name, r := states[i].Target.Name, &states[i].Report
		age, digest := now.Sub(states[i].ReportedAt), r.digest()
		if t := told[name]; t.digest != digest || now.Sub(t.whole) >= wholeEvery {
			told[name] = shared{digest: digest, whole: now}
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

// takeShared keeps what another VM read.
func (f *Fleet) takeShared(s StatesUpdate, now time.Time) {
	for _, r := range s.Reports {
		f.takeReport(r.Target, r.Report, now.Add(-r.Age), now)
	}
	for _, l := range s.Loads {
		r, ok := f.records[l.Target]
		if !ok || !r.state.Reported || r.state.Report.digest() != l.Digest {
			continue
		}
		report := r.state.Report
		report.Queued, report.Running, report.PendingTokens = l.Queued, l.Running, l.PendingTokens
		report.EvictionRate = float64(l.EvictionRate)
		f.takeReport(l.Target, report, now.Add(-time.Duration(l.AgeMillis)*time.Millisecond), now)
	}
}

// share sends the reports that this VM read to the other live VMs.
func (f *Fleet) share(ctx context.Context, now time.Time) {
	if f.opts.Roster == nil || f.opts.Peers == nil {
		return
	}
	live := f.opts.Roster.Live()
	f.followPeers(live)
	var states []State
	for _, r := range f.records {
		if r.state.Reported && f.reads(r.state.Target) && now.Sub(r.state.ReportedAt) <= 2*shareEvery {
			states = append(states, r.state)
		}
	}
	if len(states) == 0 {
		return
	}
	message := newStates(states, f.told, now)
	for _, m := range live {
		if m.ID != f.opts.Self {
			go f.send(ctx, m, message)
		}
	}
}

// followPeers makes all reports go whole when another VM has come.
func (f *Fleet) followPeers(live []vm.Member) {
	known := make(map[string]uint64, len(live))
	for i := range live {
		known[live[i].ID] = live[i].Incarnation
		if incarnation, ok := f.peers[live[i].ID]; !ok || incarnation != live[i].Incarnation {
			clear(f.told)
		}
	}
	f.peers = known
}

func (f *Fleet) send(ctx context.Context, to vm.Member, s StatesUpdate) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var reply StatesUpdateReply
	_ = f.opts.Peers.Call(ctx, peer.Destination{VM: to.ID, Address: to.Peer}, peer.CallTargets, s, &reply)
}
