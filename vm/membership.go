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
	// maxAccusers is the maximum number of accusers kept for a suspicion.
	maxAccusers = 3
	// minAccusers is the number of VMs whose probes must have failed before
	// indirect probes make a member Suspect, and before a Suspect member is
	// Down.
	minAccusers = 2
	// maxUpdates is the maximum number of gossiped updates in one message.
	maxUpdates = 6
	// extraTransmissions plus the binary logarithm of the number of members is
	// how many times an update is sent.
	extraTransmissions = 4
	// broadcastPeriods is the number of probe periods after which an update is
	// no longer sent.
	broadcastPeriods = 20
)

// A memberState is the record and the health of another member.
type memberState struct {
	Update
	// suspectSince is when the health became Suspect, or when the current record
	// arrived.
	suspectSince time.Time
	// lastMessage is when a message of the member last arrived.
	lastMessage time.Time
}

// A broadcast is an update that is still to be sent to other VMs.
type broadcast struct {
	id       string
	sent     int
	queuedAt int // probe period
}

// A membership is the state machine of the membership protocol. It performs no
// I/O and reads no clock.
type membership struct {
	self       Member
	others     map[string]*memberState
	listed     map[string]store.VMRecord
	listRead   bool                // the list has been read
	removedIDs map[string]struct{} // were listed and no longer are
	broadcasts []broadcast
	local      roundRobin
	remote     roundRobin
	periods    int
	outcomes   []outcome
	rng        *rand.Rand
}

// newMembership returns the state of a VM without other members.
func newMembership(self Member, seed uint64) *membership {
	return &membership{
		self:       self,
		others:     map[string]*memberState{},
		listed:     map[string]store.VMRecord{},
		removedIDs: map[string]struct{}{},
		rng:        rand.New(rand.NewPCG(seed, hash(self.ID))),
	}
}

// setListed applies a new version of the platform's list. A VM that was listed
// and no longer is has ended, and its id is never reused.
func (m *membership) setListed(records []store.VMRecord) {
	listed := make(map[string]store.VMRecord, len(records))
	for _, r := range records {
		listed[r.ID] = r
	}
	removed := maps.Clone(m.removedIDs)
	for id := range m.listed {
		if _, ok := listed[id]; !ok {
			removed[id] = struct{}{}
			delete(m.others, id)
		}
	}
	m.listed, m.listRead, m.removedIDs = listed, true, removed
}

func (m *membership) removed(id string) bool {
	_, removed := m.removedIDs[id]
	return removed
}

// apply merges one update.
func (m *membership) apply(u Update, now time.Time) {
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
		m.others[id] = &memberState{Update: truncateAccusers(u), suspectSince: now}
		m.enqueue(id)
		return
	}
	invariant.Check(old.Member.ID == id, "member-id", "%s is kept as %s", old.Member.ID, id)
	if u.Member.RecordVersion().Before(old.Member.RecordVersion()) {
		return
	}
	if old.Member.RecordVersion().Before(u.Member.RecordVersion()) {
		config := max(old.Member.Config, u.Member.Config)
		old.Update, old.suspectSince = truncateAccusers(u), now
		old.Member.Config = config
		m.enqueue(id)
		return
	}
	m.recordFailure(old, u.Health, u.Accusers, now)
}

// refute publishes a newer record of this VM if u reports its current process
// as Suspect or Down.
func (m *membership) refute(u Update) {
	if u.Health == Alive || u.Member.Incarnation != m.self.Incarnation {
		return
	}
	if u.Member.Sequence < m.self.Sequence || u.Member.Sequence == math.MaxUint64 {
		return
	}
	m.self.Sequence = u.Member.Sequence + 1
	m.enqueue(m.self.ID)
}

// recordFailure raises the health of a member's current record to health, if it
// is worse, and adds accusers.
func (m *membership) recordFailure(s *memberState, health Health, accusers []string, now time.Time) {
	changed := false
	if health > s.Health {
		if s.Health == Alive {
			s.suspectSince = now
		}
		s.Health = health
		changed = true
	}
	for _, id := range accusers {
		if len(s.Accusers) < maxAccusers && !slices.Contains(s.Accusers, id) {
			s.Accusers = append(s.Accusers, id)
			changed = true
		}
	}
	if changed {
		m.enqueue(s.Member.ID)
	}
}

// clearSuspicion sets a member to Alive after a message from the member itself.
func (m *membership) clearSuspicion(id string, now time.Time) {
	s := m.others[id]
	if s == nil {
		return
	}
	s.lastMessage = now
	s.Health = Alive
	s.Accusers = nil
}

// setState sets the lifecycle state of this VM and queues its new record.
func (m *membership) setState(state string) {
	if m.self.State == state {
		return
	}
	m.self.State = state
	m.self.Sequence++
	m.enqueue(m.self.ID)
}

// enqueue queues the current record of a member for the next messages, before
// those that are already queued.
func (m *membership) enqueue(id string) {
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b broadcast) bool { return b.id == id })
	m.broadcasts = slices.Insert(m.broadcasts, 0, broadcast{id: id, queuedAt: m.periods})
}

// applySnapshot merges the records of all members without queueing them, since
// the VM that sent them received them by gossip.
func (m *membership) applySnapshot(list []Update, now time.Time) {
	queued := slices.Clone(m.broadcasts)
	for _, u := range list {
		m.apply(u, now)
	}
	m.broadcasts = queued
}

// nextUpdates returns the updates for one message to a VM, those sent the fewest
// times first and the newest first among these.
func (m *membership) nextUpdates(receiver string) []Update {
	var list []Update
	if s := m.others[receiver]; s != nil && s.Health != Alive {
		list = append(list, s.Update)
	}
	limit := extraTransmissions + int(math.Log2(float64(len(m.others)+1)))
	sort.SliceStable(m.broadcasts, func(i, j int) bool { return m.broadcasts[i].sent < m.broadcasts[j].sent })
	remaining := m.broadcasts[:0]
	for _, b := range m.broadcasts {
		if u, ok := m.update(b.id); ok && len(list) < maxUpdates && b.id != receiver {
			list = append(list, u)
			b.sent++
		}
		if b.sent < limit && m.periods-b.queuedAt < broadcastPeriods {
			remaining = append(remaining, b)
		}
	}
	m.broadcasts = remaining
	return list
}

// update returns the current record of a member as an Update.
func (m *membership) update(id string) (Update, bool) {
	if id == m.self.ID {
		return Update{Member: m.self}, true
	}
	s := m.others[id]
	if s == nil {
		return Update{}, false
	}
	return s.Update, true
}

// allUpdates returns the records of all members, for a VM that joins.
func (m *membership) allUpdates() []Update {
	list := []Update{{Member: m.self}}
	for _, id := range m.ids() {
		list = append(list, m.others[id].Update)
	}
	return list
}

// ids returns the ids of the other members, sorted.
func (m *membership) ids() []string {
	ids := make([]string, 0, len(m.others))
	for id := range m.others {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// unknownVMs returns the listed VMs without a record, with the address at which
// their peer port is expected, sorted by id.
func (m *membership) unknownVMs() []Member {
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
func (m *membership) peerAddress(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address
	}
	_, port, err := net.SplitHostPort(m.self.Peer)
	if err != nil {
		return address
	}
	return net.JoinHostPort(address, port)
}

// truncateAccusers returns u with at most maxAccusers accusers.
func truncateAccusers(u Update) Update {
	u.Accusers = slices.Clone(u.Accusers[:min(len(u.Accusers), maxAccusers)])
	return u
}
