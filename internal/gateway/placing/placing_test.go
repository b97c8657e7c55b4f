package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
)

var epoch = time.Unix(1000, 0)

func engineView(n int) *source.View {
	v := &source.View{Targets: map[string]*site.Target{}}
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		v.Targets[id] = &site.Target{ID: id, Service: "llm", Address: "10.0.0." + fmt.Sprint(i) + ":80", DataCentre: "z", Slots: 64, Weights: map[string]int64{"m": 1}}
	}
	return v
}

func subjectRequest(subject int) Request {
	hash := uint64(subject+1) * 0x9e3779b97f4a7c15
	return Request{
		Service: "llm", Model: "m", Tokens: 9190,
		Prefixes: []Prefix{{Hash: 7, Segment: "rules", Tokens: 2520}, {Hash: hash, Segment: fmt.Sprint(subject), Tokens: 6300}},
		Salt:     func(version int64) string { return fmt.Sprint("m.v", version) },
	}
}

func newPlacer() *Placer { return New("z", 10*time.Second, caches.NewIndex(), throttle.NewTable("vm")) }

func mustChoose(t *testing.T, p *Placer, v *source.View, r Request, now time.Time) Choice {
	t.Helper()
	c, ok := p.Choose(v, r, now)
	must.True(t, ok)
	return c
}

// TestHomes sends requests to eight VMs at random and checks that no shared
// segment is read by two engines, even though the VMs exchange no state.
func TestHomes(t *testing.T) {
	const subjects, vms = 156, 8
	v := engineView(9)
	placers := make([]*Placer, vms)
	for i := range placers {
		placers[i] = newPlacer()
	}
	random := rand.New(rand.NewPCG(1, 2))
	held := map[string]bool{}
	readSubjects := map[string]bool{}
	now, reads := epoch, 0
	for range 3000 {
		now = now.Add(40 * time.Millisecond)
		subject := random.IntN(subjects)
		c := mustChoose(t, placers[random.IntN(vms)], v, subjectRequest(subject), now)
		pair := fmt.Sprint(subject, c.Target.ID)
		if !held[pair] {
			reads++
			readSubjects[fmt.Sprint(subject)] = true
		}
		held[pair] = true
	}
	must.LessEq(t, subjects, reads, must.Sprint("each subject is read only at its home engine"))
}

func TestChoose(t *testing.T) {
	t.Run("a loaded home engine is avoided and fetched from", func(t *testing.T) {
		p, v := newPlacer(), engineView(9)
		home := mustChoose(t, p, v, subjectRequest(1), epoch)
		must.True(t, home.Home)
		must.Eq(t, "", home.Source)
		p.Begin(home, subjectRequest(1).Prefixes, epoch)
		p.FirstToken(home, 0, epoch)
		for i := range 6 {
			p.Begin(Choice{Target: home.Target, MissingTokens: 9000}, nil, epoch.Add(time.Duration(i)))
		}
		away := mustChoose(t, p, v, subjectRequest(1), epoch.Add(time.Second))
		must.NotEq(t, home.Target.ID, away.Target.ID)
		must.Eq(t, home.Target.Address, away.Source)
		must.Eq(t, 9190-6300, away.MissingTokens)
	})
	t.Run("the load of other VMs counts", func(t *testing.T) {
		p, v := newPlacer(), engineView(9)
		home := mustChoose(t, p, v, subjectRequest(1), epoch)
		p.ApplyUpdate(roster.Entry{VM: "b", Loads: []roster.TargetLoad{{Target: home.Target.ID, Running: 6, Prefill: 60000}}}, v, epoch)
		must.NotEq(t, home.Target.ID, mustChoose(t, p, v, subjectRequest(1), epoch).Target.ID)
	})
	t.Run("an unreachable target is avoided until a probe reaches it", func(t *testing.T) {
		p, v := newPlacer(), engineView(3)
		c := mustChoose(t, p, v, subjectRequest(1), epoch)
		p.Begin(c, nil, epoch)
		p.End(c, Unreachable, false, epoch)
		must.True(t, p.Unreachable(c.Target))
		must.NotEq(t, c.Target.ID, mustChoose(t, p, v, subjectRequest(1), epoch.Add(5*time.Second)).Target.ID)
		p.MarkReachable(c.Target.ID)
		must.False(t, p.Unreachable(c.Target))
	})
	t.Run("a target with a high failure rate is avoided", func(t *testing.T) {
		p, v := newPlacer(), engineView(3)
		bad := mustChoose(t, p, v, subjectRequest(1), epoch)
		for range 3 {
			p.Begin(bad, nil, epoch)
			p.End(bad, Failed, false, epoch)
		}
		must.NotEq(t, bad.Target.ID, mustChoose(t, p, v, subjectRequest(1), epoch).Target.ID)
		later := epoch.Add(time.Minute)
		must.Eq(t, bad.Target.ID, mustChoose(t, p, v, subjectRequest(1), later).Target.ID)
	})
	t.Run("leaving and tried targets are not chosen", func(t *testing.T) {
		p, v := newPlacer(), engineView(2)
		v.Targets["i-0"].Leaving = true
		r := subjectRequest(1)
		must.Eq(t, "i-1", mustChoose(t, p, v, r, epoch).Target.ID)
		r.Tried = []string{"i-1"}
		_, ok := p.Choose(v, r, epoch)
		must.False(t, ok)
	})
	t.Run("an engine with a pending order is avoided", func(t *testing.T) {
		p, v := newPlacer(), engineView(3)
		c := mustChoose(t, p, v, subjectRequest(1), epoch)
		p.SetBusy(map[string]bool{c.Target.ID: true})
		must.NotEq(t, c.Target.ID, mustChoose(t, p, v, subjectRequest(1), epoch).Target.ID)
	})
}

