package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// epoch is the start of the simulated time.
var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// answering is the circumstance of most losses of a deadly request.
var answering = Circumstance{Answering: true}

func newList() *List { return NewList(log.NewNopLogger()) }

func assertQuarantined(t *testing.T, l *List, segment string, now time.Time, want bool) {
	t.Helper()
	_, left, got := l.Quarantined([]string{"none", segment}, now)
	must.Eq(t, want, got, must.Sprintf("segment %s", segment))
	must.Eq(t, want, left > 0)
}

func TestList(t *testing.T) {
	t.Run("a segment under which three engines were lost is quarantined", func(t *testing.T) {
		l := newList()
		for i := range 3 {
			assertQuarantined(t, l, "bad", at(1000*i), false)
			l.RecordLoss([]string{"bad"}, Engine("e", int64(i)), answering, at(1000*i))
		}
		assertQuarantined(t, l, "bad", at(2001), true)
	})
	t.Run("losses before an answer do not count", func(t *testing.T) {
		l := newList()
		for i := range 20 {
			l.RecordLoss([]string{"good"}, Engine("e", int64(i)), answering, at(1000*i))
			if i%2 == 1 {
				l.RecordAnswer([]string{"good"}, at(1000*i+500))
			}
			assertQuarantined(t, l, "good", at(1000*i+600), false)
		}
	})
	t.Run("an engine counts once", func(t *testing.T) {
		l := newList()
		for i := range 20 {
			l.RecordLoss([]string{"bad"}, Engine("e", 1), answering, at(1000*i))
		}
		assertQuarantined(t, l, "bad", at(20000), false)
	})
	t.Run("engines that are lost at the same time count once", func(t *testing.T) {
		l := newList()
		for i := range 20 {
			l.RecordLoss([]string{"good"}, Engine("e", int64(i)), answering, at(i))
		}
		assertQuarantined(t, l, "good", at(100), false)
	})
	t.Run("a loss is blamed on the segment that was answered least recently", func(t *testing.T) {
		l := newList()
		l.RecordAnswer([]string{"common"}, at(0))
		for i := range 6 {
			l.RecordLoss([]string{"common", "bad"}, Engine("e", int64(i)), answering, at(300*(i+1)))
		}
		assertQuarantined(t, l, "bad", at(2000), true)
		assertQuarantined(t, l, "common", at(2000), false)
	})
	t.Run("an answer ends a quarantine", func(t *testing.T) {
		l := newList()
		for i := range 3 {
			l.RecordLoss([]string{"good"}, Engine("e", int64(i)), answering, at(1000*i))
		}
		assertQuarantined(t, l, "good", at(2500), true)
		l.RecordAnswer([]string{"good"}, at(3000))
		assertQuarantined(t, l, "good", at(3001), false)
	})
	t.Run("a quarantine ends, and the next loss starts another", func(t *testing.T) {
		l := newList()
		for i := range 3 {
			l.RecordLoss([]string{"bad"}, Engine("e", int64(i)), answering, at(1000*i))
		}
		later := at(2000).Add(quarantineTime)
		assertQuarantined(t, l, "bad", later.Add(-time.Second), true)
		assertQuarantined(t, l, "bad", later.Add(time.Second), false)
		l.RecordLoss([]string{"bad"}, Engine("e", 9), answering, later.Add(2*time.Second))
		assertQuarantined(t, l, "bad", later.Add(3*time.Second), true)
	})
	t.Run("losses of several VMs add up, however often they are reported", func(t *testing.T) {
		lists := []*List{newList(), newList(), newList()}
		for i, l := range lists {
			l.RecordLoss([]string{"bad"}, Engine("e", int64(i)), answering, at(1000*i))
		}
		for range 3 {
			lists[0].Merge(lists[1].Reports(at(3000)), at(3000))
			assertQuarantined(t, lists[0], "bad", at(3001), false)
		}
		lists[0].Merge(lists[2].Reports(at(3000)), at(3000))
		assertQuarantined(t, lists[0], "bad", at(3001), true)
		restarted := newList()
		restarted.Merge(lists[0].Reports(at(4000)), at(4000))
		assertQuarantined(t, restarted, "bad", at(4001), true)
	})
	t.Run("a request that is repeated is quarantined, its segments are not", func(t *testing.T) {
		l, deadly := newList(), Request(7)
		for i := range 3 {
			// Answers to other requests with the segment do not clear the request.
			l.RecordAnswer([]string{Request(uint64(100 + i)), "first"}, at(1000*i-100))
			l.RecordLoss([]string{deadly, "first", "own"}, Engine("e", int64(i)), answering, at(1000*i))
		}
		assertQuarantined(t, l, deadly, at(2001), true)
		assertQuarantined(t, l, "first", at(2001), false)
		assertQuarantined(t, l, "own", at(2001), false)
		l.RecordLoss([]string{Request(8), "first", "own"}, Engine("e", 3), answering, at(3000))
		assertQuarantined(t, l, "own", at(3001), true)
	})
	t.Run("requests that were on the same engines are not quarantined", func(t *testing.T) {
		l, deadly := newList(), Request(7)
		for i := range 4 {
			l.RecordLoss([]string{Request(uint64(100 + i)), "first"}, Engine("e", int64(i)), Circumstance{}, at(1000*i))
			l.RecordLoss([]string{deadly, "first"}, Engine("e", int64(i)), answering, at(1000*i+1))
		}
		assertQuarantined(t, l, deadly, at(3002), true)
		for i := range 4 {
			assertQuarantined(t, l, Request(uint64(100+i)), at(3002), false)
		}
	})
	t.Run("an engine that answers an earlier request has not crashed", func(t *testing.T) {
		l, other := newList(), newList()
		for i := range 4 {
			l.RecordLoss([]string{Request(1)}, Engine("e", int64(i)), answering, at(1000*i))
			other.Merge(l.Reports(at(1000*i)), at(1000*i))
			// The second is sent after the loss, possibly to the next process.
			l.RecordAlive(Engine("e", int64(i)), at(1000*i-10), at(1000*i+10))
			l.RecordAlive(Engine("e", int64(i)), at(1000*i+10), at(1000*i+800))
		}
		assertQuarantined(t, l, Request(1), at(4000), true)
		for i := range 4 {
			l.RecordAlive(Engine("e", int64(i)), at(1000*i-10), at(4000))
		}
		assertQuarantined(t, l, Request(1), at(4001), false)
		assertQuarantined(t, other, Request(1), at(4001), true)
		other.Merge(l.Reports(at(4001)), at(4001))
		assertQuarantined(t, other, Request(1), at(4001), false)
	})
	t.Run("a repeat that is lost at once counts", func(t *testing.T) {
		l := newList()
		for i := range 4 {
			l.RecordLoss([]string{Request(1), "first"}, Engine("e", int64(i)), Circumstance{Repeated: i%2 == 1}, at(1000*(i/2)+i))
		}
		assertQuarantined(t, l, Request(1), at(1004), true)
		assertQuarantined(t, l, "first", at(1004), false)
	})
	t.Run("a merge that starts a quarantine is reported once", func(t *testing.T) {
		l, other := newList(), newList()
		for i := range 3 {
			l.RecordLoss([]string{Request(1)}, Engine("e", int64(i)), answering, at(1000*i))
		}
		must.True(t, other.Merge(l.Reports(at(3000)), at(3000)))
		must.False(t, other.Merge(l.Reports(at(3000)), at(3000)))
	})
	t.Run("other VMs are not told of single losses for long", func(t *testing.T) {
		l := newList()
		l.RecordLoss([]string{Request(1)}, Engine("e", 1), answering, at(0))
		must.Len(t, 1, l.Reports(at(0).Add(reportTime/2)))
		must.Len(t, 0, l.Reports(at(0).Add(reportTime)))
	})
	t.Run("evidence does not circulate forever", func(t *testing.T) {
		a, b := newList(), newList()
		for i := range 3 {
			a.RecordLoss([]string{"bad"}, Engine("e", int64(i)), answering, at(1000*i))
		}
		now := at(3000)
		for ; now.Before(at(3000).Add(2 * evidenceTime)); now = now.Add(10 * time.Second) {
			b.Merge(a.Reports(now), now)
			a.Merge(b.Reports(now), now)
		}
		must.Len(t, 0, a.Reports(now))
		must.Len(t, 0, b.Reports(now))
	})
	t.Run("memory and reports are bounded", func(t *testing.T) {
		l := newList()
		for i := range 1000 {
			segment := fmt.Sprint("s", i)
			for j := range 10 {
				l.RecordLoss([]string{segment}, Engine("e", int64(10*i+j)), answering, at(10*i+j))
			}
			l.RecordAnswer([]string{fmt.Sprint("a", i)}, at(10*i))
		}
		must.LessEq(t, maxSuspects, len(l.suspects))
		must.LessEq(t, maxAnswered, len(l.answered))
		reports := l.Reports(at(100_000))
		must.LessEq(t, maxReports, len(reports))
		for _, r := range reports {
			must.LessEq(t, maxReportedLosses, len(r.Losses))
		}
	})
}

