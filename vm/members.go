package vm

import (
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// maxAccusers bounds the evidence that is kept for a suspicion.
	maxAccusers = 3
	// enoughAccusers is the number of VMs whose failed probes end in Down.
	enoughAccusers = 2
	// maxNews bounds the updates of one message.
	maxNews = 6
	// newsExtra and the binary logarithm of the number of members is how often
	// an update is sent.
	newsExtra = 4
	// newsRounds is the number of periods after which an update is not sent
	// any more.
	newsRounds = 20
)

// A known is a member and what is thought of it.
type known struct {
	Update
	// since is when the health became Suspect.
	since time.Time
	// heard is when a message of the member last arrived.
	heard time.Time
}

// A rumour is an update that is still to be sent to others.
type rumour struct {
	id   string
	sent int
	born int // in periods
}

// A members is the pure state of the membership: it does no input or output
// and reads no clock.
type members struct {
	self     Member
	others   map[string]*known
	listed   map[string]store.VMRecord
	gone     map[string]struct{} // listed once and not any more
	rumours  []rumour
	near     cycle
	far      cycle
	rounds   int
	outcomes []outcome
	rng      *rand.Rand
}

// newMembers returns the state of a VM that knows of itself only.
func newMembers(self Member, seed uint64) *members {
	return &members{
		self:   self,
		others: map[string]*known{},
		listed: map[string]store.VMRecord{},
		gone:   map[string]struct{}{},
		rng:    rand.New(rand.NewPCG(seed, hash(self.ID))),
	}
}

// list takes a new list of the platform. A VM that was listed and is not any
// more has ended, and its id does not come back.
func (m *members) list(records []store.VMRecord) {
	listed := make(map[string]store.VMRecord, len(records))
	for _, r := range records {
		listed[r.ID] = r
	}
	gone := maps.Clone(m.gone)
	for id := range m.listed {
		if _, still := listed[id]; !still {
			gone[id] = struct{}{}
			delete(m.others, id)
		}
	}
	m.listed, m.gone = listed, gone
}

func (m *members) removed(id string) bool {
	_, gone := m.gone[id]
	return gone
}

// apply merges one update.
func (m *members) apply(u Update, now time.Time) {
	id := u.Member.ID
	switch {
	case id == m.self.ID:
		m.refute(u)
		return
	case id == "" || u.Member.Incarnation == 0 || m.removed(id):
		return
	}
	old := m.others[id]
	if old == nil {
		m.others[id] = &known{Update: clip(u), since: now}
		m.spread(id)
		return
	}
	invariant.Check(old.Member.ID == id, "member-id", "%s is kept as %s", old.Member.ID, id)
	if u.Member.RecordVersion().Before(old.Member.RecordVersion()) {
		return
	}
	if old.Member.RecordVersion().Before(u.Member.RecordVersion()) {
		config := max(old.Member.Config, u.Member.Config)
		old.Update, old.since = clip(u), now
		old.Member.Config = config
		m.spread(id)
		return
	}
	m.accuse(old, u.Health, u.Accusers, now)
}

// refute answers an accusation of this VM with a newer record.
func (m *members) refute(u Update) {
	if u.Health == Alive || u.Member.Incarnation != m.self.Incarnation {
		return
	}
	if u.Member.Sequence < m.self.Sequence || u.Member.Sequence == math.MaxUint64 {
		return
	}
	m.self.Sequence = u.Member.Sequence + 1
	m.spread(m.self.ID)
}

// accuse adds evidence against the present record of a member.
func (m *members) accuse(k *known, health Health, accusers []string, now time.Time) {
	changed := false
	if health > k.Health {
		if k.Health == Alive {
			k.since = now
		}
		k.Health = health
		changed = true
	}
	for _, id := range accusers {
		if len(k.Accusers) < maxAccusers && !slices.Contains(k.Accusers, id) {
			k.Accusers = append(k.Accusers, id)
			changed = true
		}
	}
	if changed {
		m.spread(k.Member.ID)
	}
}

// alive withdraws a suspicion after a message of the member itself.
func (m *members) alive(id string, now time.Time) {
	k := m.others[id]
	if k == nil {
		return
	}
	k.heard = now
	k.Health = Alive
	k.Accusers = nil
}

// change sets the state of this VM and makes it news.
func (m *members) change(state string) {
	if m.self.State == state {
		return
	}
	m.self.State = state
	m.self.Sequence++
	m.spread(m.self.ID)
}

// spread puts the present record of a member on the next messages, before
// those that are already waiting.
func (m *members) spread(id string) {
	m.rumours = slices.DeleteFunc(m.rumours, func(r rumour) bool { return r.id == id })
	m.rumours = slices.Insert(m.rumours, 0, rumour{id: id, born: m.rounds})
}

// learn merges the records of all members, which need not be spread: the VM
// that sent them has them from others.
func (m *members) learn(list []Update, now time.Time) {
	waiting := slices.Clone(m.rumours)
	for _, u := range list {
		m.apply(u, now)
	}
	m.rumours = waiting
}

// news returns the updates for one message to a VM, the least sent ones first
// and of those the newest.
func (m *members) news(to string) []Update {
	var list []Update
	if k := m.others[to]; k != nil && k.Health != Alive {
		list = append(list, k.Update)
	}
	limit := newsExtra + int(math.Log2(float64(len(m.others)+1)))
	sort.SliceStable(m.rumours, func(i, j int) bool { return m.rumours[i].sent < m.rumours[j].sent })
	kept := m.rumours[:0]
	for _, r := range m.rumours {
		if u, ok := m.update(r.id); ok && len(list) < maxNews && r.id != to {
			list = append(list, u)
			r.sent++
		}
		if r.sent < limit && m.rounds-r.born < newsRounds {
			kept = append(kept, r)
		}
	}
	m.rumours = kept
	return list
}

// update returns the present record of a member as news.
func (m *members) update(id string) (Update, bool) {
	if id == m.self.ID {
		return Update{Member: m.self}, true
	}
	k := m.others[id]
	if k == nil {
		return Update{}, false
	}
	return k.Update, true
}

// all returns the records of all members, for a VM that joins.
func (m *members) all() []Update {
	list := []Update{{Member: m.self}}
	for _, id := range m.ids() {
		list = append(list, m.others[id].Update)
	}
	return list
}

// ids returns the ids of the other members, sorted.
func (m *members) ids() []string {
	ids := make([]string, 0, len(m.others))
	for id := range m.others {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// seeds returns the listed VMs that nothing is known of, with the address that
// their peer port is expected at, sorted by id.
func (m *members) seeds() []Member {
	var list []Member
	for id, r := range m.listed {
		if id == m.self.ID || m.others[id] != nil {
			continue
		}
		list = append(list, Member{ID: id, DataCentre: r.DataCentre, Peer: m.peerAddress(r.Address)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// peerAddress adds the port of this VM to an address that has none.
func (m *members) peerAddress(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address
	}
	_, port, err := net.SplitHostPort(m.self.Peer)
	if err != nil {
		return address
	}
	return net.JoinHostPort(address, port)
}

// clip bounds the evidence of an update.
func clip(u Update) Update {
	u.Accusers = slices.Clone(u.Accusers[:min(len(u.Accusers), maxAccusers)])
	return u
}
