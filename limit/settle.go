package limit

import "time"

// spendingMemory is how long a gathered reservation may run until its refund
// to other VMs is forgotten.
const spendingMemory = 30 * time.Minute

// A spending is where the tokens of a running reservation came from, if other
// VMs gave a part of them. Each VM keeps the right to the refund of its part.
type spending struct {
	own    Cost
	pieces []piece
	at     time.Time
}

// settle refunds what a request did not use to the buckets that it came from.
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

// partOf returns the share of an amount that a part has in the whole.
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

// forget drops the spendings of reservations that never settled.
func (s *State) forget(now time.Time) {
	for id, sp := range s.spent {
		if now.Sub(sp.at) > spendingMemory {
			delete(s.spent, id)
		}
	}
}
