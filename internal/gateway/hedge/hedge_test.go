package hedge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	epoch = time.Unix(1000, 0)
	rules = Rules{Requests: 0.05, Tokens: 0.05, Quantile: 0.95}
)

// sendMany sends and answers requests at engines e-0, e-1 ... in turn, one every 10 ms, each
// of which takes the given time, and returns the time after them.
func sendMany(s *State, n int, took func(i int) time.Duration, now time.Time) time.Time {
	for i := range n {
		a := &Attempt{Route: "chat", Target: fmt.Sprintf("e-%d", i%10), Size: 1000, Tokens: 1000}
		s.Sent(a, true, now)
		s.Answered(a, now.Add(took(i)))
		s.Ended(a, false, now.Add(took(i)))
		now = now.Add(10 * time.Millisecond)
	}
	return now
}

// usually takes 100 to 199 ms.
func usually(i int) time.Duration { return time.Duration(100+i*37%100) * time.Millisecond }

// learned returns a State that has learned the usual times, and the time.
func learned(r Rules) (*State, time.Time) {
	s := NewState(r)
	return s, sendMany(s, 400, usually, epoch)
}

// slowAt sends an attempt that is slow at the returned time.
func slowAt(t *testing.T, s *State, target string, now time.Time) (*Attempt, time.Time) {
	t.Helper()
	a := &Attempt{Route: "chat", Target: target, Size: 1000, Tokens: 1000}
	must.True(t, s.Sent(a, true, now))
	must.Positive(t, a.Usual)
	return a, now.Add(a.Usual)
}

func TestDecide(t *testing.T) {
	t.Run("a response is slow from the quantile of other engines on", func(t *testing.T) {
		s, now := learned(rules)
		a, slow := slowAt(t, s, "e-0", now)
		must.Between(t, 190*time.Millisecond, a.Usual, 200*time.Millisecond)
		must.Eq(t, TooEarly, s.Decide(a, slow.Add(-time.Millisecond)))
		must.Eq(t, None, s.Decide(a, slow))
	})
	t.Run("an engine that is always slow does not make slow usual", func(t *testing.T) {
		s := NewState(rules)
		now := sendMany(s, 1000, func(i int) time.Duration {
			if i%10 == 3 {
				return time.Second
			}
			return usually(i)
		}, epoch)
		a, _ := slowAt(t, s, "e-3", now)
		must.Less(t, 200*time.Millisecond, a.Usual)
		other, _ := slowAt(t, s, "e-4", now)
		must.Eq(t, time.Second, other.Usual, must.Sprint("one in ten answers of the others is slow"))
	})
	t.Run("sizes are apart", func(t *testing.T) {
		s, now := learned(rules)
		a := &Attempt{Route: "chat", Target: "e-0", Size: 5000}
		s.Sent(a, true, now)
		must.Zero(t, a.Usual)
	})
	t.Run("too few samples", func(t *testing.T) {
		for quantile, need := range map[float64]int{0.9: 50, 0.95: 100, 0.99: 500} {
			r := rules
			r.Quantile = quantile
			for _, n := range []int{0, 1, need - 1, need, need + 1} {
				s := NewState(r)
				now := sendMany(s, n, usually, epoch)
				// The attempt is at an engine that has no samples.
				a := &Attempt{Route: "chat", Target: "new", Size: 1000, Tokens: 1000}
				s.Sent(a, true, now.Add(2*sortInterval))
				must.Eq(t, n >= need, a.Usual > 0, must.Sprint(quantile, n))
			}
		}
	})
	t.Run("old samples do not count", func(t *testing.T) {
		s, now := learned(rules)
		a := &Attempt{Route: "chat", Target: "e-0", Size: 1000}
		s.Sent(a, true, now.Add(maxAge+time.Second))
		must.Zero(t, a.Usual)
	})
	t.Run("other routes and switched off", func(t *testing.T) {
		r := rules
		r.Routes = []string{"other"}
		must.False(t, NewState(r).Sent(&Attempt{Route: "chat"}, true, epoch))
		must.False(t, NewState(Rules{}).Sent(&Attempt{Route: "chat"}, true, epoch))
		must.False(t, NewState(Rules{Requests: 1}).Sent(&Attempt{Route: "chat"}, true, epoch))
		s, now := learned(rules)
		a, slow := slowAt(t, s, "e-0", now)
		s.SetRules(Rules{})
		must.Eq(t, Off, s.Decide(a, slow))
	})
	t.Run("another engine is slow as well", func(t *testing.T) {
		s, now := learned(rules)
		slowAt(t, s, "e-1", now)
		a, slow := slowAt(t, s, "e-0", now)
		must.Eq(t, AllSlow, s.Decide(a, slow))
		must.SliceContainsAll(t, []string{"e-0", "e-1"}, s.Overdue(slow))
	})
	t.Run("a second slow response of the same engine", func(t *testing.T) {
		s, now := learned(rules)
		slowAt(t, s, "e-0", now)
		a, slow := slowAt(t, s, "e-0", now)
		must.Eq(t, None, s.Decide(a, slow))
		must.Eq(t, []string{"e-0"}, s.Overdue(slow))
	})
	t.Run("all responses have become slower", func(t *testing.T) {
		s, now := learned(rules)
		now = sendMany(s, 20, func(i int) time.Duration { return 2 * usually(i) }, now)
		a, slow := slowAt(t, s, "e-0", now)
		must.Eq(t, GeneralDelay, s.Decide(a, slow))
	})
	t.Run("engines reject requests", func(t *testing.T) {
		s, now := learned(rules)
		for range 60 {
			a := &Attempt{Route: "chat", Target: "e-1", Size: 1000}
			s.Sent(a, true, now)
			s.Ended(a, true, now)
		}
		a, slow := slowAt(t, s, "e-0", now)
		must.Eq(t, Overload, s.Decide(a, slow))
		must.NotEq(t, Overload, s.Decide(a, slow.Add(time.Minute)))
	})
}

