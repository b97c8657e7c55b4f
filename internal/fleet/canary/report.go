// Package canary moves the traffic of a service to another version of its targets while
// an order asks for it, and back if that version turns out to be bad.
//
// Each VM limits what it sends to the new version by itself (Gate), and stops sending to
// it once the answers that the VMs report show that it is bad (judge). One VM, which holds
// a lease, decides on the next stage (plan) and writes it to the object store (Task).
//
// It is built for 8 to 340 VMs in front of 600 targets, and orders of 10 s to some
// minutes.
package canary

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// A Stage is how far an order is. Stages of one round of an order only increase, but a
// terminal one never changes.
type Stage uint8

// Stages of an order.
const (
	// Watching sends the new version so few requests that it may be bad.
	Watching Stage = iota
	// Quarter, Half and Full are the steps in which the traffic moves.
	Quarter
	Half
	Full
	Completed
	RolledBack
)

// stageNames are the names of the stages in log lines and dumps.
var stageNames = [...]string{"watching", "quarter", "half", "full", "completed", "rolled_back"}

// String returns the name of the stage.
func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return strconv.Itoa(int(s))
}

// IsTerminal reports whether the order has ended.
func (s Stage) IsTerminal() bool { return s == Completed || s == RolledBack }

// share returns the share of the requests that the new version gets in a stage that is not
// terminal. Permitted is the share that a bad version may get.
func (s Stage) share(permitted float64) float64 {
	switch s {
	case Quarter:
		return max(0.25, watchingShare*permitted)
	case Half:
		return max(0.5, watchingShare*permitted)
	case Full:
		return 1
	}
	return watchingShare * permitted
}

// watchingShare is the part of the permitted share that a version that is not trusted is
// sent. The rest covers repeated requests that are counted by targets only, and requests
// that reach targets after their caller has gone.
const watchingShare = 0.6

// Counts are answers of one version on one route since the order, as counted by one VM.
// Slow answers took several times as long as those of the old version.
type Counts struct {
	Answers  int64 `cbor:"1,keyasint,omitempty"`
	Failures int64 `cbor:"2,keyasint,omitempty"`
	Slow     int64 `cbor:"3,keyasint,omitempty"`
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failures + o.Failures, c.Slow + o.Slow}
}

func (c Counts) minus(o Counts) Counts {
	return Counts{c.Answers - o.Answers, c.Failures - o.Failures, c.Slow - o.Slow}
}

func (c Counts) bad() int64 { return c.Failures + c.Slow }

// RouteCounts are the answers of both versions on one route.
type RouteCounts struct {
	Route string `cbor:"1,keyasint"`
	New   Counts `cbor:"2,keyasint"`
	Old   Counts `cbor:"3,keyasint"`
	// Periods are those in which the new version gave bad answers.
	Periods []Period `cbor:"4,keyasint,omitempty" json:",omitempty"`
}

// A Period is a period of an order in which the new version gave bad answers, and how many.
// Periods are numbered from the order on.
type Period struct {
	Index int   `cbor:"1,keyasint"`
	Bad   int64 `cbor:"2,keyasint"`
}

// A Report is what one VM knows of the order for one service, and what it has seen. Its
// amounts count from the order, or the start of the VM, so that lost and repeated reports
// change nothing.
type Report struct {
	Service string `cbor:"1,keyasint"`
	// Order identifies the spec of the order, and Round counts the orders of the service
	// as far as known, so that an order that is given again can be told apart.
	Order uint64 `cbor:"2,keyasint,omitempty"`
	Round int64  `cbor:"3,keyasint,omitempty"`
	// AgeMS is the time since the order, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint,omitempty"`
	Stage Stage `cbor:"5,keyasint,omitempty"`
	// Stopped reports whether the VM found the new version to be bad.
	Stopped bool          `cbor:"6,keyasint,omitempty"`
	Routes  []RouteCounts `cbor:"7,keyasint,omitempty"`
	// OldRunning is the number of requests that the VM has in flight at targets of other
	// versions.
	OldRunning int `cbor:"8,keyasint,omitempty"`
	// LongestMS is the longest time, in milliseconds, that a request to the service had
	// until its deadline when the VM sent it, since the start of the VM.
	LongestMS int64 `cbor:"10,keyasint,omitempty"`
	// Refused are versions whose order was not completed. They get no requests.
	Refused []string `cbor:"9,keyasint,omitempty"`
}

// An Update is what one VM tells the others about all orders.
type Update struct {
	// Holder reports whether the VM holds the lease.
	Holder  bool     `cbor:"1,keyasint,omitempty"`
	Reports []Report `cbor:"2,keyasint,omitempty"`
}

// report returns the report for a service, or nil.
func (u *Update) report(service string) *Report {
	for i := range u.Reports {
		if u.Reports[i].Service == service {
			return &u.Reports[i]
		}
	}
	return nil
}

// A Peer is the latest Update of another VM.
type Peer struct {
	VM     string
	Update Update
	// Alive reports whether the VM was heard from lately, and Heard when it was.
	Alive bool
	Heard time.Time
	// Ready reports whether the VM serves, StoreFailing whether the store does not respond
	// to it.
	Ready        bool
	StoreFailing bool
}

// orderID identifies the spec of an order.
func orderID(o *site.Order) uint64 {
	return hashOf(o.Service, o.To, o.Duration.String())
}

// hashOf returns a hash of strings.
func hashOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(p))))
		_, _ = h.Write([]byte(p))
	}
	x := h.Sum64()
	// FNV leaves the upper bits of short strings alike.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// fraction returns a hash as a number from 0 up to 1.
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
