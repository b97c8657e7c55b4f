package shares

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// A reader is a Registry and what it reads.
type reader struct {
	*Registry
	now     time.Time
	list    []Record
	version int64
	// heard are the VMs that it hears.
	heard map[string]bool
}

// newReader returns a reader whose VM is called "n", before records of others.
func newReader(others ...Record) *reader {
	r := &reader{now: time.Unix(1000, 0), heard: map[string]bool{}, version: 100}
	r.Registry = NewRegistry("n", r.now)
	for _, rec := range others {
		r.put(rec)
	}
	return r
}

// put writes a record of another VM.
func (r *reader) put(rec Record) {
	r.remove(rec.VM)
	r.version++
	r.list = append(r.list, rec.At(r.version))
}

// remove removes the record of a VM.
func (r *reader) remove(vm string) {
	for i := range r.list {
		if r.list[i].VM == vm {
			r.list = append(r.list[:i:i], r.list[i+1:]...)
			return
		}
	}
}

// read reads the records after a time, and returns those that may be removed.
func (r *reader) read(after time.Duration) (removable []string) {
	r.now = r.now.Add(after)
	for _, rec := range r.Apply(r.list, r.version, r.now, r.alive) {
		removable = append(removable, rec.VM)
	}
	return removable
}

func (r *reader) alive(vm string) bool { return r.heard[vm] }

// renew reads the records, writes the one of this VM and reads them again.
func (r *reader) renew(after time.Duration) {
	r.read(after)
	rec, _ := r.Next()
	r.put(rec)
	r.Renewed(r.now)
	r.read(0)
}

// recordOf returns a record of a VM that has run for long.
func recordOf(vm string, since, seen, part int64, others int) Record {
	return Record{VM: vm, Since: since, Seen: seen, LeaseMS: Lease.Milliseconds(), Part: &part, Others: others}
}

// assertPart checks which part this VM may use while others are silent, in millionths.
func assertPart(t *testing.T, r *reader, want int64, reason string) {
	t.Helper()
	got := int64(0)
	if m := r.Members(); r.now.Before(m.ShareUntil) {
		got = int64(m.Part * whole)
	}
	must.Eq(t, want, got, must.Sprint(reason))
}

// TestPartsExceedWhole guards against parts that are more than the whole together, because a VM uses one
// before its record says so, or one that others have not left yet.
func TestPartsExceedWhole(t *testing.T) {
	t.Run("others lower theirs first", func(t *testing.T) {
		r := newReader(recordOf("a", 1, 200, whole/2, 1), recordOf("b", 2, 200, whole/2, 1))
		r.renew(0)
		r.renew(0)
		assertPart(t, r, 0, "the others have all of it")
		r.put(recordOf("a", 1, 200, whole/3, 2))
		r.renew(time.Second)
		assertPart(t, r, whole-whole/2-whole/3, "what a has left")
		r.put(recordOf("b", 2, 200, whole/3, 2))
		r.read(time.Second)
		assertPart(t, r, whole-whole/2-whole/3, "its record does not state more")
		r.renew(time.Second)
		assertPart(t, r, whole/3, "an equal part")
	})
	t.Run("two raise theirs at once", func(t *testing.T) {
		r := newReader(recordOf("a", 1, 200, 0, 1))
		r.renew(0)
		r.read(0)
		rec, _ := r.Next()
		must.Eq(t, whole/2, *rec.Part)
		r.put(rec)
		r.put(recordOf("a", 1, 200, whole, 1))
		r.Renewed(r.now)
		r.read(0)
		assertPart(t, r, 0, "a states the whole")
	})
	t.Run("a write whose result is unknown states less", func(t *testing.T) {
		r := newReader(recordOf("a", 1, 200, whole/2, 1))
		r.renew(0)
		r.renew(0)
		r.renew(0)
		assertPart(t, r, whole/2, "an equal part")
		r.put(recordOf("b", 110, 200, 0, 2))
		r.read(0)
		r.Next()
		r.remove("b")
		r.read(0)
		assertPart(t, r, whole/3, "the record may arrive later")
		r.renew(0)
		assertPart(t, r, whole/2, "a later one is written")
	})
	t.Run("the store was restored from a copy", func(t *testing.T) {
		r := newReader(recordOf("a", 1, 200, whole/2, 1))
		r.renew(0)
		r.renew(0)
		r.remove("a")
		r.version = 1<<40 + 1
		r.put(recordOf("a", 1, 200, whole/10, 1))
		r.read(time.Second)
		must.Eq(t, 0.5, r.Members().Parts["a"], must.Sprint("it may not know yet"))
	})
}

