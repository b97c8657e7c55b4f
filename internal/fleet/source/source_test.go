package source

import (
	"bytes"
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

// decoder decodes values that are decimal numbers.
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

// A feed is an object store in memory with switches for faults.
type feed struct {
	mu      sync.Mutex
	objects map[string]store.Object
	history []store.Event
	at      int64
	floor   int64
	down    error
	silent  bool
	// cuts counts how often the calls that wait were cut off.
	cuts int
	// latency is how long a call takes, and calls counts them.
	latency time.Duration
	calls   int
	// delay is how long the store takes to send the result of a call.
	delay time.Duration
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

// set runs change with the lock held.
func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// call counts a call and waits for its latency.
func (f *feed) call(ctx context.Context) {
	f.mu.Lock()
	f.calls++
	latency := f.latency
	f.mu.Unlock()
	store.Sleep(ctx, latency)
}

func (f *feed) Snapshot(ctx context.Context, kind string) ([]store.Object, int64, error) {
	f.call(ctx)
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
	f.call(ctx)
	cuts := f.cutCount()
	for end := time.Now().Add(wait); ; {
		events, at, silent, err := f.since(kind, after)
		switch {
		case f.cutCount() > cuts:
			return nil, 0, store.ErrUnavailable
		case err != nil:
			return nil, 0, err
		case silent:
			store.Sleep(ctx, time.Until(end))
			return nil, 0, store.ErrUnavailable
		case len(events) > 0 || !time.Now().Before(end):
			store.Sleep(ctx, f.sendDelay())
			return events, at, nil
		}
		if !store.Sleep(ctx, min(10*time.Millisecond, time.Until(end))) {
			return nil, 0, ctx.Err()
		}
	}
}

func (f *feed) sendDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

func (f *feed) cutCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts
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

// runSource runs a script against a running source in virtual time.
func runSource(t *testing.T, script func(f *feed, s *Source)) {
	t.Helper()
	runSourceWith(t, decoder, script)
}

// runSourceWith is runSource with the given decoder.
func runSourceWith(t *testing.T, d Decoder, script func(f *feed, s *Source)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFeed()
		s := New(Options{Feed: f, Decoder: d, Log: log.NewNopLogger()})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		script(f, s)
		cancel()
		must.NoError(t, <-done)
	})
}

