package limit

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/vm"
)

// A State is the limit state of one VM: the slots that it holds, the accounts
// of customers and the gathers in progress. Only Step changes it. It is not
// safe for concurrent use.
type State struct {
	self   vm.Member
	layout Layout
	view   *config.View
	live   []vm.Member
	// candidates are the live VMs that may hold slots.
	candidates     []candidate
	removed        map[string]bool
	shards         []*shard
	accounts       map[string]*account
	gathers        map[uint64]*gather
	pending        map[uint64]*pendingTransfer
	origins        map[uint64]*origin
	lastTransferID uint64
	// inactiveSlots is the number of slots that are held but not active yet.
	inactiveSlots int
	// startAt is the time of this VM's first access to the store.
	startAt time.Time
	// listedVMs is the number of VMs that the platform lists, and listUnread
	// reports whether it is not known yet; joinGraceOver reports whether they have
	// had time to appear in the membership.
	listedVMs     int
	listUnread    bool
	joinGraceOver bool
	lastReconcile time.Time
	lastEviction  time.Time
	layoutKnown   bool // set by LayoutAgreed
	releasing     bool // set by ReleaseAll
	counts        Counts
}

// NewState returns a State without slots. The IDs of its transfer requests
// count up from firstID, which has to differ between incarnations of a VM.
func NewState(self vm.Member, layout Layout, firstID uint64) *State {
	s := &State{
		self: self, layout: layout, view: config.NewView(&config.Config{}),
		removed: map[string]bool{}, accounts: map[string]*account{},
		gathers: map[uint64]*gather{}, pending: map[uint64]*pendingTransfer{}, origins: map[uint64]*origin{}, lastTransferID: firstID,
	}
	for i := range layout.Shards {
		s.shards = append(s.shards, newShard(i, layout))
	}
	return s
}

// Counts are totals since the start of the process. Gathered counts requests
// admitted with tokens of other VMs, Late counts transfers dropped because they
// arrived too late, and Transfers counts transfers to other VMs.
type Counts struct {
	Admitted         int64 `json:"admitted"`
	Refused          int64 `json:"refused"`
	TooLarge         int64 `json:"toolarge"`
	Gathered         int64 `json:"gathered"`
	TransferRequests int64 `json:"asks"`
	Unanswered       int64 `json:"unheard"`
	Late             int64 `json:"late"`
	Transfers        int64 `json:"transfers"`
	Returns          int64 `json:"returns"`
}

// An account is this VM's bucket for one customer, together with the last known
// levels of the other VMs.
type account struct {
	bucket
	customer string
	shard    *shard
	limits   config.Rate
	// remote holds the last known levels of other VMs by VM ID.
	remote   map[string]remoteLevel
	lastUsed time.Time
	// lastBalance is when tokens were last requested for balancing.
	lastBalance time.Time
}

// A remoteLevel is the level of another VM's bucket at a time. Until retryAt no
// transfers are requested from that VM.
type remoteLevel struct {
	level   Cost
	at      time.Time
	retryAt time.Time
}

// account returns the account of a customer with its bucket advanced to now,
// or nil for an unknown customer. A new bucket gets the level to which it would
// have been refilled since its slots were acquired.
func (s *State) account(customer string, now time.Time) *account {
	a := s.accounts[customer]
	if a != nil {
		a.advance(now)
		a.lastUsed = now
		return a
	}
	c := s.view.Customer(customer)
	if c == nil {
		return nil
	}
	sh := s.shards[s.layout.Shard(customer)]
	a = &account{customer: customer, shard: sh, limits: c.Rate, remote: map[string]remoteLevel{}, lastUsed: now}
	a.at = now
	a.resize(s.layout.share(sh.active()), rateOf(c.Rate), burstOf(c.Rate), now)
	a.level = s.refilledLevel(sh, c, now)
	a.clip()
	s.accounts[customer] = a
	return a
}

// refilledLevel returns the level that the active slots of a shard add up to
// for a customer that has spent nothing since they were acquired.
func (s *State) refilledLevel(sh *shard, c *config.Customer, now time.Time) Cost {
	var sum Cost
	share := s.layout.share(1)
	for _, h := range sh.held {
		if h.active {
			sum = sum.Plus(h.level(c.Name, rateOf(c.Rate).Scale(share), burstOf(c.Rate).Scale(share), now))
		}
	}
	return sum
}

// resize sets an account's share to that of the active slots of its shard.
func (s *State) resize(a *account, now time.Time) {
	a.resize(s.layout.share(a.shard.active()), rateOf(a.limits), burstOf(a.limits), now)
}
