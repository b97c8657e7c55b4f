package limit

import (
	"maps"
	"slices"
	"time"
)

// responseTimeout is the time after which a gather stops waiting for the
// response to a transfer request.
const responseTimeout = 40 * time.Millisecond

// A pendingTransfer is a transfer request without a response so far. It is slow
// if its gather has stopped waiting for the response.
type pendingTransfer struct {
	gather  uint64
	to      string
	account *account
	at      time.Time
	slow    bool
}

// expired reports whether transferred tokens may no longer be spent.
func (p *pendingTransfer) expired(now time.Time) bool { return now.Sub(p.at) > TransferLifetime }

// requestTransfer requests tokens from another VM, for the gather g or, if g is
// nil, for balancing.
func (s *State) requestTransfer(a *account, g *gather, to string, need, spare Cost, now time.Time) Effect {
	s.lastTransferID++
	s.counts.TransferRequests++
	p := &pendingTransfer{to: to, account: a, at: now}
	if g != nil {
		p.gather = g.id
		g.outstanding++
	}
	s.pending[s.lastTransferID] = p
	// The known level is reduced by the requested amount until the response
	// arrives.
	remote := a.remote[to]
	remote.level = s.estimatedLevel(a, to, now).Minus(need)
	remote.at = now
	a.remote[to] = remote
	return SendTransferRequest{To: to, Request: TransferRequest{ID: s.lastTransferID, Customer: a.customer, Need: need.roundUp(), Spare: spare.roundDown()}}
}

// transferResult processes the result of a transfer request. Tokens that the
// gather doesn't need are added to the own bucket as far as it has room, and the
// rest is returned.
func (s *State) transferResult(e TransferResult, now time.Time) []Effect {
	p := s.pending[e.ID]
	if p == nil {
		s.counts.Late++
		return nil
	}
	delete(s.pending, e.ID)
	g := s.gathers[p.gather]
	if g != nil && !p.slow {
		g.outstanding--
	}
	var effects []Effect
	switch {
	case e.Failed:
		s.recordNoResponse(p, now)
	case p.expired(now):
		s.counts.Late++
	default:
		effects = s.acceptTransfer(p, g, e, now)
	}
	if g != nil {
		effects = append(effects, s.proceed(g, now)...)
	}
	return effects
}

// acceptTransfer processes a transfer that arrived in time.
func (s *State) acceptTransfer(p *pendingTransfer, g *gather, e TransferResult, now time.Time) []Effect {
	a := p.account
	received := e.Transfer.Given.sanitised()
	a.remote[p.to] = remoteLevel{level: e.Transfer.Left.sanitised(), at: now}
	if !e.Transfer.Holder {
		a.remote[p.to] = remoteLevel{at: now, retryAt: now.Add(retryPause)}
		a.shard.outdated = true
	}
	if received.IsZero() {
		return nil
	}
	var part Cost
	if g != nil {
		part = received.Min(g.missing())
	}
	a.advance(now)
	spare := a.deposit(received.Minus(part))
	if part.IsZero() {
		return []Effect{s.returnTokens(a, p.to, e.ID, spare)}
	}
	g.contributions = append(g.contributions, contribution{transferID: e.ID, from: p.to, amount: part, surplus: spare, requestedAt: p.at})
	return nil
}

// recordNoResponse records that a VM did not respond to a transfer request, so
// that it gets no further ones for a while.
func (s *State) recordNoResponse(p *pendingTransfer, now time.Time) {
	s.counts.Unanswered++
	p.account.remote[p.to] = remoteLevel{at: now, retryAt: now.Add(retryPause)}
}

// expirePending stops gathers from waiting for slow responses, and drops
// transfer requests that have expired.
func (s *State) expirePending(now time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(s.pending)) {
		p := s.pending[id]
		if !p.slow && now.Sub(p.at) >= responseTimeout {
			p.slow = true
			s.recordNoResponse(p, now)
			if g := s.gathers[p.gather]; g != nil {
				g.outstanding--
			}
		}
		if p.expired(now) {
			delete(s.pending, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.gathers)) {
		effects = append(effects, s.proceed(s.gathers[id], now)...)
	}
	return effects
}
