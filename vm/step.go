package vm

import (
	"slices"
	"time"
)

const (
	// ProbePeriod is the time between two probes of a VM.
	ProbePeriod = time.Second
	// probeTimeout limits the time of a probe.
	probeTimeout = 500 * time.Millisecond
	// indirectTimeout limits the time of a probe through a third VM.
	indirectTimeout = 2 * probeTimeout
	// suspicionTime is how long a member stays Suspect before it is Down.
	suspicionTime = 4 * time.Second
	// maxHelpers is the maximum number of third VMs asked for an indirect probe
	// after a direct one failed.
	maxHelpers = 3
	// One probe in remoteProbeEvery goes to another data centre.
	remoteProbeEvery = 4
	// One probe in downProbeEvery goes to a member that is Down.
	downProbeEvery = 5
	// joinFanout is the number of VMs without a record probed at once while many
	// are unknown.
	joinFanout = 3
	// If more than one in unknownShare of the listed VMs have no record,
	// joinFanout of them are probed at once.
	unknownShare = 4
	// joinPeriods is the number of probe periods after its start in which a VM
	// requests the records of all members.
	joinPeriods = 30
	// leaveFanout is the number of VMs notified at once when this VM leaves.
	leaveFanout = 16
)

// An effect is an action for the task to perform: sendProbe or sendIndirect.
type effect interface{ effect() }

// A sendProbe requests a probe of a VM.
type sendProbe struct {
	to    Member
	probe Probe
}

// A sendIndirect requests probes of a member by third VMs.
type sendIndirect struct {
	member  Member
	helpers []Member
}

func (sendProbe) effect()    {}
func (sendIndirect) effect() {}

// tick expires suspicions and starts the probes of one period.
func (m *membership) tick(now time.Time) []effect {
	m.expireSuspicions(now)
	m.periods++
	var effects []effect
	effects = append(effects, m.probeUnknown()...)
	if to, ok := m.chooseMember(); ok {
		effects = append(effects, sendProbe{to: to})
	}
	return m.addUpdates(effects)
}

// addUpdates adds the record version of this VM and the next updates to probes.
func (m *membership) addUpdates(effects []effect) []effect {
	for i, e := range effects {
		if p, ok := e.(sendProbe); ok {
			p.probe.RecordVersion = m.self.RecordVersion()
			p.probe.Updates = m.nextUpdates(p.to.ID)
			if p.probe.Join || p.probe.WantRecord {
				p.probe.Updates = append(p.probe.Updates, Update{Member: m.self})
			}
			effects[i] = p
		}
	}
	return effects
}

// probeUnknown probes some listed VMs without a record. It requests the records
// of all members during the first joinPeriods, and later only that of the
// probed VM.
func (m *membership) probeUnknown() []effect {
	list := m.unknownVMs()
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	fanout := 1
	if len(list)*unknownShare > len(m.listed) {
		fanout = joinFanout
	}
	join := m.periods < joinPeriods
	var effects []effect
	for _, to := range list[:min(len(list), fanout)] {
		effects = append(effects, sendProbe{to: to, probe: Probe{Join: join, WantRecord: !join}})
	}
	return effects
}

// chooseMember returns the member to probe in this period.
func (m *membership) chooseMember() (Member, bool) {
	local, remote, down := m.groupMembers()
	var id string
	switch {
	case len(down) > 0 && m.periods%downProbeEvery == 0:
		id = down[m.rng.IntN(len(down))]
	case len(local) == 0 || len(remote) > 0 && m.periods%remoteProbeEvery == 0:
		id = m.remote.next(remote, m.rng)
	default:
		id = m.local.next(local, m.rng)
	}
	if id == "" && len(down) > 0 {
		id = down[m.rng.IntN(len(down))]
	}
	if id == "" {
		return Member{}, false
	}
	return m.others[id].Member, true
}

// groupMembers returns the ids of the other members, sorted: those in the data
// centre of this VM, those in others, and those that are Down.
func (m *membership) groupMembers() (local, remote, down []string) {
	for _, id := range m.ids() {
		s := m.others[id]
		switch {
		case s.Health == Down:
			down = append(down, id)
		case s.Member.DataCentre == m.self.DataCentre:
			local = append(local, id)
		default:
			remote = append(remote, id)
		}
	}
	return local, remote, down
}

// expireSuspicions sets members to Down that were Suspect for suspicionTime and
// have enough accusers.
func (m *membership) expireSuspicions(now time.Time) {
	for _, id := range m.ids() {
		s := m.others[id]
		if s.Health != Suspect || now.Sub(s.suspectSince) < suspicionTime {
			continue
		}
		if len(s.Accusers) >= min(minAccusers, max(len(m.others), 1)) {
			m.recordFailure(s, Down, nil, now)
		}
	}
}