// TestNewVMBesideVMsInTouch guards against a VM that uses a part while VMs that do not know it use the whole
// limit among themselves, without the store.
func TestNewVMBesideVMsInTouch(t *testing.T) {
	// Three of four VMs are silent, and the fourth one has stopped, so that a part is free.
	play := func() *reader {
		r := newReader(recordOf("a", 1, 50, whole/4, 2), recordOf("b", 2, 50, whole/4, 2), recordOf("c", 3, 50, whole/4, 2))
		r.renew(0)
		r.renew(time.Second)
		r.renew(2 * quietTimeout)
		return r
	}
	t.Run("all are silent", func(t *testing.T) {
		r := play()
		assertPart(t, r, 0, "they may be in touch")
		must.Len(t, 0, r.read(2*Lease), must.Sprint("for longer than their leases"))
		must.Eq(t, []string{"a", "b", "c"}, r.read(unawareTimeout))
	})
	t.Run("one is heard", func(t *testing.T) {
		r := play()
		r.heard["c"] = true
		r.renew(time.Second)
		assertPart(t, r, 0, "c does not know this VM")
		r.put(recordOf("c", 3, r.version, whole/4, 3))
		r.renew(time.Second)
		assertPart(t, r, whole/4, "a and b are not in touch with c")
	})
	t.Run("one is heard, the others were until now", func(t *testing.T) {
		r := play()
		r.heard["a"], r.heard["b"], r.heard["c"] = true, true, true
		r.put(recordOf("c", 3, r.version, whole/4, 3))
		r.renew(time.Second)
		r.heard["a"], r.heard["b"] = false, false
		r.renew(time.Second)
		assertPart(t, r, 0, "c may be cut off with them, and not be missed yet")
		r.renew(2 * quietTimeout)
		assertPart(t, r, whole/4, "it is heard, and they are not")
	})
	t.Run("one was stopped", func(t *testing.T) {
		r := play()
		stopped := recordOf("c", 3, 50, 0, 2)
		stopped.Stopped = true
		r.put(stopped)
		r.renew(time.Second)
		assertPart(t, r, whole/4, "a and b are not in touch with c")
		must.Eq(t, []string{"a", "b", "c"}, r.read(Lease+Lease/10))
	})
	t.Run("they are of an earlier build", func(t *testing.T) {
		r := play()
		for _, vm := range []string{"a", "b", "c"} {
			rec := recordOf(vm, 1, 50, 0, 0)
			rec.Part = nil
			r.put(rec)
		}
		r.heard["c"] = true
		r.renew(2 * quietTimeout)
		assertPart(t, r, 0, "they state no part")
	})
}

// TestRemovedVMIsMissedUntilRecordSaysSo guards against VMs that use the whole limit without one whose record
// is gone, while their own records still say that they would not.
func TestRemovedVMIsMissedUntilRecordSaysSo(t *testing.T) {
	r := newReader(recordOf("a", 1, 200, whole/3, 2), recordOf("b", 2, 200, whole/3, 2))
	r.renew(0)
	r.renew(0)
	r.remove("b")
	r.read(time.Second)
	must.Eq(t, []string{"a", "b"}, r.Members().VMs)
	r.renew(time.Second)
	must.Eq(t, []string{"a"}, r.Members().VMs)
}