// A load is the traffic of a fleet in which one segment crashes engines.
type load struct {
	vms, engines int
	// perSecond are the requests for engines, and bad is the share of them with the
	// segment.
	perSecond int
	bad       float64
	// subjects is the number of other segments below the common first ones.
	subjects int
	// delay is the time in which a report reaches all VMs.
	delay time.Duration
}

// A played is what became of the requests of a load.
type played struct {
	crashes, badAfterBound int
	refused, sound         int
}

// play plays a load for 30 s, in steps of 1 ms. A request is answered 200 ms after it
// is sent, and a lost engine returns after 3 s.
func (d load) play(seed uint64, bound time.Duration) played {
	const answerTime, returnTime = 200, 3000
	r := rand.New(rand.NewPCG(seed, 1))
	type request struct {
		segments []string
		vm       int
		bad      bool
	}
	lists := make([]*List, d.vms)
	for i := range lists {
		lists[i] = newList()
	}
	running := make([]map[int][]request, d.engines)
	for i := range running {
		running[i] = map[int][]request{}
	}
	downUntil := make([]int, d.engines)
	born := make([]int64, d.engines)
	var out played
	fifth := -1
	for ms := range 30_000 {
		for e := range d.engines {
			for _, q := range running[e][ms] {
				if !q.bad {
					lists[q.vm].RecordAnswer(q.segments, at(ms))
					continue
				}
				for due, lost := range running[e] {
					for _, other := range lost {
						if due >= ms {
							lists[other.vm].RecordLoss(other.segments, Engine(fmt.Sprint(e), born[e]), Circumstance{Answering: other.bad && due == ms}, at(ms))
						}
					}
				}
				running[e] = map[int][]request{}
				born[e]++
				downUntil[e] = ms + returnTime
				if out.crashes++; out.crashes == 5 {
					fifth = ms
				}
				break
			}
			delete(running[e], ms)
		}
		if r.Float64() < float64(d.perSecond)/1000 {
			subject := r.IntN(d.subjects)
			q := request{segments: []string{fmt.Sprint("first", subject%4), fmt.Sprint("subject", subject)}, vm: r.IntN(d.vms)}
			if q.bad = ms > 2000 && r.Float64() < d.bad; q.bad {
				q.segments = append(q.segments, "bad")
			}
			_, _, refused := lists[q.vm].Quarantined(q.segments, at(ms))
			e := r.IntN(d.engines)
			switch {
			case !q.bad:
				out.sound++
				if refused {
					out.refused++
				}
			case !refused && fifth >= 0 && at(ms).Sub(at(fifth)) > bound:
				out.badAfterBound++
			}
			if !refused && ms >= downUntil[e] {
				running[e][ms+answerTime] = append(running[e][ms+answerTime], q)
			}
		}
		if ms%int(d.delay.Milliseconds()) == 0 {
			for from := range lists {
				if reports := lists[from].Reports(at(ms)); len(reports) > 0 {
					for to := range lists {
						lists[to].Merge(reports, at(ms))
					}
				}
			}
		}
	}
	return out
}

