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
	// ReportLimit is the age of a load report after which a target gets nothing
	// new. A target that leaves is known by then or no longer used.
	MaxReportAge = 2500 * time.Millisecond
	// ReportLag is how much older a report is than its arrival, about.
	ReportLag = 250 * time.Millisecond

	pollEvery   = 250 * time.Millisecond
	pollTimeout = time.Second
	// coverAfter is the age of a report after which a VM asks the target itself
	// although another VM should.
	coverAfter = 1200 * time.Millisecond
	inboxSize  = 256
)

// Options are the parts that a Fleet needs. Without Roster and Peers it reads
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

// A State is what this VM knows of one target. At is the time of the report by
// this VM's clock.
type State struct {
	Target     *config.Target `json:"target"`
	Health     string         `json:"life"`
	Reported   bool           `json:"reported"`
	Report     Report         `json:"report"`
	ReportedAt time.Time      `json:"at"`
}

// Usable tells whether the target may get a request at now. A target that
// publishes no reports is judged by its answers alone.
func (s *State) Usable(now time.Time) bool {
	return (s.Health == HealthLive || s.Health == HealthProbing) && s.fresh(now)
}

// LastResort tells whether the target may get one request at a time while no
// target is usable: it fails requests, and reports all the same.
func (s *State) UsableAsLastResort(now time.Time) bool {
	return s.Health == HealthFailing && s.fresh(now)
}

// fresh tells whether a notice to leave would be known.
func (s *State) fresh(now time.Time) bool {
	return !s.Reported || now.Sub(s.ReportedAt) <= MaxReportAge
}

// Serves tells whether an engine holds the model at the version with the
// adapter. Engines that list no models serve all.
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

// An Evidence is what a request showed about a target: Worked, Failed,
// Unreached or Moved.
type Observation interface{ evidence() }

// Worked reports that the target answered.
type Succeeded struct{ Target string }

// Failed reports that an attempt broke.
type Failed struct{ Target string }

// Unreached reports that no connection was made.
type Unreachable struct{ Target string }

// Moved reports that the target has another incarnation or weight version than
// its last report said.
type ReportOutdated struct{ Target string }

func (ReportOutdated) evidence() {}
func (Succeeded) evidence()      {}
func (Failed) evidence()         {}
func (Unreachable) evidence()    {}

// A Fleet is a task that keeps the states of all configured targets. One VM
// reads a target's load and shares it with the others.
type Fleet struct {
	opts      Options
	inbox     chan any
	published atomic.Pointer[published]
	records   map[string]*record
	readers   Readers
	told      map[string]shared
	peers     map[string]uint64
	dirty     bool
	urgent    bool
	nextShare time.Time
}

// published is the immutable copy that queries read.
type published struct {
	version int64
	pools   map[string][]State
	all     []State
	warm    bool
}

// A record is the owned state of one target.
type record struct {
	state    State
	life     *life
	polling  bool
	nextPoll time.Time
	asked    bool
	// moved asks for a new report from the target itself.
	moved bool
}

// NewFleet returns a Fleet, which works while Run runs.
func NewFleet(opts Options) *Fleet {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	f := &Fleet{
		opts:    opts,
		inbox:   make(chan any, inboxSize),
		records: map[string]*record{},
		told:    map[string]shared{},
	}
	f.published.Store(&published{})
	return f
}

// States returns the targets of a pool in the order of the configuration. The
// slice must not be changed.
func (f *Fleet) States(pool string) []State { return f.published.Load().pools[pool] }

// All returns the states of all targets. The slice must not be changed.
func (f *Fleet) All() []State { return f.published.Load().all }

// Warm tells whether every configured target has been asked once.
func (f *Fleet) Warm() bool { return f.published.Load().warm }

// A FleetDump is the state of a Fleet for operators.
type FleetDump struct {
	Warm    bool    `json:"warm"`
	Targets []State `json:"targets"`
}

// Dump returns the state for operators.
func (f *Fleet) Dump() any {
	p := f.published.Load()
	return FleetDump{Warm: p.warm, Targets: p.all}
}

// Note passes on what a request showed about a target. It never blocks:
// evidence beyond what the task can take is dropped.
func (f *Fleet) Observe(e Observation) {
	select {
	case f.inbox <- e:
	default:
	}
}

// Register takes the calls of other VMs.
func (f *Fleet) Register(r peer.Registrar) {
	r.Handle(peer.CallTargets, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
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