func TestWeights(t *testing.T) {
	p, v := newPlacer(), engineView(2)
	v.Weights = source.NewWeights("m", map[int64]time.Time{2: epoch, 3: epoch.Add(6 * time.Second)})
	t.Run("superseded weights are used at first", func(t *testing.T) {
		mustChoose(t, p, v, subjectRequest(1), epoch.Add(time.Second))
	})
	t.Run("newer weights are preferred", func(t *testing.T) {
		must.True(t, p.ObserveWeights(v.Targets["i-1"], "m", 2, epoch))
		must.Eq(t, "i-1", mustChoose(t, p, v, subjectRequest(1), epoch.Add(3*time.Second)).Target.ID)
	})
	t.Run("the age counts from the first newer version", func(t *testing.T) {
		// i-0 was superseded at epoch, i-1 six seconds later.
		c := mustChoose(t, p, v, subjectRequest(1), epoch.Add(9500*time.Millisecond))
		must.Eq(t, "i-1", c.Target.ID)
		_, ok := p.Choose(v, subjectRequest(1), epoch.Add(15900*time.Millisecond))
		must.False(t, ok)
	})
}

func TestFeeds(t *testing.T) {
	p, v := newPlacer(), engineView(4)
	r := subjectRequest(1)
	r.Cache = "10.9.9.9:1"
	home := mustChoose(t, p, v, r, epoch)
	must.True(t, home.StoreKV)
	p.Begin(home, r.Prefixes, epoch)
	p.FirstToken(home, 0, epoch)
	keys := []caches.Key{caches.KeyOf("m.v1", "rules"), caches.KeyOf("m.v1", "1")}
	now := epoch.Add(5 * time.Second)

	t.Run("segments missing in the feed have been evicted", func(t *testing.T) {
		p.index.Apply(home.Target.ID, caches.Batch{Epoch: 1}, now)
		p.index.Apply(r.Cache, caches.Batch{Epoch: 1}, now)
		c := mustChoose(t, p, v, r, now)
		must.Eq(t, home.Target.ID, c.Target.ID)
		must.Eq(t, r.Tokens, c.MissingTokens)
	})
	t.Run("segments that no engine holds are fetched from the store", func(t *testing.T) {
		p.index.Apply(r.Cache, caches.Batch{Epoch: 1, Changes: []caches.Change{{Stored: true, Key: keys[0]}, {Stored: true, Key: keys[1]}}}, now)
		c := mustChoose(t, p, v, r, now)
		must.Eq(t, r.Cache, c.Source)
		must.False(t, c.StoreKV)
		must.Eq(t, r.Tokens-6300, c.MissingTokens)
	})
	t.Run("a later segment without the first is not usable", func(t *testing.T) {
		p.index.Apply(r.Cache, caches.Batch{Epoch: 1, Changes: []caches.Change{{Key: keys[0]}}}, now)
		must.Eq(t, r.Tokens, mustChoose(t, p, v, r, now).MissingTokens)
	})
	t.Run("other weights make other segments", func(t *testing.T) {
		p.index.Apply(home.Target.ID, caches.Batch{Epoch: 1, Changes: []caches.Change{{Stored: true, Key: keys[0]}, {Stored: true, Key: keys[1]}}}, now)
		must.Eq(t, r.Tokens-6300, mustChoose(t, p, v, r, now).MissingTokens)
		p.ObserveWeights(v.Targets[home.Target.ID], "m", 2, now)
		must.Eq(t, r.Tokens, mustChoose(t, p, v, r, now).MissingTokens)
	})
}

// TestSilentTargetIsAvoided guards against requests that are sent to a target that has
// fallen silent while another one serves.
func TestSilentTargetIsAvoided(t *testing.T) {
	p, v := newPlacer(), engineView(2)
	first := mustChoose(t, p, v, subjectRequest(1), epoch)
	p.Begin(first, nil, epoch)
	p.RecordSilence(first, epoch)
	for range 20 {
		c := mustChoose(t, p, v, subjectRequest(1), epoch)
		must.NotEq(t, first.Target.ID, c.Target.ID)
		p.Begin(c, nil, epoch)
	}
	p.End(first, Served, true, epoch)
	must.Eq(t, first.Target.ID, mustChoose(t, p, v, subjectRequest(1), epoch).Target.ID)
}
