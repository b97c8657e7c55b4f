package prefix_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

var start = time.Unix(1_800_000_000, 0)

// An oracle is a simple model of the state that the events of engines lead to.
type oracle struct {
	index   *prefix.Index
	engines [3]oracleEngine
	bounded bool
	now     time.Time
}

type oracleEngine struct {
	name        string
	incarnation int
	weights     int
	sequence    uint64
	delivered   uint64
	held        map[prefix.Key]bool
	outOfSync   bool
}

func newOracle(maxPieces int) *oracle {
	o := &oracle{index: prefix.NewIndex(maxPieces, start), bounded: maxPieces > 0, now: start}
	for i := range o.engines {
		o.engines[i] = oracleEngine{name: fmt.Sprintf("e%d", i), incarnation: 1, held: map[prefix.Key]bool{}}
	}
	return o
}

func (e *oracleEngine) event(kind string, pieces []prefix.Key) target.CacheEvent {
	e.sequence++
	return target.CacheEvent{
		Sequence: e.sequence, Incarnation: fmt.Sprintf("%s-%d", e.name, e.incarnation),
		Weights: fmt.Sprintf("w%d", e.weights), Kind: kind, Pieces: rawKeys(pieces),
	}
}

func rawKeys(keys []prefix.Key) []uint64 {
	var list []uint64
	for _, k := range keys {
		list = append(list, uint64(k))
	}
	return list
}

// deliver applies an event to the index and to the oracle, and checks the result.
func (o *oracle) deliver(t *rapid.T, e *oracleEngine, ev target.CacheEvent) {
	_, gap := o.index.Apply(e.name, ev, o.now).(prefix.Gap)
	must.Eq(t, ev.Sequence != e.delivered+1, gap)
	e.delivered = ev.Sequence
	e.outOfSync = e.outOfSync || gap
	for _, p := range ev.Pieces {
		if ev.Kind == target.EventStored {
			e.held[prefix.Key(p)] = true
		} else {
			delete(e.held, prefix.Key(p))
		}
	}
}

// draw returns an engine and the keys of a prefix of one of the prompts.
func (o *oracle) draw(t *rapid.T) (*oracleEngine, []prefix.Key) {
	o.now = o.now.Add(time.Second)
	e := &o.engines[rapid.IntRange(0, len(o.engines)-1).Draw(t, "engine")]
	keys := prompts[rapid.IntRange(0, len(prompts)-1).Draw(t, "chain")]
	return e, keys[:rapid.IntRange(1, len(keys)).Draw(t, "depth")]
}

func (o *oracle) store(t *rapid.T) {
	e, keys := o.draw(t)
	o.deliver(t, e, e.event(target.EventStored, keys))
}

func (o *oracle) evict(t *rapid.T) {
	e, keys := o.draw(t)
	from := rapid.IntRange(0, len(keys)-1).Draw(t, "from")
	o.deliver(t, e, e.event(target.EventEvicted, keys[from:]))
}

// loseEvent creates an event that is never delivered.
func (o *oracle) loseEvent(t *rapid.T) {
	e, keys := o.draw(t)
	e.event(target.EventStored, keys)
}

// repeatEvent delivers another event with a sequence number already seen.
func (o *oracle) repeatEvent(t *rapid.T) {
	e, keys := o.draw(t)
	if e.delivered == 0 {
		return
	}
	old := oracleEngine{name: e.name, incarnation: e.incarnation, weights: e.weights, sequence: e.delivered - 1}
	ev := old.event(target.EventEvicted, keys)
	must.Eq(t, prefix.ApplyResult(prefix.Duplicate{}), o.index.Apply(e.name, ev, o.now))
}

// restart gives an engine a new incarnation. A late event of the old one must be
// ignored.
func (o *oracle) restart(t *rapid.T) {
	e, keys := o.draw(t)
	late := *e
	*e = oracleEngine{name: e.name, incarnation: e.incarnation + 1, weights: e.weights, held: map[prefix.Key]bool{}}
	o.deliver(t, e, e.event(target.EventStored, keys[:1]))
	if late.delivered > 0 {
		ev := late.event(target.EventStored, keys)
		must.Eq(t, prefix.ApplyResult(prefix.Duplicate{}), o.index.Apply(e.name, ev, o.now))
	}
}

// changeWeights gives an engine another weights version, which empties its cache.
func (o *oracle) changeWeights(t *rapid.T) {
	e, keys := o.draw(t)
	e.weights++
	e.held = map[prefix.Key]bool{}
	e.outOfSync = false
	o.deliver(t, e, e.event(target.EventStored, keys))
}

