package limit

import (
	"maps"
	"slices"
	"time"
)

// responseTimeout is the time after which a gather stops waiting for the
// response to a transfer request.
const askPatience = 40 * time.Millisecond

// A pendingTransfer is a transfer request without a response so far. It is slow
// if its gather has stopped waiting for the response.
type pending struct {
	gather  uint64
	to      string
	account *account
	at      time.Time
	slow    bool
}

// expired reports whether transferred tokens may no longer be spent.
func (p *pending) late(now time.Time) bool { return now.Sub(p.at) > TransferLifetime }

// requestTransfer requests tokens from another VM. It is on behalf of a gather
// unless g is nil.
func (s *State) send(a *account, g *gather, to string, need, spare Cost, now time.Time) Effect {
	s.lastAsk++
	s.counts.Asks++
	p := &pending{to: to, account: a, at: now}
	if g != nil {
		p.gather = g.id
		g.waiting++
	}
	s.asks[s.lastAsk] = p
	// The known level is reduced by the requested amount until the response
	// arrives.
	h := a.hints[to]
	h.left = s.believed(a, to, now).Minus(need)
	h.at = now
	a.hints[to] = h
	return SendAsk{To: to, Ask: TransferRequest{ID: s.lastAsk, Customer: a.customer, Need: need.grainsUp(), Spare: spare.grainsDown()}}
}

// transferResult processes the result of a transfer request. Tokens that the
// gather doesn't need are added to the own bucket as far as it has room, and the
// rest is returned.
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

// acceptTransfer processes a transfer that arrived in time.
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

// recordNoResponse records that a VM did not respond to a transfer request, so
// that it gets no further ones for a while.
func (s *State) unheard(p *pending, now time.Time) {
	s.counts.Unheard++
	p.account.hints[p.to] = hint{at: now, back: now.Add(askAgain)}
}

// expirePending stops gathers from waiting for slow responses, and drops transfer
// requests that have expired.
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