// handleProbe applies a probe from another VM and returns the reply.
func (m *membership) handleProbe(from string, p Probe, now time.Time) ProbeReply {
	s := m.others[from]
	suspected := s != nil && s.Health != Alive
	var reply ProbeReply
	if suspected {
		reply.Updates = append(reply.Updates, s.Update)
	}
	m.applyAll(p.Updates, now)
	s = m.others[from]
	reply.WantRecord = s == nil || s.Member.RecordVersion().Before(p.RecordVersion)
	if s != nil && s.Member.Incarnation == p.RecordVersion.Incarnation {
		m.clearSuspicion(from, now)
		m.updateConfig(from, p.Report)
	}
	switch {
	case p.Join:
		reply.Updates = append(reply.Updates, m.allUpdates()...)
	case p.WantRecord:
		reply.Updates = append(reply.Updates, Update{Member: m.self})
	default:
		reply.Updates = append(reply.Updates, m.nextUpdates(from)...)
	}
	reply.RecordVersion = m.self.RecordVersion()
	return reply
}

// applyAll applies a list of updates, of which the newest is the first.
func (m *membership) applyAll(list []Update, now time.Time) {
	for _, u := range slices.Backward(list) {
		m.apply(u, now)
	}
}

// handleReply applies the reply to a probe that was sent at the given time. A
// reply that took far longer than the timeout waited in a buffer while this VM
// was paused, and does not count as reachability.
func (m *membership) handleReply(to Member, r ProbeReply, sent, now time.Time) []effect {
	if now.Sub(sent) <= 2*probeTimeout {
		m.recordOutcome(to.ID, true, now)
	}
	if len(r.Updates) > maxUpdates+1 {
		m.applySnapshot(r.Updates, now)
	} else {
		m.applyAll(r.Updates, now)
	}
	s := m.others[to.ID]
	if s != nil && s.Member.Incarnation == r.RecordVersion.Incarnation {
		m.clearSuspicion(to.ID, now)
		m.updateConfig(to.ID, r.Report)
	}
	if s == nil || s.Member.RecordVersion().Before(r.RecordVersion) {
		return m.addUpdates([]effect{sendProbe{to: to, probe: Probe{WantRecord: true}}})
	}
	if r.WantRecord {
		p := Probe{RecordVersion: m.self.RecordVersion(), Updates: []Update{{Member: m.self}}}
		return []effect{sendProbe{to: to, probe: p}}
	}
	return nil
}

func (m *membership) updateConfig(id string, r VersionReport) {
	s := m.others[id]
	s.Member.Config = max(s.Member.Config, r.Version)
}

// handleFailure applies the failure of a probe that was sent at the given time.
// A probe that took far longer than its timeout shows only that this VM was
// paused.
func (m *membership) handleFailure(to Member, sent, now time.Time) []effect {
	if now.Sub(sent) > 2*probeTimeout {
		return nil
	}
	s := m.others[to.ID]
	if s == nil || s.Health == Down {
		return nil
	}
	m.recordOutcome(to.ID, false, now)
	helpers := m.chooseHelpers(to.ID)
	if len(helpers) == 0 {
		m.recordFailure(s, Suspect, []string{m.self.ID}, now)
		return nil
	}
	return []effect{sendIndirect{member: to, helpers: helpers}}
}

// chooseHelpers returns up to maxHelpers live members of any data centre to
// probe a member indirectly.
func (m *membership) chooseHelpers(memberID string) []Member {
	var ids []string
	for _, id := range m.ids() {
		if id != memberID && m.others[id].Health == Alive {
			ids = append(ids, id)
		}
	}
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var list []Member
	for _, id := range ids[:min(len(ids), maxHelpers)] {
		list = append(list, m.others[id].Member)
	}
	return list
}

// A helperResult is the outcome of an indirect probe through one third VM, which
// may not have responded.
type helperResult struct {
	helper    string
	responded bool
	reached   bool
}

// handleHelperResults applies the results of indirect probes of a member. One
// third VM that reached it is enough against a suspicion. If no third VM
// responds, the member is not suspected, since it may be this VM that is
// disconnected.
func (m *membership) handleHelperResults(id string, results []helperResult, sent, now time.Time) {
	if now.Sub(sent) > 2*indirectTimeout {
		return
	}
	accusers := []string{m.self.ID}
	reached := false
	for _, r := range results {
		m.recordOutcome(r.helper, r.responded, now)
		reached = reached || r.reached
		if r.responded && !r.reached {
			accusers = append(accusers, r.helper)
		}
	}
	s := m.others[id]
	if s == nil || reached || len(accusers) < minAccusers {
		return
	}
	m.recordFailure(s, Suspect, accusers, now)
}

// announceLeaving sends the record of this VM to some VMs at once when it
// leaves.
func (m *membership) announceLeaving() []effect {
	ids := slices.Clone(m.ids())
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var effects []effect
	for _, id := range ids[:min(len(ids), leaveFanout)] {
		p := Probe{RecordVersion: m.self.RecordVersion(), Updates: []Update{{Member: m.self}}}
		effects = append(effects, sendProbe{to: m.others[id].Member, probe: p})
	}
	return effects
}

// handleReplaced sets a member to Down because another VM responds at its
// address: callers do not reach the member there either.
func (m *membership) handleReplaced(to Member, now time.Time) {
	if s := m.others[to.ID]; s != nil && s.Member.Peer == to.Peer {
		m.recordFailure(s, Down, []string{m.self.ID}, now)
	}
}