func (o *oracle) snapshot(t *rapid.T) {
	e, keys := o.draw(t)
	e.held = map[prefix.Key]bool{}
	for _, k := range keys {
		e.held[k] = true
	}
	e.delivered, e.outOfSync = e.sequence, false
	o.index.LoadSnapshot(e.name, target.CacheSnapshot{
		Sequence: e.sequence, Incarnation: fmt.Sprintf("%s-%d", e.name, e.incarnation),
		Weights: fmt.Sprintf("w%d", e.weights), Pieces: rawKeys(keys),
	}, o.now)
}

// check compares the index, and a copy made by Export and Merge, with the oracle.
func (o *oracle) check(t *rapid.T) {
	o.compare(t, o.index)
	copied := prefix.NewIndex(0, start)
	for _, p := range o.index.Export(func(prefix.Partition) bool { return true }) {
		copied.Merge(p, o.now)
	}
	o.compare(t, copied)
}

func (o *oracle) compare(t *rapid.T, x *prefix.Index) {
	for _, keys := range prompts {
		matches := x.Lookup(nil, keys, o.now)
		for i := range o.engines {
			o.compareEngine(t, &o.engines[i], keys, matches)
		}
	}
}

// compareEngine compares the matches of one engine. A bounded index may match fewer
// pieces than the engine holds, since sweeps drop entries.
func (o *oracle) compareEngine(t *rapid.T, e *oracleEngine, keys []prefix.Key, matches []prefix.Match) {
	want := slices.IndexFunc(keys, func(k prefix.Key) bool { return !e.held[k] })
	if want < 0 {
		want = len(keys)
	}
	i := slices.IndexFunc(matches, func(m prefix.Match) bool { return m.Engine == e.name })
	if i < 0 {
		must.True(t, want == 0 || o.bounded)
		return
	}
	must.True(t, matches[i].Pieces == want || o.bounded && matches[i].Pieces < want)
	must.Eq(t, fmt.Sprintf("%s-%d", e.name, e.incarnation), matches[i].Incarnation)
	must.Eq(t, fmt.Sprintf("w%d", e.weights), matches[i].Weights)
	must.Eq(t, e.outOfSync, matches[i].Confidence < 1)
}

// prompts are the keys of four prompts that share their first pieces.
var prompts = func() [][]prefix.Key {
	var list [][]prefix.Key
	for i := range 4 {
		prompt := make([]byte, 90*16)
		for j := range prompt {
			prompt[j] = byte(j / 16)
			if j >= 16*20*(i+1) {
				prompt[j] += byte(100 * i)
			}
		}
		list = append(list, prefix.Split(prefix.Salt{Customer: "a"}, prompt, 16).Keys)
	}
	return list
}()

func TestIndexAgainstOracle(t *testing.T) {
	must.NoError(t, seed.SetRapid())
	for name, bound := range map[string]int{"unbounded": 0, "bounded": 100} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				o := newOracle(bound)
				t.Repeat(map[string]func(*rapid.T){
					"store": o.store, "evict": o.evict, "lose": o.loseEvent, "repeat": o.repeatEvent,
					"restart": o.restart, "reweigh": o.changeWeights, "snapshot": o.snapshot, "": o.check,
				})
				if bound > 0 {
					must.LessEq(t, bound, o.index.Size().Pieces)
				}
			})
		})
	}
}

func TestSplit(t *testing.T) {
	prompt := []byte("house rules, row by row, and a patron's history")
	salt := prefix.Salt{Customer: "a", Model: "m", Version: "v1"}
	base := prefix.Split(salt, prompt, 8)
	must.Eq(t, 5, len(base.Keys))
	must.Eq(t, base.Keys[:3], prefix.Split(salt, prompt[:24], 8).Keys)
	for _, k := range base.Keys {
		must.Eq(t, base.Family().Partition(), k.Partition())
	}
	for _, other := range []prefix.Salt{
		{Customer: "b", Model: "m", Version: "v1"},
		{Customer: "a", Model: "m", Version: "v2"},
		{Customer: "a", Model: "m", Version: "v1", Adapter: "x"},
		{Customer: "am", Version: "v1"},
	} {
		keys := prefix.Split(other, prompt, 8).Keys
		for i, k := range keys {
			must.NotEq(t, base.Keys[i], k)
		}
		must.NotEq(t, salt.Digest(), other.Digest())
	}
}

func TestConfidenceDecay(t *testing.T) {
	x := prefix.NewIndex(0, start)
	x.LoadSnapshot("e", target.CacheSnapshot{Incarnation: "i", Pieces: rawKeys(prompts[0])}, start)
	x.SetEvictionRate("e", 100, 10)
	for _, c := range []struct {
		age        time.Duration
		confidence float64
	}{{0, 1}, {10 * time.Second, 1}, {15 * time.Second, 0.5}, {30 * time.Second, 0}} {
		must.Eq(t, c.confidence, x.Lookup(nil, prompts[0], start.Add(c.age))[0].Confidence)
	}
}
