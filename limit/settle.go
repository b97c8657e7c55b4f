package limit

import "time"

// originRetention is the time after which a reservation that is still not
// settled no longer leads to refunds to other VMs.
const originRetention = 30 * time.Minute

// An origin records where the tokens of a reservation came from, if other VMs
// contributed to them. A refund is divided accordingly.
type origin struct {
	own           Cost
	contributions []contribution
	at            time.Time
}

// settle refunds the unused part of a reservation to the buckets from which its
// tokens came.
func (s *State) settle(e Settle, now time.Time) []Effect {
	from := s.origins[e.Reservation.ID]
	delete(s.origins, e.Reservation.ID)
	if s.accounts[e.Reservation.Customer] == nil {
		return nil
	}
	a := s.account(e.Reservation.Customer, now)
	refund := e.Reservation.Cost.Minus(e.Used.sanitised())
	key := transferKey{id: e.Reservation.ID}
	if from == nil {
		a.settle(key, refund)
		return nil
	}
	whole := from.own
	for _, c := range from.contributions {
		whole = whole.Plus(c.amount)
	}
	a.settle(key, proportion(refund, from.own, whole))
	var effects []Effect
	for _, c := range from.contributions {
		if part := proportion(refund, c.amount, whole).roundDown(); !part.IsZero() {
			ret := TransferReturn{ID: c.transferID, Customer: a.customer, Amount: part, Refund: true}
			effects = append(effects, SendTransferReturn{To: c.from, Return: ret})
		}
	}
	return effects
}

// proportion returns the amount scaled by the ratio of part to whole.
func proportion(amount, part, whole Cost) Cost {
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
func (s *State) dropOrigins(now time.Time) {
	for id, o := range s.origins {
		if now.Sub(o.at) > originRetention {
			delete(s.origins, id)
		}
	}
}
