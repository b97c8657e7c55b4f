package limit

import (
	"maps"
	"slices"
	"time"
)

// askPatience is the time after which an ask without an answer is no longer
// waited for.
const askPatience = 40 * time.Millisecond

// A pending is an ask that may still be answered. Slow tells that its gather
// does not wait for it any more.
type pending struct {
	gather  uint64
	to      string
	account *account
	at      time.Time
	slow    bool
}

// late tells whether what the ask brought may not be spent any more.
func (p *pending) late(now time.Time) bool { return now.Sub(p.at) > TransferLifetime }

// send makes one ask, for a gather or for none.
func (s *State) send(a *account, g *gather, to string, need, spare Cost, now time.Time) Effect {
	s.lastAsk++
	s.counts.Asks++
	p := &pending{to: to, account: a, at: now}
	if g != nil {
		p.gather = g.id
		g.waiting++
	}
	s.asks[s.lastAsk] = p
	// What is asked for is taken off the hint until the answer tells more.
	h := a.hints[to]
	h.left = s.believed(a, to, now).Minus(need)
	h.at = now
	a.hints[to] = h
	return SendAsk{To: to, Ask: TransferRequest{ID: s.lastAsk, Customer: a.customer, Need: need.grainsUp(), Spare: spare.grainsDown()}}
}

// answered takes the answer to an ask. What a gather does not need is kept as
// far as there is room, and the rest is sent back.
func (s *State) answered(e Answered, now time.Time) []Effect {
	p := s.asks[e.ID]
	if p == nil {
		s.counts.Late++
		return nil
	}
	delete(s.asks, e.ID)
	g := s.gathers[p.gather]
	if g != nil && !p.slow {
		g.waiting--
	}
	var effects []Effect
	switch {
	case e.Failed:
		s.unheard(p, now)
	case p.late(now):
		s.counts.Late++
	default:
		effects = s.receive(p, g, e, now)
	}
	if g != nil {
		effects = append(effects, s.proceed(g, now)...)
	}
	return effects
}

// receive takes a transfer that came in time.
func (s *State) receive(p *pending, g *gather, e Answered, now time.Time) []Effect {
	a := p.account
	given := e.Transfer.Given.clean()
	a.hints[p.to] = hint{left: e.Transfer.Left.clean(), at: now}
	if !e.Transfer.Home {
		a.hints[p.to] = hint{at: now, back: now.Add(askAgain)}
		a.shard.wrong = true
	}
	if given.IsZero() {
		return nil
	}
	var part Cost
	if g != nil {
		part = given.Min(g.missing())
	}
	a.advance(now)
	spare := a.keep(given.Minus(part))
	if part.IsZero() {
		return []Effect{s.sendBack(a, p.to, e.ID, spare)}
	}
	g.pieces = append(g.pieces, piece{ask: e.ID, from: p.to, amount: part, spare: spare, asked: p.at})
	return nil
}

// unheard notes that a VM did not answer.
func (s *State) unheard(p *pending, now time.Time) {
	s.counts.Unheard++
	p.account.hints[p.to] = hint{at: now, back: now.Add(askAgain)}
}

// expire ends waiting for slow answers and forgets asks that are too old.
func (s *State) expire(now time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(s.asks)) {
		p := s.asks[id]
		if !p.slow && now.Sub(p.at) >= askPatience {
			p.slow = true
			s.unheard(p, now)
			if g := s.gathers[p.gather]; g != nil {
				g.waiting--
			}
		}
		if p.late(now) {
			delete(s.asks, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.gathers)) {
		effects = append(effects, s.proceed(s.gathers[id], now)...)
	}
	return effects
}
