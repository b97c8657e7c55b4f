package limit

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/vm"
)

// A State is all that a VM knows of limits: the slots that it holds, the
// accounts of customers and the gathers under way. It is changed by Step only.
type State struct {
	self   vm.Member
	layout Layout
	view   *config.View
	live   []vm.Member
	// candidates are those of the live VMs that may hold slots.
	candidates []candidate
	removed    map[string]bool
	shards     []*shard
	accounts   map[string]*account
	gathers    map[uint64]*gather
	asks       map[uint64]*pending
	spent      map[uint64]*spending
	lastAsk    uint64
	// settling is the number of slots that are held but not active yet.
	settling int
	// begun is when this VM reads the store first; tended when it last looked
	// after its slots.
	begun time.Time
	// expected is the number of VMs that the platform lists, and joined tells that
	// they have had time to be heard of.
	expected int
	joined   bool
	tended   time.Time
	evicted  time.Time
	agreed   bool // the fleet's layout is known
	leaving  bool
	counts   Counts
}

// NewState returns a State that holds nothing. The first number of its asks
// has to differ between incarnations.
func NewState(self vm.Member, layout Layout, firstAsk uint64) *State {
	s := &State{
		self: self, layout: layout, view: config.NewView(&config.Config{}),
		removed: map[string]bool{}, accounts: map[string]*account{},
		gathers: map[uint64]*gather{}, asks: map[uint64]*pending{}, spent: map[uint64]*spending{}, lastAsk: firstAsk,
	}
	for i := range layout.Shards {
		s.shards = append(s.shards, newShard(i, layout))
	}
	return s
}

// Counts are totals since the start of the process.
type Counts struct {
	Admitted  int64 `json:"admitted"`
	Refused   int64 `json:"refused"`
	TooLarge  int64 `json:"toolarge"`
	Gathered  int64 `json:"gathered"`
	Asks      int64 `json:"asks"`
	Unheard   int64 `json:"unheard"`
	Late      int64 `json:"late"`
	Transfers int64 `json:"transfers"`
	Returns   int64 `json:"returns"`
}

// An account is what this VM holds of one customer, and what it believes of
// the others.
type account struct {
	bucket
	customer string
	shard    *shard
	limits   config.Rate
	// hints is what other VMs held when last heard of.
	hints map[string]hint
	used  time.Time
	// balanced is when tokens were last asked for without need.
	balanced time.Time
}

// A hint is what another VM held at a time. It is not asked before its back.
type hint struct {
	left Cost
	at   time.Time
	back time.Time
}

// account returns the account of a customer with its bucket advanced to now,
// or nil for an unknown customer. A bucket that is made now has been refilled
// since its slots were taken.
func (s *State) account(customer string, now time.Time) *account {
	a := s.accounts[customer]
	if a != nil {
		a.advance(now)
		a.used = now
		return a
	}
	c := s.view.Customer(customer)
	if c == nil {
		return nil
	}
	sh := s.shards[s.layout.Shard(customer)]
	a = &account{customer: customer, shard: sh, limits: c.Rate, hints: map[string]hint{}, used: now}
	a.at = now
	a.resize(s.layout.share(sh.active()), rateOf(c.Rate), burstOf(c.Rate), now)
	a.level = s.refilled(sh, c, now)
	a.clip()
	s.accounts[customer] = a
	return a
}

// refilled returns what the active slots of a shard hold of a customer that
// has spent nothing since they were taken.
func (s *State) refilled(sh *shard, c *config.Customer, now time.Time) Cost {
	var sum Cost
	share := s.layout.share(1)
	for _, h := range sh.held {
		if h.active {
			sum = sum.Plus(h.level(c.Name, rateOf(c.Rate).Scale(share), burstOf(c.Rate).Scale(share), now))
		}
	}
	return sum
}

// resize gives an account the share that its slots stand for now.
func (s *State) resize(a *account, now time.Time) {
	a.resize(s.layout.share(a.shard.active()), rateOf(a.limits), burstOf(a.limits), now)
}
