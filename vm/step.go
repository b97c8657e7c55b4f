package vm

import (
	"slices"
	"time"
)

const (
	// ProbePeriod is the time between two probes of a VM.
	ProbePeriod = time.Second
	// probeTimeout bounds a probe.
	probeTimeout = 500 * time.Millisecond
	// indirectTimeout bounds a probe through a third VM.
	indirectTimeout = 2 * probeTimeout
	// suspicionTime is how long a member stays Suspect before it is Down.
	suspicionTime = 4 * time.Second
	// helpers is the number of third VMs asked after a failed probe.
	helpers = 3
	// farEvery is the share of probes that go to other data centres: one in
	// farEvery.
	farEvery = 4
	// downEvery is the share of probes that go to members that are Down.
	downEvery = 5
	// joinWidth is the number of seeds probed at once.
	joinWidth = 3
	// joinShare is the share of the listed VMs, one in joinShare, above which
	// unknown ones are probed several at once.
	joinShare = 4
	// joinRounds is the number of periods after its start in which a VM asks
	// for all members.
	joinRounds = 30
	// urgentWidth is the number of VMs told at once that this VM is leaving.
	urgentWidth = 16
)

// An effect is what the task is to do: sendProbe or sendIndirect.
type effect interface{ effect() }

// A sendProbe asks for a probe of a VM.
type sendProbe struct {
	to    Member
	probe Probe
}

// A sendIndirect asks third VMs to probe the target.
type sendIndirect struct {
	target  Member
	helpers []Member
}

func (sendProbe) effect()    {}
func (sendIndirect) effect() {}

// tick ends suspicions and starts the probes of one period.
func (m *members) tick(now time.Time) []effect {
	m.expire(now)
	m.rounds++
	var effects []effect
	effects = append(effects, m.meet()...)
	if to, ok := m.choose(); ok {
		effects = append(effects, sendProbe{to: to})
	}
	return m.filled(effects)
}

// filled adds the beat and the news to probes.
func (m *members) filled(effects []effect) []effect {
	for i, e := range effects {
		if p, ok := e.(sendProbe); ok {
			p.probe.RecordVersion = m.self.RecordVersion()
			p.probe.Updates = m.news(p.to.ID)
			if p.probe.Join || p.probe.WantRecord {
				p.probe.Updates = append(p.probe.Updates, Update{Member: m.self})
			}
			effects[i] = p
		}
	}
	return effects
}

// meet probes some listed VMs that nothing is known of. A VM that has started
// lately asks them for all members, and later for their own record.
func (m *members) meet() []effect {
	list := m.seeds()
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	width := 1
	if len(list)*joinShare > len(m.listed) {
		width = joinWidth
	}
	join := m.rounds < joinRounds
	var effects []effect
	for _, to := range list[:min(len(list), width)] {
		effects = append(effects, sendProbe{to: to, probe: Probe{Join: join, WantRecord: !join}})
	}
	return effects
}

// choose returns the member to probe in this period.
func (m *members) choose() (Member, bool) {
	near, far, down := m.groups()
	var id string
	switch {
	case len(down) > 0 && m.rounds%downEvery == 0:
		id = down[m.rng.IntN(len(down))]
	case len(near) == 0 || len(far) > 0 && m.rounds%farEvery == 0:
		id = m.far.next(far, m.rng)
	default:
		id = m.near.next(near, m.rng)
	}
	if id == "" && len(down) > 0 {
		id = down[m.rng.IntN(len(down))]
	}
	if id == "" {
		return Member{}, false
	}
	return m.others[id].Member, true
}

