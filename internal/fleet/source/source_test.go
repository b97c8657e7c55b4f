package source

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// decoder reads values that are numbers.
var decoder = Decoder{
	Kinds: [kinds]string{"config", "targets", "weights"},
	Config: func(spec []byte) (*site.Config, error) {
		n, err := strconv.ParseInt(string(spec), 10, 64)
		return &site.Config{Version: n}, err
	},
	Target: func(id string, spec []byte) (*site.Target, error) {
		born, err := strconv.ParseInt(string(spec), 10, 64)
		return &site.Target{ID: id, Born: born}, err
	},
	Weights: func(spec []byte) (string, int64, error) {
		n, err := strconv.ParseInt(string(spec), 10, 64)
		return "m", n, err
	},
}

// A feed is a store in memory.
type feed struct {
	mu      sync.Mutex
	objects map[string]store.Object
	history []store.Event
	at      int64
	floor   int64
	down    error
	silent  bool
}

func newFeed() *feed { return &feed{objects: map[string]store.Object{}, at: 1} }

func (f *feed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at++
	o := store.Object{Key: key, Version: f.at, Value: []byte(value)}
	f.objects[key] = o
	f.history = append(f.history, store.Event{Object: o})
}

func (f *feed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at++
	o := f.objects[key]
	o.Version = f.at
	delete(f.objects, key)
	f.history = append(f.history, store.Event{Object: o, Deleted: true})
}

// set changes the switches.
func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *feed) Snapshot(_ context.Context, kind string) ([]store.Object, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down != nil {
		return nil, 0, f.down
	}
	var out []store.Object
	for key, o := range f.objects {
		if strings.HasPrefix(key, kind+"/") {
			out = append(out, o)
		}
	}
	return out, f.at, nil
}

func (f *feed) Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	for end := time.Now().Add(wait); ; {
		events, at, silent, err := f.since(kind, after)
		switch {
		case err != nil:
			return nil, 0, err
		case silent:
			store.Sleep(ctx, time.Until(end))
			return nil, 0, store.ErrUnavailable
		case len(events) > 0 || !time.Now().Before(end):
			return events, at, nil
		}
		if !store.Sleep(ctx, 10*time.Millisecond) {
			return nil, 0, ctx.Err()
		}
	}
}

func (f *feed) since(kind string, after int64) (events []store.Event, at int64, silent bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down != nil {
		return nil, 0, false, f.down
	}
	if after < f.floor {
		return nil, 0, false, store.ErrHistoryLost
	}
	for _, e := range f.history {
		if e.Object.Version > after && strings.HasPrefix(e.Object.Key, kind+"/") {
			events = append(events, e)
		}
	}
	return events, f.at, f.silent, nil
}

// play runs a source in virtual time.
func play(t *testing.T, script func(f *feed, s *Source)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFeed()
		s := New(Options{Feed: f, Decoder: decoder, Log: log.NewNopLogger()})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		script(f, s)
		cancel()
		must.NoError(t, <-done)
	})
}

func TestFollow(t *testing.T) {
	t.Run("changes are seen at once and versions never go back", func(t *testing.T) {
		play(t, func(f *feed, s *Source) {
			f.put("config/main", "5")
			f.put("targets/a", "1")
			<-s.Ready()
			f.put("config/main", "7")
			time.Sleep(50 * time.Millisecond)
			must.Eq(t, 7, s.View().Config.Version)
			f.put("config/main", "6")
			f.put("config/main", "junk")
			f.put("targets/b", "junk")
			time.Sleep(50 * time.Millisecond)
			must.Eq(t, 7, s.View().Config.Version)
			must.MapLen(t, 1, s.View().Targets)
		})
	})
	t.Run("a lost history is read anew", func(t *testing.T) {
		play(t, func(f *feed, s *Source) {
			f.put("targets/a", "1")
			f.put("config/main", "5")
			<-s.Ready()
			f.remove("targets/a")
			f.put("targets/b", "1")
			f.set(func() { f.history, f.floor = nil, f.at })
			time.Sleep(100 * time.Millisecond)
			must.MapNotContainsKey(t, s.View().Targets, "a")
			must.MapContainsKey(t, s.View().Targets, "b")
		})
	})
	t.Run("a silent read ends in time", func(t *testing.T) {
		play(t, func(f *feed, s *Source) {
			f.put("config/main", "5")
			<-s.Ready()
			f.set(func() { f.silent = true })
			time.Sleep(2 * time.Second)
			f.set(func() { f.silent = false })
			f.put("config/main", "6")
			time.Sleep(waitTime + retryMost)
			must.Eq(t, 6, s.View().Config.Version)
		})
	})
}