func TestPoll(t *testing.T) {
	t.Run("changes are applied at once and the configuration version never decreases", func(t *testing.T) {
		runSource(t, func(f *feed, s *Source) {
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
	t.Run("a snapshot is read after a lost history", func(t *testing.T) {
		runSource(t, func(f *feed, s *Source) {
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
	t.Run("a read without a response times out", func(t *testing.T) {
		runSource(t, func(f *feed, s *Source) {
			f.put("config/main", "5")
			<-s.Ready()
			f.set(func() { f.silent = true })
			time.Sleep(2 * time.Second)
			f.set(func() { f.silent = false })
			f.put("config/main", "6")
			time.Sleep(maxPollWait + maxRetryDelay)
			must.Eq(t, 6, s.View().Config.Version)
		})
	})
}

// TestIgnoredObjectIsLoggedOnce guards against a log that repeats an odd object at each
// read, or quotes all of it.
func TestIgnoredObjectIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		f := newFeed()
		var lines bytes.Buffer
		s := New(Options{Feed: f, Decoder: decoder, Log: log.NewLogfmtLogger(log.NewSyncWriter(&lines))})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		f.put("config/main", "5")
		odd := strings.Repeat("9", 10_000)
		for _, key := range []string{"config/odd", "targets/odd", "weights/odd"} {
			f.put(key, odd)
		}
		<-s.Ready()
		for i := range 10 {
			f.put("targets/a", strconv.Itoa(i))
			f.put("weights/m", strconv.Itoa(i))
			f.put("config/main", strconv.Itoa(6+i))
			time.Sleep(time.Second)
		}
		f.set(func() { f.history, f.floor = nil, f.at })
		time.Sleep(5 * time.Second)
		cancel()
		must.NoError(t, <-done)
		for _, msg := range []string{"configuration ignored", "target entry ignored", "weights ignored"} {
			must.Eq(t, 1, strings.Count(lines.String(), msg), must.Sprint(msg))
		}
		must.StrNotContains(t, lines.String(), odd[:1000])
	})
}

func TestRecoveryGrace(t *testing.T) {
	outage := func(f *feed) {
		f.set(func() { f.down = store.ErrUnavailable })
		time.Sleep(5 * time.Second)
		f.remove("targets/a")
		f.remove("targets/b")
		f.set(func() { f.history, f.floor, f.down = nil, f.at, nil })
	}
	runSource(t, func(f *feed, s *Source) {
		f.put("targets/a", "1")
		f.put("targets/b", "1")
		f.put("config/main", "5")
		<-s.Ready()
		outage(f)
		time.Sleep(time.Second)
		must.MapLen(t, 2, s.View().Targets, must.Sprint("missing entries are kept during the grace period"))
		f.put("targets/a", "1")
		time.Sleep(recoveryGrace + expireInterval)
		must.MapContainsKey(t, s.View().Targets, "a")
		must.MapNotContainsKey(t, s.View().Targets, "b")

		f.remove("targets/a")
		time.Sleep(50 * time.Millisecond)
		must.MapLen(t, 0, s.View().Targets, must.Sprint("there is no grace period without an outage"))
	})
}

func TestPull(t *testing.T) {
	runSource(t, func(f *feed, s *Source) {
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

func TestMergeAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Decoder: decoder})
	s.MergeAnnouncements([]Announcement{{"m", 2, 5000}, {"m", 3, 1000}}, now)
	must.Eq(t, 3, s.View().Weights.Latest("m"))
	for _, c := range []struct {
		has        int64
		at         time.Duration
		superseded bool
	}{{1, -5 * time.Second, true}, {2, -time.Second, true}, {3, 0, false}} {
		at, superseded := s.View().Weights.SupersededAt("m", c.has)
		must.Eq(t, c.superseded, superseded, must.Sprint(fmt.Sprint(c.has)))
		if superseded {
			must.Eq(t, now.Add(c.at), at)
		}
	}
	s.MergeAnnouncements([]Announcement{{"m", 3, 4000}}, now)
	at, _ := s.View().Weights.SupersededAt("m", 2)
	must.Eq(t, now.Add(-4*time.Second), at, must.Sprint("an earlier time replaces a later one"))
}

func TestAnnouncementTime(t *testing.T) {
	supersededFor := func(s *Source) time.Duration {
		at, ok := s.View().Weights.SupersededAt("m", 1)
		must.True(t, ok)
		return time.Since(at)
	}
	t.Run("weights read at the start may have been announced earlier", func(t *testing.T) {
		runSource(t, func(f *feed, s *Source) {
			f.put("weights/m", "2")
			f.put("config/main", "5")
			<-s.Ready()
			time.Sleep(100 * time.Millisecond)
			must.GreaterEq(t, assumedAge, supersededFor(s))
			must.Len(t, 0, s.Announcements(time.Now()), must.Sprint("an assumed time is not shared"))
			s.MergeAnnouncements([]Announcement{{"m", 2, 1000}}, time.Now())
			must.Eq(t, time.Second, supersededFor(s), must.Sprint("a reported time replaces an assumed one"))
			f.put("weights/m", "4")
			time.Sleep(100 * time.Millisecond)
			s.MergeAnnouncements([]Announcement{{"m", 3, 9000}}, time.Now())
			at, _ := s.View().Weights.SupersededAt("m", 2)
			must.Eq(t, 9*time.Second, time.Since(at), must.Sprint("versions that the store no longer has are added too"))
		})
	})
	t.Run("weights announced later are new, including the first ones", func(t *testing.T) {
		runSource(t, func(f *feed, s *Source) {
			f.put("config/main", "5")
			<-s.Ready()
			time.Sleep(startPeriod)
			f.put("weights/m", "2")
			time.Sleep(100 * time.Millisecond)
			must.LessEq(t, 200*time.Millisecond, supersededFor(s))
		})
	})
}
