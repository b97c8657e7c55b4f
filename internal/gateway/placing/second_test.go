package placing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// second returns the second target of a request whose first target is slow.
func second(p *Placer, engines int, r Request, first Choice, now time.Time) (Choice, bool) {
	r.Hedge, r.Goal, r.Tried = true, 0, append([]string{first.Target.ID}, r.Tried...)
	return p.Choose(engineView(engines), r, now)
}

// plain is a request whose prompt has no part that others share.
func plainRequest() Request {
	r := subjectRequest(1)
	r.Tokens, r.Prefixes = 600, nil
	return r
}

func TestSecondTarget(t *testing.T) {
	t.Run("an engine that holds the prefix", func(t *testing.T) {
		p, v := newPlacer(), engineView(9)
		r := subjectRequest(1)
		first := mustChoose(t, p, v, r, epoch)
		p.Begin(first, r.Prefixes, epoch)
		_, ok := second(p, 9, r, first, epoch)
		must.False(t, ok, must.Sprint("no other engine holds the prefix"))
		other := Choice{Target: v.Targets["i-0"], Weights: 1}
		if first.Target.ID == "i-0" {
			other.Target = v.Targets["i-1"]
		}
		p.Begin(other, r.Prefixes, epoch)
		c, ok := second(p, 9, r, first, epoch)
		must.True(t, ok)
		must.Eq(t, other.Target.ID, c.Target.ID)
		must.Eq(t, r.Tokens-r.fullPrefix().Tokens, c.MissingTokens)
		must.Eq(t, "", c.Source)
		must.False(t, c.StoreKV)
	})
	t.Run("the next engine in rank is not the home engine of a large pool", func(t *testing.T) {
		p, v := newPlacer(), engineView(60)
		r := subjectRequest(1)
		now := epoch.Add(time.Minute)
		// The states of the engines have to be known for longer than they warm up.
		mustChoose(t, p, v, r, epoch)
		first := mustChoose(t, p, v, r, now)
		must.True(t, first.Home)
		_, ok := second(p, 60, r, first, now)
		must.False(t, ok)
		elsewhere := Choice{Target: v.Targets["i-0"], Weights: 1}
		if first.Target.ID == "i-0" {
			elsewhere.Target = v.Targets["i-1"]
		}
		c, ok := second(p, 60, r, elsewhere, now)
		must.True(t, ok, must.Sprint("the home engine holds the prefix"))
		must.Eq(t, first.Target.ID, c.Target.ID)
	})
	t.Run("a short prefix may be read again", func(t *testing.T) {
		p, v := newPlacer(), engineView(9)
		r := subjectRequest(1)
		r.Tokens, r.Prefixes = 826, []Prefix{{Hash: 7, Segment: "short", Tokens: 198}}
		first := mustChoose(t, p, v, r, epoch)
		p.Begin(first, r.Prefixes, epoch)
		c, ok := second(p, 9, r, first, epoch)
		must.True(t, ok)
		must.NotEq(t, first.Target.ID, c.Target.ID)
		must.Eq(t, "", c.Source, must.Sprint("nothing is fetched from the slow engine"))
	})
	t.Run("no engine that is slow, full, silent or excluded", func(t *testing.T) {
		p, v := newPlacer(), engineView(6)
		r := plainRequest()
		first := Choice{Target: v.Targets["i-0"], Weights: 1}
		mustChoose(t, p, v, r, epoch)
		p.states["i-1"].slowdown = 2
		p.states["i-2"].running = 64
		p.RecordSilence(Choice{Target: v.Targets["i-3"]}, epoch)
		r.Tried = []string{"i-4"}
		for range 20 {
			c, ok := second(p, 6, r, first, epoch)
			must.True(t, ok)
			must.Eq(t, "i-5", c.Target.ID)
		}
		r.Tried = append(r.Tried, "i-5")
		_, ok := second(p, 6, r, first, epoch)
		must.False(t, ok)
	})
}

// TestOvertakenTargetCountsAsSlow guards against an engine that stays unsuspected because none
// of its slow responses is waited for.
func TestOvertakenTargetCountsAsSlow(t *testing.T) {
	p, v := newPlacer(), engineView(3)
	r := subjectRequest(1)
	c := mustChoose(t, p, v, r, epoch)
	must.Greater(t, minSlowdownSample, c.rawTTFT)
	p.Begin(c, r.Prefixes, epoch)
	p.RecordOvertaken(c, c.rawTTFT/2)
	must.Eq(t, 1, p.states[c.Target.ID].slowdown, must.Sprint("it may still have been quick"))
	p.RecordOvertaken(c, 3*c.rawTTFT)
	must.Greater(t, 1.2, p.states[c.Target.ID].slowdown)
}
