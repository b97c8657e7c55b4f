package limit

import (
	"encoding/json"
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
)

// maxHandover is the largest number of customers whose levels go with a slot.
const maxHandover = 1024

// A Handover is what a slot held when its holder gave it back, under a version
// of the configuration. Customers of that version that are not listed had their
// whole share of the burst. It counts for the next term only: a holder that
// ends without giving back leaves nothing.
type Handover struct {
	Term    int64           `json:"term"`
	Version int64           `json:"version"`
	Levels  map[string]Cost `json:"levels,omitempty"`
	// listedOnly tells that customers that are not listed get nothing.
	listedOnly bool
}

// encode returns the data that goes with the record of a slot; nil leaves the
// data of an earlier term in place, which counts for nothing.
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

// inherited returns what a slot's new holder may begin with, or nil for
// nothing. Nobody has spent from a slot in its first term. Under another version
// of the configuration, a customer that is not listed may be one that the former
// holder did not know.
func inherited(l lease.Lease, version int64) *Handover {
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

// level returns what a slot held of a customer whose share of the burst is
// whole.
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
	return level.clean().Min(whole)
}

// level returns what a slot holds of a customer that has spent nothing since
// the slot was taken.
func (h *holding) level(customer string, rate, whole Cost, now time.Time) Cost {
	grown := rate.Scale(refillFactor * math.Max(0, now.Sub(h.from).Seconds()))
	return h.start.level(customer, whole).Plus(grown).Min(whole)
}

// handOver takes a slot's part out of the accounts of its shard and returns it,
// or nil if too many customers would have to be listed.
func (s *State) handOver(sh *shard, n int, now time.Time) *Handover {
	h := sh.held[n]
	out := &Handover{Term: h.record.Lease.Term, Version: s.view.Version, Levels: map[string]Cost{}}
	share := s.layout.share(1)
	for i := range s.view.Customers {
		c := &s.view.Customers[i]
		if s.layout.Shard(c.Name) != sh.id {
			continue
		}
		whole := burstOf(c.Rate).Scale(share)
		part := s.takeOut(sh, h, c.Name, rateOf(c.Rate).Scale(share), whole, now)
		if !part.Covers(whole) {
			out.Levels[c.Name] = part
		}
	}
	if len(out.Levels) > maxHandover {
		return nil
	}
	return out
}

// takeOut takes a slot's part out of one customer's account and returns it.
func (s *State) takeOut(sh *shard, h *holding, customer string, rate, whole Cost, now time.Time) Cost {
	a := s.accounts[customer]
	if a == nil || !h.active {
		return h.level(customer, rate, whole, now)
	}
	a.advance(now)
	part := a.level.Scale(1 / float64(sh.active())).Min(whole)
	a.level = a.level.Minus(part)
	return part
}