// TestJoiningVMStopsWithItsLease guards against VMs that divide the limits without the store for long after
// they have joined: others wait no longer than the short lease for a VM that is lost then.
func TestJoiningVMStopsWithItsLease(t *testing.T) {
	r := newReader(recordOf("a", 1, 200, whole/2, 1))
	r.heard["a"] = true
	for range maxJoins {
		r.renew(joinInterval)
		must.LessEq(t, JoinLease, r.Members().ContactUntil.Sub(r.now))
		r.Interval(r.alive)
	}
	for range 2 {
		r.renew(joinInterval)
		r.Interval(r.alive)
	}
	must.Eq(t, ContactTimeout, r.Members().ContactUntil.Sub(r.now))
	other := newReader(Record{VM: "a", Since: 1, Seen: 0, LeaseMS: JoinLease.Milliseconds(), Part: new(int64), Joining: true})
	other.renew(0)
	other.renew(0)
	must.Len(t, 0, other.read(JoinLease))
	must.Eq(t, []string{"a"}, other.read(2*leaseMargin))
}

// TestNextProcessTakesOverShare guards against a process that joins like a new VM after a planned stop, so
// that lost VMs which knew the process before do not know it.
func TestNextProcessTakesOverShare(t *testing.T) {
	old := newReader(recordOf("a", 1, 50, whole/2, 1))
	old.renew(0)
	since := old.own.since()
	old.renew(0)
	lost := recordOf("a", 1, since, whole/2, 1)

	r := newReader(lost, old.Stop(old.own.version))
	r.renew(downTime)
	must.Eq(t, since, r.own.since())
	r.renew(0)
	assertPart(t, r, whole/2, "a knew the process before")

	other := newReader(lost, old.Stop(old.own.version))
	other.vm = "m"
	other.renew(0)
	other.renew(0)
	must.Eq(t, []string{"n"}, other.Members().Stopped)
	must.Len(t, 0, other.read(restartTimeout/2))
	must.Eq(t, []string{"n"}, other.read(restartTimeout), must.Sprint("its machine does not start again"))
}

// TestHeldPartIsNamed guards against operators who can't see which VM's record holds back the others.
func TestHeldPartIsNamed(t *testing.T) {
	var lines bytes.Buffer
	r := newReader(recordOf("a", 1, 50, whole/2, 1), recordOf("b", 2, 50, whole/2, 1))
	clock := &fixedClock{}
	task := &Task{opts: Options{Clock: clock, Log: log.NewLogfmtLogger(&lines), OnChange: func(Members) {}}, registry: r.Registry}
	publish := func(after time.Duration) []Held {
		r.renew(after)
		clock.now = r.now
		task.publish()
		return r.Members().Held
	}
	start := r.now
	must.Len(t, 0, publish(0), must.Sprint("a VM that starts has heard nobody yet"))
	for range 3 {
		held := publish(quietTimeout)
		must.Len(t, 2, held)
		must.Eq(t, Held{VM: "a", Part: 0.5, Until: start.Add(unawareTimeout), Blocks: true}, held[0])
	}
	must.Eq(t, 1, strings.Count(lines.String(), `msg="share of silent VM is not free" peer=a part=0.5 wait=9m57s blocks=true`))

	r.heard["b"] = true
	held := publish(quietTimeout)
	must.Len(t, 1, held)
	must.False(t, held[0].Blocks, must.Sprint("a is not in touch with b"))
	must.Eq(t, 1, strings.Count(lines.String(), "peer=a part=0.5 wait=20s blocks=false"))
	r.heard["a"] = true
	must.Len(t, 0, publish(0))
}

// A fixedClock is a store.Clock that stands still.
type fixedClock struct{ now time.Time }

// Now implements store.Clock.
func (c *fixedClock) Now() time.Time { return c.now }
