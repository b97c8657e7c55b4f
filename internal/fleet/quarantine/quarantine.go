// Package quarantine finds contents of requests that crash the targets which answer
// them, and keeps them from further targets. Contents are the shared segments of
// prompts and whole requests, which callers repeat under other ids.
//
// A target that crashes loses all its requests, so one loss says little about one
// content. A content is quarantined when several targets were lost, one after the
// other, with unanswered requests that contain it, and none of its requests was
// answered in between. Contents of the same requests share these losses: they are
// blamed on the one that was answered least recently, and on a whole request rather
// than on its segments. VMs share what they observe, since each of them sees only some
// of the losses.
//
// A target that answers a request which it had before a loss has not crashed, so that
// the loss does not count.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
)

const (
	// threshold is the weight of losses from which a segment is quarantined.
	threshold = 3.0
	// answeringWeight is the weight of a loss of an engine that had begun to answer
	// the request, queuedWeight that of one that had not: most of the requests that
	// an engine loses are not those that crashed it.
	answeringWeight = 1.0
	queuedWeight    = 0.75
	// simultaneous is the time within which losses count once, since a failure of a
	// rack or a network loses many engines at once.
	simultaneous = 250 * time.Millisecond
	// quarantineTime is how long a segment is kept from engines after the last loss.
	quarantineTime = 10 * time.Minute
	// evidenceTime is how long losses are remembered, so that the first loss after a
	// quarantine starts another. Losses are accepted from other VMs up to half of it,
	// so that VMs do not send them to each other forever.
	evidenceTime = 2 * quarantineTime
	// answeredTime is how long other VMs are told that a suspected segment was
	// answered.
	answeredTime = 30 * time.Second
	// maxAnswered is the number of segments whose last answer is remembered.
	maxAnswered = 4096
	// maxSuspects is the number of suspected segments that are remembered, and
	// maxLosses that of the losses of each. maxReports and maxReportedLosses are the
	// numbers that other VMs are sent.
	maxSuspects       = 256
	maxLosses         = 64
	maxReports        = 16
	maxReportedLosses = 8
	// maxSegmentBytes is the length of the longest segment id that is remembered.
	maxSegmentBytes = 64
	// reportTime is how long after a loss other VMs are told of it if nothing is
	// quarantined for it. It bounds the updates after a crash, which leaves a loss for
	// each request that the target had.
	reportTime = time.Minute
	// crashSlack is how long after a loss bytes that the target sent before it may
	// still arrive.
	crashSlack = 500 * time.Millisecond
)

// requestPrefix distinguishes whole requests from segments, whose ids contain no colon.
const requestPrefix = "request:"

// Request returns the content that stands for a whole request with the given hash.
func Request(hash uint64) string { return requestPrefix + strconv.FormatUint(hash, 36) }

// IsRequest reports whether a content stands for a whole request.
func IsRequest(content string) bool { return strings.HasPrefix(content, requestPrefix) }

// A Report is what a VM knows of one content.
type Report struct {
	// Segment is the content: a segment's id, or what Request returns.
	Segment string `cbor:"1,keyasint"`
	Losses  []Loss `cbor:"2,keyasint,omitempty"`
	// AnsweredMS is the time since a request with the segment was last answered, in
	// milliseconds plus one; 0 if none was.
	AnsweredMS int64 `cbor:"3,keyasint,omitempty"`
}

// A Loss is an engine that was lost with an unanswered request.
type Loss struct {
	// Engine identifies one incarnation of an engine.
	Engine uint64 `cbor:"1,keyasint"`
	// Answering reports whether the engine had begun to answer the request.
	Answering bool `cbor:"2,keyasint,omitempty"`
	// AgeMS is the time since the loss in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
	// Disproved reports whether the engine had not crashed.
	Disproved bool `cbor:"4,keyasint,omitempty"`
	// Repeated reports whether the request had been sent after an earlier loss of it, so
	// that the two have no common cause but the request.
	Repeated bool `cbor:"5,keyasint,omitempty"`
}

// Engine returns the identity of an incarnation of an engine for a Loss.
func Engine(id string, born int64) uint64 {
	return xxhash.Sum64String(id) ^ uint64(born)*0x9e3779b97f4a7c15
}

