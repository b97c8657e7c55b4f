package limit

import "time"

// originRetention is the time after which a reservation that is still not
// settled no longer leads to refunds to other VMs.
const spendingMemory = 30 * time.Minute

// An origin records where the tokens of a reservation came from, if other VMs
// contributed to them. A refund is divided accordingly.
type spending struct {
	own    Cost
	pieces []piece
	at     time.Time
}

// settle refunds the unused part of a reservation to the buckets from which its
// tokens came.
func (s *State) settle(e Settle, now time.Time) []Effect {
	sp := s.spent[e.Reservation.ID]
	delete(s.spent, e.Reservation.ID)
	if s.accounts[e.Reservation.Customer] == nil {
		return nil
	}
	a := s.account(e.Reservation.Customer, now)
	refund := e.Reservation.Cost.Minus(e.Used.clean())
	key := askKey{id: e.Reservation.ID}
	if sp == nil {
		a.settle(key, refund)
		return nil
	}
	whole := sp.own
	for _, p := range sp.pieces {
		whole = whole.Plus(p.amount)
	}
	a.settle(key, partOf(refund, sp.own, whole))
	var effects []Effect
	for _, p := range sp.pieces {
		if part := partOf(refund, p.amount, whole).grainsDown(); !part.IsZero() {
			back := TransferReturn{ID: p.ask, Customer: a.customer, Amount: part, Refund: true}
			effects = append(effects, SendReturn{To: p.from, Return: back})
		}
	}
	return effects
}

// proportion returns the amount scaled by the ratio of part to whole.
func partOf(amount, part, whole Cost) Cost {
	var c Cost
	if whole.Requests > 0 {
		c.Requests = amount.Requests * part.Requests / whole.Requests
	}
	if whole.Tokens > 0 {
		c.Tokens = amount.Tokens * part.Tokens / whole.Tokens
	}
	return c
}

// dropOrigins drops the origins of reservations that were never settled.
func (s *State) forget(now time.Time) {
	for id, sp := range s.spent {
		if now.Sub(sp.at) > spendingMemory {
			delete(s.spent, id)
		}
	}
}
