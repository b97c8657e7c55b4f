package limit

import (
	"encoding/json"
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
)

// maxHandoverLevels is the largest number of levels in a Handover, which bounds
// the size of a slot's record.
const maxHandoverLevels = 1024

// A Handover holds the levels of a slot at its release. Customers of the given
// version of the configuration that are not listed had their whole share of the
// burst. A Handover is valid only for the next term. The next holder of a slot
// that was not released starts with nothing.
type Handover struct {
	Term    int64           `json:"term"`
	Version int64           `json:"version"`
	Levels  map[string]Cost `json:"levels,omitempty"`
	// listedOnly means that customers that are not listed start with nothing.
	listedOnly bool
}

// encode returns the data to store with the record of a slot. A nil result
// leaves the data of an earlier term in place, which is not valid any more.
func (h *Handover) encode() []byte {
	if h == nil {
		return nil
	}
	data, err := json.Marshal(h)
	if err != nil {
		return nil
	}
	return data
}

// inheritedLevels returns the levels with which the holder of a lease starts,
// or nil if it starts with nothing. In the first term it starts with whole
// shares, because nobody has spent from the slot. If the handover was written
// under another version of the configuration, customers that are not listed
// start with nothing, because that version may not have included them.
func inheritedLevels(l lease.Lease, version int64) *Handover {
	if l.Term == 1 {
		return &Handover{}
	}
	var h Handover
	if err := json.Unmarshal(l.Data, &h); err != nil || h.Term != l.Term-1 {
		return nil
	}
	h.listedOnly = h.Version != version
	return &h
}

// level returns the level handed over for a customer. Its share of the burst is
// given as whole.
func (h *Handover) level(customer string, whole Cost) Cost {
	if h == nil {
		return Cost{}
	}
	level, listed := h.Levels[customer]
	switch {
	case !listed && h.listedOnly:
		return Cost{}
	case !listed:
		return whole
	}
	return level.sanitised().Min(whole)
}

// level returns the level of a customer that has spent nothing since the slot
// was acquired.
func (h *holding) level(customer string, rate, whole Cost, now time.Time) Cost {
	grown := rate.Scale(refillFactor * math.Max(0, now.Sub(h.activeFrom).Seconds()))
	return h.inherited.level(customer, whole).Plus(grown).Min(whole)
}

// handOver removes a slot's part from the accounts of its shard and returns it
// as a Handover, or nil if too many customers would have to be listed.
func (s *State) handOver(sh *shard, n int, now time.Time) *Handover {
	h := sh.held[n]
	handover := &Handover{Term: h.record.Lease.Term, Version: s.view.Version, Levels: map[string]Cost{}}
	share := s.layout.share(1)
	for i := range s.view.Customers {
		c := &s.view.Customers[i]
		if s.layout.Shard(c.Name) != sh.id {
			continue
		}
		whole := burstOf(c.Rate).Scale(share)
		part := s.withdrawSlot(sh, h, c.Name, rateOf(c.Rate).Scale(share), whole, now)
		if !part.Covers(whole) {
			handover.Levels[c.Name] = part
		}
	}
	if len(handover.Levels) > maxHandoverLevels {
		return nil
	}
	return handover
}

// withdrawSlot removes a slot's part from one customer's account and returns it.
func (s *State) withdrawSlot(sh *shard, h *holding, customer string, rate, whole Cost, now time.Time) Cost {
	a := s.accounts[customer]
	if a == nil || !h.active {
		return h.level(customer, rate, whole, now)
	}
	a.advance(now)
	part := a.level.Scale(1 / float64(sh.active())).Min(whole)
	a.level = a.level.Minus(part)
	return part
}