// TestCrashingSegmentStopsReachingEngines guards against requests that crash one
// engine after another because no VM relates the losses to what they have in common.
func TestCrashingSegmentStopsReachingEngines(t *testing.T) {
	for name, d := range map[string]load{
		"8 VMs":                  {vms: 8, engines: 9, perSecond: 25, bad: 0.05, subjects: 156, delay: 250 * time.Millisecond},
		"8 VMs, rare":            {vms: 8, engines: 9, perSecond: 25, bad: 0.02, subjects: 156, delay: 250 * time.Millisecond},
		"8 VMs, frequent":        {vms: 8, engines: 9, perSecond: 25, bad: 0.3, subjects: 156, delay: 250 * time.Millisecond},
		"72 VMs, slow reports":   {vms: 72, engines: 140, perSecond: 400, bad: 0.05, subjects: 477, delay: 2 * time.Second},
		"72 VMs, few at a time":  {vms: 72, engines: 140, perSecond: 400, bad: 0.003, subjects: 477, delay: 2 * time.Second},
		"8 VMs, none that crash": {vms: 8, engines: 9, perSecond: 25, subjects: 156, delay: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			bound := 3 * time.Second
			if d.vms > 16 {
				bound = 4 * time.Second
			}
			for seed := range uint64(2) {
				got := d.play(seed, bound)
				must.LessEq(t, 3, got.badAfterBound, must.Sprintf("seed %d: %+v", seed, got))
				must.LessEq(t, got.sound/100, got.refused, must.Sprintf("seed %d: %+v", seed, got))
			}
		})
	}
}