// A List holds the suspected and quarantined segments known to one VM. It is safe
// for concurrent use.
type List struct {
	log log.Logger
	// count is the number of suspects, so that requests are not slowed down while
	// there are none.
	count atomic.Int64

	mu       sync.Mutex
	suspects map[string]*suspect
	// answered is when this VM last had an answer to a request with a segment.
	answered map[string]time.Time
}

type suspect struct {
	segment    string
	losses     map[uint64]loss
	answeredAt time.Time
	// until is the end of the quarantine; zero before it.
	until time.Time
}

type loss struct {
	at        time.Time
	answering bool
	// own reports whether this VM has lost a request itself.
	own bool
	// disproved reports whether the target went on after the loss.
	disproved bool
	// repeated reports whether the request had been sent after an earlier loss of it.
	repeated bool
}

// A Circumstance says how a target was lost with a request.
type Circumstance struct {
	// Answering reports whether the target had sent the header of its response, but no
	// event.
	Answering bool
	// Repeated reports whether the request was sent after an earlier loss of it.
	Repeated bool
}

// NewList returns an empty List.
func NewList(l log.Logger) *List {
	return &List{log: l, suspects: map[string]*suspect{}, answered: map[string]time.Time{}}
}

// RecordLoss records that an engine was lost with an unanswered request that
// has the given contents.
func (l *List) RecordLoss(contents []string, engine uint64, c Circumstance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, content := range contents {
		l.add(content, engine, loss{at: now, answering: c.Answering, repeated: c.Repeated && IsRequest(content), own: true})
	}
	l.judge(now)
}

// RecordAnswer records that an engine has answered a request that has the given
// contents, so that none of them crashes engines.
func (l *List) RecordAnswer(contents []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, content := range contents {
		l.remember(content, now)
		changed = l.answer(content, now) || changed
	}
	if changed {
		l.judge(now)
	}
}

// remember keeps the time of an answer to a request with a segment. Whole requests are
// too many, and few come again. The caller holds mu.
func (l *List) remember(content string, now time.Time) {
	if IsRequest(content) {
		return
	}
	if len(l.answered) >= maxAnswered {
		clear(l.answered)
	}
	l.answered[content] = now
}

// RecordAlive records that an engine has sent something in response to a request that
// was sent to it at the given time, so that no loss in between was a crash.
func (l *List) RecordAlive(engine uint64, sent, now time.Time) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, s := range l.suspects {
		// Only the time of an own loss is exact.
		lost, ok := s.losses[engine]
		if ok && lost.own && !lost.disproved && sent.Before(lost.at) && now.Sub(lost.at) > crashSlack {
			lost.disproved = true
			s.losses[engine] = lost
			changed = true
		}
	}
	if changed {
		l.judge(now)
	}
}

// Quarantined returns the content of a request that is quarantined and the time until
// the end of that, or false if there is none.
func (l *List) Quarantined(contents []string, now time.Time) (content string, left time.Duration, ok bool) {
	if l.count.Load() == 0 {
		return "", 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, content := range contents {
		if s, ok := l.suspects[content]; ok && now.Before(s.until) {
			return content, s.until.Sub(now), true
		}
	}
	return "", 0, false
}

// Merge adds what another VM reports. It reports whether a quarantine has begun, which
// other VMs should hear of soon.
func (l *List) Merge(reports []Report, now time.Time) (began bool) {
	if len(reports) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, r := range reports {
		for _, reported := range r.Losses {
			if age := time.Duration(reported.AgeMS) * time.Millisecond; age < evidenceTime/2 {
				changed = l.add(r.Segment, reported.Engine, loss{
					at: now.Add(-age), answering: reported.Answering, disproved: reported.Disproved, repeated: reported.Repeated,
				}) || changed
			}
		}
		if r.AnsweredMS > 0 {
			changed = l.answer(r.Segment, now.Add(-time.Duration(r.AnsweredMS)*time.Millisecond)) || changed
		}
	}
	return changed && l.judge(now)
}

// Reports returns what other VMs are told: the contents with the most losses first, and
// of these the ones with the latest.
func (l *List) Reports(now time.Time) []Report {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var told []*suspect
	for _, s := range l.suspects {
		if s.isNews(now) {
			told = append(told, s)
		}
	}
	slices.SortFunc(told, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.losses), len(a.losses)), b.lastLoss().Compare(a.lastLoss()), cmp.Compare(a.segment, b.segment))
	})
	var out []Report
	for _, s := range told[:min(len(told), maxReports)] {
		r := Report{Segment: s.segment}
		if !s.answeredAt.IsZero() {
			r.AnsweredMS = now.Sub(s.answeredAt).Milliseconds() + 1
		}
		for _, engine := range s.reportedLosses() {
			lost := s.losses[engine]
			r.Losses = append(r.Losses, Loss{
				Engine: engine, Answering: lost.answering, AgeMS: now.Sub(lost.at).Milliseconds(), Disproved: lost.disproved, Repeated: lost.repeated,
			})
		}
		out = append(out, r)
	}
	return out
}