func TestGrace(t *testing.T) {
	outage := func(f *feed) {
		f.set(func() { f.down = store.ErrUnavailable })
		time.Sleep(5 * time.Second)
		f.remove("targets/a")
		f.remove("targets/b")
		f.set(func() { f.history, f.floor, f.down = nil, f.at, nil })
	}
	play(t, func(f *feed, s *Source) {
		f.put("targets/a", "1")
		f.put("targets/b", "1")
		f.put("config/main", "5")
		<-s.Ready()
		outage(f)
		time.Sleep(time.Second)
		must.MapLen(t, 2, s.View().Targets, must.Sprint("entries may yet return"))
		f.put("targets/a", "1")
		time.Sleep(returnGrace + settlePeriod)
		must.MapContainsKey(t, s.View().Targets, "a")
		must.MapNotContainsKey(t, s.View().Targets, "b")

		f.remove("targets/a")
		time.Sleep(50 * time.Millisecond)
		must.MapLen(t, 0, s.View().Targets, must.Sprint("without an outage there is no grace"))
	})
}

func TestPull(t *testing.T) {
	play(t, func(f *feed, s *Source) {
		f.put("config/main", "5")
		<-s.Ready()
		other := New(Options{Feed: &feed{down: errors.New("cut off")}, Decoder: decoder})
		network := peer.NewMemory()
		s.Register(network.Node("a", "a:1"))
		must.Eq(t, []int{Config, Targets, WeightVersions}[:1], other.StaleKinds(s.Positions())[:1])
		must.NoError(t, other.PullFrom(context.Background(), network.Node("b", "b:1"), peer.Destination{VM: "a", Address: "a:1"}, Config))
		must.Eq(t, 5, other.View().Config.Version)
		must.Len(t, 0, s.StaleKinds(other.Positions()))
	})
}

func TestNames(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Decoder: decoder})
	s.MergeAnnouncements([]Announcement{{"m", 2, 5000}, {"m", 3, 1000}}, now)
	must.Eq(t, 3, s.View().Weights.Latest("m"))
	for _, c := range []struct {
		has  int64
		at   time.Duration
		gone bool
	}{{1, -5 * time.Second, true}, {2, -time.Second, true}, {3, 0, false}} {
		at, gone := s.View().Weights.SupersededAt("m", c.has)
		must.Eq(t, c.gone, gone, must.Sprint(fmt.Sprint(c.has)))
		if gone {
			must.Eq(t, now.Add(c.at), at)
		}
	}
	s.MergeAnnouncements([]Announcement{{"m", 3, 4000}}, now)
	at, _ := s.View().Weights.SupersededAt("m", 2)
	must.Eq(t, now.Add(-4*time.Second), at, must.Sprint("an earlier word counts"))
}

func TestNamedAt(t *testing.T) {
	overtaken := func(s *Source) time.Duration {
		at, ok := s.View().Weights.SupersededAt("m", 1)
		must.True(t, ok)
		return time.Since(at)
	}
	t.Run("weights found at the start may have been named before", func(t *testing.T) {
		play(t, func(f *feed, s *Source) {
			f.put("weights/m", "2")
			f.put("config/main", "5")
			<-s.Ready()
			time.Sleep(100 * time.Millisecond)
			must.GreaterEq(t, startAge, overtaken(s))
			must.Len(t, 0, s.Announcements(time.Now()), must.Sprint("a guess is not told"))
			s.MergeAnnouncements([]Announcement{{"m", 2, 1000}}, time.Now())
			must.Eq(t, time.Second, overtaken(s), must.Sprint("a word replaces a guess"))
			f.put("weights/m", "4")
			time.Sleep(100 * time.Millisecond)
			s.MergeAnnouncements([]Announcement{{"m", 3, 9000}}, time.Now())
			at, _ := s.View().Weights.SupersededAt("m", 2)
			must.Eq(t, 9*time.Second, time.Since(at), must.Sprint("versions that the store no longer has are learnt too"))
		})
	})
	t.Run("weights named later are new, the first ones too", func(t *testing.T) {
		play(t, func(f *feed, s *Source) {
			f.put("config/main", "5")
			<-s.Ready()
			time.Sleep(startTime)
			f.put("weights/m", "2")
			time.Sleep(100 * time.Millisecond)
			must.LessEq(t, 200*time.Millisecond, overtaken(s))
		})
	})
}
