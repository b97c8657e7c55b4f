package target

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// MaxReportAge is the age of a load report after which a target gets no new
	// requests, since a VM without newer reports may have missed that the target
	// is leaving.
	MaxReportAge = 2500 * time.Millisecond
	// ReportLag is the approximate time between the taking of a report and its
	// arrival.
	ReportLag = 250 * time.Millisecond

	pollInterval = 250 * time.Millisecond
	pollTimeout  = time.Second
	// takeoverAge is the age of a report after which a VM polls a target that is
	// assigned to another VM.
	takeoverAge = 1200 * time.Millisecond
	inboxSize   = 256
)

// Options are the dependencies of a Fleet. Without Roster and Peers it polls
// every target itself.
type Options struct {
	Client Client
	Config func() *config.View
	Roster vm.Roster
	Peers  peer.Caller
	Self   string
	Clock  store.Clock
	Log    log.Logger
}

// A State is the last known state of a target. Reported reports whether a report
// of the target has been received, and ReportedAt is the time of the last one by
// this VM's clock.
type State struct {
	Target     *config.Target `json:"target"`
	Health     string         `json:"life"`
	Reported   bool           `json:"reported"`
	Report     Report         `json:"report"`
	ReportedAt time.Time      `json:"at"`
}

// Usable reports whether the target may get a request at the time now. A target
// that publishes no reports is judged only by its responses to requests.
func (s *State) Usable(now time.Time) bool {
	return (s.Health == HealthLive || s.Health == HealthProbing) && s.isFresh(now)
}

// UsableAsLastResort reports whether the target may get one request at a time if
// no target is usable. This is the case if it fails requests but still sends
// reports.
func (s *State) UsableAsLastResort(now time.Time) bool {
	return s.Health == HealthFailing && s.isFresh(now)
}

// isFresh reports whether the report is recent enough to show that the target is not
// leaving. It is true for a target that has never reported.
func (s *State) isFresh(now time.Time) bool {
	return !s.Reported || now.Sub(s.ReportedAt) <= MaxReportAge
}

// Serves reports whether an engine has loaded the model in the given version, or
// in any version if it is empty, with the adapter, if any. An engine that reports
// no models serves all.
func (s *State) Serves(model, version, adapter string) bool {
	if len(s.Report.Models) == 0 {
		return true
	}
	for i := range s.Report.Models {
		if s.Report.Models[i].serves(model, version, adapter) {
			return true
		}
	}
	return false
}

func (l *Loaded) serves(model, version, adapter string) bool {
	if l.Model != model || version != "" && l.Version != version {
		return false
	}
	if adapter == "" {
		return true
	}
	for _, a := range l.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

// An Observation is a fact about a target learned from a request: Succeeded,
// Failed, Unreachable or ReportOutdated.
type Observation interface{ observation() }

// Succeeded reports that the target responded.
type Succeeded struct{ Target string }

// Failed reports that an attempt failed.
type Failed struct{ Target string }

// Unreachable reports that no connection could be made.
type Unreachable struct{ Target string }

// ReportOutdated reports that the target has another incarnation or weights version
// than in its last report.
type ReportOutdated struct{ Target string }

func (ReportOutdated) observation() {}
func (Succeeded) observation()      {}
func (Failed) observation()         {}
func (Unreachable) observation()    {}

// A Fleet is a task that tracks the states of all configured targets. Each target
// is polled by one VM, which shares the reports with the others.
type Fleet struct {
	opts             Options
	inbox            chan any
	published        atomic.Pointer[published]
	records          map[string]*record
	readers          Readers
	lastShared       map[string]lastShare
	peerIncarnations map[string]uint64
	changed          bool
	urgent           bool
	nextShare        time.Time
}

// published is an immutable copy of all states, which the queries read.
type published struct {
	version int64
	pools   map[string][]State
	all     []State
	warm    bool
}

// A record is the state of one target within the task. polled reports whether a
// poll of the target has ended or another VM has shared a report of it.
type record struct {
	state    State
	breaker  *breaker
	polling  bool
	nextPoll time.Time
	polled   bool
	// outdated forces a poll of the target by this VM.
	outdated bool
}

// NewFleet returns a Fleet. It tracks targets only while Run is running.
func NewFleet(opts Options) *Fleet {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	f := &Fleet{
		opts:       opts,
		inbox:      make(chan any, inboxSize),
		records:    map[string]*record{},
		lastShared: map[string]lastShare{},
	}
	f.published.Store(&published{})
	return f
}

// States returns the states of the targets of a pool in the order of the
// configuration. The slice must not be modified.
func (f *Fleet) States(pool string) []State { return f.published.Load().pools[pool] }

// All returns the states of all targets. The slice must not be modified.
func (f *Fleet) All() []State { return f.published.Load().all }

// Warm reports whether, for every configured target, a poll has ended or another
// VM has shared a report.
func (f *Fleet) Warm() bool { return f.published.Load().warm }

// A FleetDump is the state of a Fleet, for operators.
type FleetDump struct {
	Warm    bool    `json:"warm"`
	Targets []State `json:"targets"`
}

// Dump returns the state for operators.
func (f *Fleet) Dump() any {
	p := f.published.Load()
	return FleetDump{Warm: p.warm, Targets: p.all}
}

// Observe passes an observation to the task. It never blocks; if the inbox is
// full, the observation is dropped.
func (f *Fleet) Observe(o Observation) {
	select {
	case f.inbox <- o:
	default:
	}
}

// Register registers the handler for calls from other VMs.
func (f *Fleet) Register(r peer.Registrar) {
	r.Handle(peer.CallTargetStates, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var s StatesUpdate
		if err := decode(&s); err != nil {
			return nil, err
		}
		select {
		case f.inbox <- s:
			return StatesUpdateReply{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}