// isNews reports whether other VMs are told of a content: it is quarantined, or the last
// loss or answer is recent.
func (s *suspect) isNews(now time.Time) bool {
	return now.Before(s.until) || now.Sub(s.lastLoss()) < reportTime || now.Sub(s.answeredAt) < answeredTime
}

// lastLoss returns the time of the last loss; zero if there is none.
func (s *suspect) lastLoss() time.Time {
	var last time.Time
	for _, lost := range s.losses {
		if lost.at.After(last) {
			last = lost.at
		}
	}
	return last
}

// reportedLosses returns the engines of the losses that other VMs are told: this VM's
// own first, of which it may be the only witness, and the newest first.
func (s *suspect) reportedLosses() []uint64 {
	engines := slices.SortedFunc(maps.Keys(s.losses), func(a, b uint64) int {
		x, y := s.losses[a], s.losses[b]
		if x.own != y.own {
			if x.own {
				return -1
			}
			return 1
		}
		return cmp.Or(y.at.Compare(x.at), cmp.Compare(a, b))
	})
	return engines[:min(len(engines), maxReportedLosses)]
}

// add adds a loss to a segment and reports whether that changed anything. Several
// VMs may report the same loss. The caller holds mu.
func (l *List) add(segment string, engine uint64, lost loss) bool {
	if len(segment) > maxSegmentBytes {
		return false
	}
	s, ok := l.suspects[segment]
	if !ok {
		l.makeRoom()
		s = &suspect{segment: segment, losses: map[uint64]loss{}, answeredAt: l.answered[segment]}
		l.suspects[segment] = s
	}
	known, repeated := s.losses[engine]
	switch {
	case !lost.at.After(s.answeredAt):
		return false
	case repeated:
		lost.answering = lost.answering || known.answering
		lost.own = lost.own || known.own
		lost.disproved = lost.disproved || known.disproved
		lost.repeated = lost.repeated || known.repeated
		if known.at.Before(lost.at) {
			lost.at = known.at
		}
	case len(s.losses) >= maxLosses:
		delete(s.losses, s.redundant())
	}
	s.losses[engine] = lost
	return !repeated || lost != known
}

// redundant returns the engine of the loss that follows another one most closely and
// therefore adds least to the weight.
func (s *suspect) redundant() uint64 {
	ordered := slices.SortedFunc(maps.Keys(s.losses), func(a, b uint64) int { return s.losses[a].at.Compare(s.losses[b].at) })
	closest := 1
	gap := func(i int) time.Duration { return s.losses[ordered[i]].at.Sub(s.losses[ordered[i-1]].at) }
	for i := range ordered {
		if i > 1 && gap(i) < gap(closest) {
			closest = i
		}
	}
	return ordered[closest]
}

// answer drops the losses of a segment up to a time at which it was answered, and
// reports whether there were any. The caller holds mu.
func (l *List) answer(segment string, at time.Time) bool {
	s, ok := l.suspects[segment]
	if !ok || !at.After(s.answeredAt) {
		return false
	}
	s.answeredAt = at
	before := len(s.losses)
	maps.DeleteFunc(s.losses, func(_ uint64, lost loss) bool { return !lost.at.After(at) })
	return len(s.losses) < before
}

