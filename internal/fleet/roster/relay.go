package roster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
)

// In a large fleet, updates go through relays, which are the first VMs of each data centre
// in an order that all VMs know. A VM sends its update to one relay of its data centre and
// gets from it what it has not got before; relays compare digests with each other. So each
// update reaches each VM about once and crosses the border of a data centre about once for
// each of its relays. Relays are no roles that are assigned: a VM that can't reach one uses
// the next, and a VM that counts as silent is no relay.

const (
	// relayCount is the number of relays of a data centre. The second is there for the
	// time until the loss of the first is noticed.
	relayCount = 2
	// roundsPerUpdate is the number of rounds in which a VM contacts others for each
	// update of its own entry.
	roundsPerUpdate = 3
	// minRelayInterval is the shortest time between two of these rounds, about that
	// between two exchanges of a VM of a small fleet, which contacts two in each round.
	minRelayInterval = 125 * time.Millisecond
	// repairRounds is the number of rounds between comparisons of digests with any VM of
	// the data centre, in case VMs disagree about the relays.
	repairRounds = 12
	// relayRetry is how long a relay that did not respond is not used.
	relayRetry = 5 * time.Second
	// localPushes is the number of VMs of its data centre to which a VM sends a change at
	// once. A relay of another data centre is told as well.
	localPushes = 3
)

// A relay is a VM that passes updates on.
type relay struct {
	peer.Destination
	dataCentre string
	rank       uint64
}

// relays returns the relays of all data centres, this VM among them if it is one, by data
// centre and rank. The caller holds mu.
func (t *Task) relays(now time.Time) []relay {
	self := &t.table.self
	all := []relay{{peer.Destination{VM: self.VM, Address: self.Peers}, self.DataCentre, Rank(self.VM)}}
	for _, m := range t.table.Members() {
		if m.Alive(now) && m.Entry.State != Leaving {
			all = append(all, relay{peer.Destination{VM: m.Entry.VM, Address: m.Entry.Peers}, m.Entry.DataCentre, m.rank})
		}
	}
	slices.SortFunc(all, func(a, b relay) int {
		return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.rank, b.rank), cmp.Compare(a.VM, b.VM))
	})
	var out []relay
	n := 0
	for i, r := range all {
		if i > 0 && all[i-1].dataCentre != r.dataCentre {
			n = 0
		}
		if n < relayCount {
			out = append(out, r)
		}
		n++
	}
	return out
}

// relayRound contacts one VM of a large fleet, and now and then others.
func (t *Task) relayRound(ctx context.Context, round int) {
	now := time.Now()
	t.mu.Lock()
	if round%roundsPerUpdate == 0 {
		t.table.UpdateSelf(t.opts.Describe)
	}
	pulled, compared := t.chooseRelay(round, now)
	t.mu.Unlock()
	if pulled != nil {
		go t.pull(ctx, *pulled)
	}
	for _, d := range compared {
		go t.exchangeDigest(ctx, d)
	}
}

// chooseRelay returns the relay from which to pull, unless this VM is a relay itself, and
// VMs with which to compare digests. The caller holds mu.
func (t *Task) chooseRelay(round int, now time.Time) (pulled *peer.Destination, compared []peer.Destination) {
	r := t.usedRelays(now)
	peers := t.choosePeers(round, 0)
	switch {
	case r.Self && len(r.Others) > 0:
		peers = append(peers, r.Others[rand.IntN(len(r.Others))])
	case !r.Self && len(r.Local) > 0:
		pulled = &r.Local[0]
	default:
		peers = append(peers, t.choosePeers(1, 1)...)
	}
	if neighbours := t.neighbours(now); !r.Self && round%repairRounds == repairRounds-1 && len(neighbours) > 0 {
		peers = append(peers, neighbours[rand.IntN(len(neighbours))])
	}
	return pulled, peers
}

// Relays are the relays of a large fleet as a VM uses them, without those that did not
// respond to it lately.
type Relays struct {
	// Local holds the other relays of its data centre, the one to use first, and Others
	// those of all data centres.
	Local, Others []peer.Destination
	// Self reports whether the VM is a relay.
	Self bool
}

// Relays returns the relays that this VM uses.
func (t *Task) Relays() Relays {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usedRelays(time.Now())
}

// usedRelays is Relays for a caller that holds mu.
func (t *Task) usedRelays(now time.Time) (out Relays) {
	self := &t.table.self
	var local []relay
	for _, r := range t.relays(now) {
		switch {
		case r.VM == self.VM:
			out.Self = true
		case now.Before(t.failedUntil[r.VM]):
		default:
			out.Others = append(out.Others, r.Destination)
			if r.dataCentre == self.DataCentre {
				local = append(local, r)
			}
		}
	}
	// The VMs of a data centre divide themselves among its relays.
	rank := Rank(self.VM)
	slices.SortFunc(local, func(a, b relay) int { return cmp.Compare(a.rank^rank, b.rank^rank) })
	for _, r := range local {
		out.Local = append(out.Local, r.Destination)
	}
	return out
}

// neighbours returns the other live VMs of this VM's data centre. The caller holds mu.
func (t *Task) neighbours(now time.Time) []peer.Destination {
	var out []peer.Destination
	for _, m := range t.table.Members() {
		if m.Alive(now) && m.Entry.DataCentre == t.table.self.DataCentre {
			out = append(out, peer.Destination{VM: m.Entry.VM, Address: m.Entry.Peers})
		}
	}
	return out
}

// pull sends this VM's entry to a relay and merges the entries that the relay has not sent
// to it before.
func (t *Task) pull(ctx context.Context, from peer.Destination) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	t.mu.Lock()
	own := t.table.self
	t.mu.Unlock()
	var in Exchange
	err := t.opts.Peers.Call(ctx, from, CallExchange, Exchange{Entries: []Entry{own}, Pull: true}, &in)
	t.mu.Lock()
	if err != nil {
		t.failedUntil[from.VM] = time.Now().Add(relayRetry)
	} else {
		delete(t.failedUntil, from.VM)
	}
	t.mu.Unlock()
	switch {
	case err != nil:
	case len(in.Entries) == 0:
		// There is hardly ever nothing new, unless the relay is of a build that does not
		// know this request.
		t.exchangeDigest(ctx, from)
	default:
		t.merge(from.VM, in.Entries)
	}
}

// push sends this VM's entry at once to some VMs of its data centre and to a relay of
// another one. A VM that learns of a change by it sends its own entry in turn.
func (t *Task) push(ctx context.Context) {
	now := time.Now()
	t.mu.Lock()
	t.table.UpdateSelf(t.opts.Describe)
	own := t.table.self
	local := t.neighbours(now)
	var foreign []peer.Destination
	for _, r := range t.relays(now) {
		if r.dataCentre != own.DataCentre {
			foreign = append(foreign, r.Destination)
		}
	}
	t.mu.Unlock()
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	to := local[:min(localPushes, len(local))]
	if len(foreign) > 0 {
		to = append(to, foreign[rand.IntN(len(foreign))])
	}
	for _, d := range to {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			// What is lost here is in a later round.
			_ = t.opts.Peers.Call(ctx, d, CallExchange, Exchange{Entries: []Entry{own}}, &Exchange{})
		}()
	}
}