// TestLosingHedgesPause guards against hedges that go on although the first target nearly
// always answers first.
func TestLosingHedgesPause(t *testing.T) {
	s, now := learned(rules)
	decide := func() Denial {
		a, slow := slowAt(t, s, "e-0", now)
		defer s.Ended(a, false, slow)
		return s.Decide(a, slow)
	}
	for i := range judgedHedges {
		must.Eq(t, None, decide())
		s.Settle(i == 0, now)
	}
	must.Eq(t, Losing, decide())
	now = sendMany(s, 400, usually, now.Add(minPause))
	must.Eq(t, None, decide(), must.Sprint("they are tried again"))
	for range judgedHedges {
		s.Settle(false, now)
	}
	now = sendMany(s, 400, usually, now.Add(minPause))
	must.Eq(t, Losing, decide(), must.Sprint("the second pause is longer"))
	now = sendMany(s, 400, usually, now.Add(minPause))
	for range 4 * judgedHedges {
		must.Eq(t, None, decide())
		s.Settle(true, now)
	}
}

// TestLimit guards against hedges beyond the limit: VMs whose traffic differs, changes and
// stops, and which start at other times, hedge whenever they may.
func TestLimit(t *testing.T) {
	const vms = 20
	r := Rules{Requests: 0.02, Tokens: 0.01, Quantile: 0.9}
	type event struct {
		at              time.Time
		vm, sent, hedge int // tokens; -1 for none
	}
	var all []event
	random := rand.New(rand.NewPCG(3, 4))
	for vm := range vms {
		var a account
		now := epoch.Add(time.Duration(random.IntN(60)) * time.Second)
		end := epoch.Add(5 * time.Minute)
		for now.Before(end) {
			rate := 0.5 + 30*random.Float64()
			for range random.IntN(400) {
				now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				tokens := 1 + random.IntN(400)
				if random.IntN(4) == 0 {
					tokens += 9000
				}
				e := event{now, vm, tokens, -1}
				a.earn(r, tokens, now)
				if a.check(r, tokens, now) == None {
					a.spend(tokens, now)
					e.hedge = tokens
				}
				all = append(all, e)
			}
			now = now.Add(time.Duration(random.IntN(90)) * time.Second)
		}
	}
	hedges := 0
	// within checks the limit over the events that are selected. Extra is what a burst may
	// add.
	within := func(name string, selected func(event) bool, extra float64) {
		var sent, hedged, tokens, hedgeTokens float64
		for _, e := range all {
			if !selected(e) {
				continue
			}
			sent++
			tokens += float64(e.sent)
			if e.hedge >= 0 {
				hedged++
				hedgeTokens += float64(e.hedge)
			}
		}
		must.LessEq(t, r.Requests*sent+extra, hedged, must.Sprint(name))
		must.LessEq(t, r.Tokens*tokens+extra*9400, hedgeTokens, must.Sprint(name))
		hedges += int(hedged)
	}
	for i := range 300 {
		until := epoch.Add(time.Duration(i) * time.Second)
		within(fmt.Sprint("all VMs until ", until), func(e event) bool { return !e.at.After(until) }, 0)
		within(fmt.Sprint("half of the VMs until ", until), func(e event) bool { return e.vm%2 == 0 && !e.at.After(until) }, 0)
		from := until.Add(-7 * time.Second)
		within(fmt.Sprint("one VM in 7 s until ", until), func(e event) bool { return e.vm == 1 && e.at.After(from) && !e.at.After(until) }, burst)
	}
	// Over a minute that ends with a hedge the limit holds at each VM by itself.
	for _, e := range all {
		if e.hedge < 0 {
			continue
		}
		from := e.at.Add(-period)
		within(fmt.Sprint("a minute until ", e.at), func(o event) bool { return o.vm == e.vm && o.at.After(from) && !o.at.After(e.at) }, 0)
	}
	must.Greater(t, 100, hedges)
}

// TestTablesAreBounded guards against memory that grows with the routes and sizes of requests.
func TestTablesAreBounded(t *testing.T) {
	s := NewState(rules)
	now := epoch
	for i := range 20_000 {
		a := &Attempt{Route: fmt.Sprint("r", i%100), Target: fmt.Sprint("e-", i), Size: 1 << (i % 20)}
		s.Sent(a, true, now)
		s.Answered(a, now)
		s.Ended(a, false, now)
		now = now.Add(time.Millisecond)
	}
	must.LessEq(t, maxPools, len(s.pools))
	must.MapEmpty(t, s.open)
	now = sendMany(s, 3*maxSamples, usually, now)
	for _, p := range s.pools {
		must.LessEq(t, maxSamples, len(p.ring))
	}
	must.LessEq(t, maxRecent, len(s.slowdowns))
	must.False(t, now.IsZero())
}

// BenchmarkDecide measures what one request costs while hedges are on: it is sent, has a
// limit in time, and is answered.
func BenchmarkDecide(b *testing.B) {
	s, now := learned(rules)
	now = sendMany(s, 2*maxSamples, usually, now)
	for i := range b.N {
		a := &Attempt{Route: "chat", Target: fmt.Sprintf("e-%d", i%60), Size: 1000, Tokens: 1000}
		s.Sent(a, true, now)
		s.Answered(a, now.Add(usually(i)))
		s.Ended(a, false, now)
		now = now.Add(100 * time.Millisecond)
	}
}