// judge starts, extends and ends quarantines, and reports whether one has begun. A loss
// is blamed on a quarantined content rather than on one that was answered more recently,
// and on a whole request rather than on a segment that was answered no more recently.
// The caller holds mu.
func (l *List) judge(now time.Time) (began bool) {
	l.count.Store(int64(len(l.suspects)))
	ordered := slices.SortedFunc(maps.Values(l.suspects), func(a, b *suspect) int {
		return cmp.Or(a.answeredAt.Compare(b.answeredAt), cmp.Compare(a.breadth(), b.breadth()))
	})
	blamed := map[uint64]blame{}
	for _, s := range ordered {
		weight, last := s.weigh(blamed)
		until := last.Add(quarantineTime)
		quarantined := now.Before(s.until)
		switch {
		case weight < threshold:
			if quarantined {
				_ = l.log.Log("msg", s.noun()+" released", "segment", s.segment, "losses", len(s.losses), "weight", weight)
			}
			s.until = time.Time{}
			continue
		case !quarantined && now.Before(until):
			began = true
			_ = l.log.Log("msg", s.noun()+" quarantined", "segment", s.segment, "losses", len(s.losses), "weight", weight, "for", until.Sub(now))
		}
		s.until = until
		for engine := range s.losses {
			if _, ok := blamed[engine]; !ok {
				blamed[engine] = blame{s.answeredAt, IsRequest(s.segment)}
			}
		}
	}
	return began
}

// noun names a content in the log.
func (s *suspect) noun() string {
	if IsRequest(s.segment) {
		return "request"
	}
	return "prompt segment"
}

// breadth orders contents by how many requests they stand for: one or several.
func (s *suspect) breadth() int {
	if IsRequest(s.segment) {
		return 1
	}
	return 2
}

// A blame is what a loss is blamed on: when that was last answered, and whether it is a
// whole request.
type blame struct {
	answeredAt time.Time
	request    bool
}

// weigh returns the weight of the losses that are not blamed on a content that was
// answered less recently, and the time of the last one. Losses at about the same time
// count once, except for those of repeated requests. If all losses are blamed on whole
// requests, none of them tells anything about a segment of these.
func (s *suspect) weigh(blamed map[uint64]blame) (weight float64, last time.Time) {
	var own []loss
	others := IsRequest(s.segment)
	for engine, lost := range s.losses {
		b, ok := blamed[engine]
		if lost.disproved || ok && b.answeredAt.Before(s.answeredAt) {
			continue
		}
		own = append(own, lost)
		others = others || !ok || !b.request
	}
	if !others {
		return 0, last
	}
	slices.SortFunc(own, func(a, b loss) int { return a.at.Compare(b.at) })
	var start time.Time
	counted := 0.0
	for _, lost := range own {
		if lost.at.Sub(start) >= simultaneous || lost.repeated {
			start, counted = lost.at, 0
		}
		value := queuedWeight
		if lost.answering {
			value = answeringWeight
		}
		if value > counted {
			weight += value - counted
			counted = value
		}
		last = lost.at
	}
	return weight, last
}

// expire drops evidence that is too old. The caller holds mu.
func (l *List) expire(now time.Time) {
	for segment, s := range l.suspects {
		maps.DeleteFunc(s.losses, func(_ uint64, lost loss) bool { return now.Sub(lost.at) > evidenceTime })
		if len(s.losses) == 0 && now.Sub(s.answeredAt) > answeredTime {
			delete(l.suspects, segment)
		}
	}
	l.count.Store(int64(len(l.suspects)))
}

// makeRoom drops the suspect with the fewest losses, and of these the one with the
// earliest, if there are too many. The caller holds mu.
func (l *List) makeRoom() {
	if len(l.suspects) < maxSuspects {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Values(l.suspects)), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(a.losses), len(b.losses)), a.lastLoss().Compare(b.lastLoss()), cmp.Compare(a.segment, b.segment))
	})
	delete(l.suspects, least.segment)
}