// groups returns the other members by data centre and health, sorted.
func (m *members) groups() (near, far, down []string) {
	for _, id := range m.ids() {
		k := m.others[id]
		switch {
		case k.Health == Down:
			down = append(down, id)
		case k.Member.DataCentre == m.self.DataCentre:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	return near, far, down
}

// expire turns suspicions with enough evidence into Down.
func (m *members) expire(now time.Time) {
	for _, id := range m.ids() {
		k := m.others[id]
		if k.Health != Suspect || now.Sub(k.since) < suspicionTime {
			continue
		}
		if len(k.Accusers) >= min(enoughAccusers, max(len(m.others), 1)) {
			m.accuse(k, Down, nil, now)
		}
	}
}

// answer takes a probe of another VM and returns the reply.
func (m *members) answer(from string, p Probe, now time.Time) ProbeReply {
	k := m.others[from]
	accused := k != nil && k.Health != Alive
	var reply ProbeReply
	if accused {
		reply.Updates = append(reply.Updates, k.Update)
	}
	m.hearAll(p.Updates, now)
	k = m.others[from]
	reply.WantRecord = k == nil || k.Member.RecordVersion().Before(p.RecordVersion)
	if k != nil && k.Member.Incarnation == p.RecordVersion.Incarnation {
		m.alive(from, now)
		m.heardConfig(from, p.Report)
	}
	switch {
	case p.Join:
		reply.Updates = append(reply.Updates, m.all()...)
	case p.WantRecord:
		reply.Updates = append(reply.Updates, Update{Member: m.self})
	default:
		reply.Updates = append(reply.Updates, m.news(from)...)
	}
	reply.RecordVersion = m.self.RecordVersion()
	return reply
}

// hearAll takes news, the newest first.
func (m *members) hearAll(list []Update, now time.Time) {
	for _, u := range slices.Backward(list) {
		m.apply(u, now)
	}
}

// probed takes the reply to a probe that was sent at the given time. One that
// took far longer than its timeout waited in a buffer during a pause of this VM,
// and does not tell that the other is in reach.
func (m *members) probed(to Member, r ProbeReply, sent, now time.Time) []effect {
	if now.Sub(sent) <= 2*probeTimeout {
		m.note(to.ID, true, now)
	}
	if len(r.Updates) > maxNews+1 {
		m.learn(r.Updates, now)
	} else {
		m.hearAll(r.Updates, now)
	}
	k := m.others[to.ID]
	if k != nil && k.Member.Incarnation == r.RecordVersion.Incarnation {
		m.alive(to.ID, now)
		m.heardConfig(to.ID, r.Report)
	}
	if k == nil || k.Member.RecordVersion().Before(r.RecordVersion) {
		return m.filled([]effect{sendProbe{to: to, probe: Probe{WantRecord: true}}})
	}
	if r.WantRecord {
		p := Probe{RecordVersion: m.self.RecordVersion(), Updates: []Update{{Member: m.self}}}
		return []effect{sendProbe{to: to, probe: p}}
	}
	return nil
}

func (m *members) heardConfig(id string, w VersionReport) {
	k := m.others[id]
	k.Member.Config = max(k.Member.Config, w.Version)
}

// missed takes the failure of a probe that was sent at the given time. A probe
// that took far longer than its timeout tells of a pause of this VM only.
func (m *members) missed(to Member, sent, now time.Time) []effect {
	if now.Sub(sent) > 2*probeTimeout {
		return nil
	}
	k := m.others[to.ID]
	if k == nil || k.Health == Down {
		return nil
	}
	m.note(to.ID, false, now)
	third := m.pickHelpers(to.ID)
	if len(third) == 0 {
		m.accuse(k, Suspect, []string{m.self.ID}, now)
		return nil
	}
	return []effect{sendIndirect{target: to, helpers: third}}
}

// pickHelpers returns some members that may reach the target, from its own
// data centre and others.
func (m *members) pickHelpers(target string) []Member {
	var ids []string
	for _, id := range m.ids() {
		if id != target && m.others[id].Health == Alive {
			ids = append(ids, id)
		}
	}
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var list []Member
	for _, id := range ids[:min(len(ids), helpers)] {
		list = append(list, m.others[id].Member)
	}
	return list
}

// A testimony is the answer of one third VM, or its silence.
type testimony struct {
	helper  string
	heard   bool
	reached bool
}

// testified takes the answers of third VMs about a target. One that reached it
// clears it. Silence of all third VMs is no evidence against the target, since
// this VM may be the one that is cut off.
func (m *members) testified(target string, list []testimony, sent, now time.Time) {
	if now.Sub(sent) > 2*indirectTimeout {
		return
	}
	accusers := []string{m.self.ID}
	reached := false
	for _, t := range list {
		m.note(t.helper, t.heard, now)
		reached = reached || t.reached
		if t.heard && !t.reached {
			accusers = append(accusers, t.helper)
		}
	}
	k := m.others[target]
	if k == nil || reached || len(accusers) < enoughAccusers {
		return
	}
	m.accuse(k, Suspect, accusers, now)
}

// leave tells some VMs at once that this VM is leaving.
func (m *members) leave() []effect {
	ids := slices.Clone(m.ids())
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var effects []effect
	for _, id := range ids[:min(len(ids), urgentWidth)] {
		p := Probe{RecordVersion: m.self.RecordVersion(), Updates: []Update{{Member: m.self}}}
		effects = append(effects, sendProbe{to: m.others[id].Member, probe: p})
	}
	return effects
}

// replaced takes the answer that another VM has the member's address: callers
// do not reach the member there either.
func (m *members) replaced(to Member, now time.Time) {
	if k := m.others[to.ID]; k != nil && k.Member.Peer == to.Peer {
		m.accuse(k, Down, []string{m.self.ID}, now)
	}
}
