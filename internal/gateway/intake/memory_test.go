package intake

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A sender is a body that arrives by pieces, and fails once it is cut.
type sender struct {
	*io.PipeReader
	to *io.PipeWriter
}

func newSender() sender {
	r, w := io.Pipe()
	return sender{r, w}
}

func (s sender) cut() { _ = s.CloseWithError(io.ErrClosedPipe) }

// send sends n bytes and waits until they were read, unless the body is cut.
func (s sender) send(n int) { _, _ = s.to.Write(make([]byte, n)) }

// A reading is a body that is being read.
type reading struct {
	sender
	transfer *Transfer
	// result receives the error with which reading ended.
	result chan error
}

// read begins to read a body without a length.
func read(ctx context.Context, m *Memory) *reading {
	s := newSender()
	r := &reading{s, m.BeginBody(false, s.cut), make(chan error, 1)}
	go func() {
		_, err := r.transfer.Read(ctx, s, -1, 4<<20)
		if err != nil {
			r.transfer.Release()
			s.cut()
		}
		r.result <- err
	}()
	return r
}

func (m *Memory) mustUse(t *testing.T, n int64) {
	t.Helper()
	must.Eq(t, n, m.Vars().(map[string]int64)["used"])
}

// TestBodyCostsWhatHasArrived guards against memory that is taken for what a caller only
// announces.
func TestBodyCostsWhatHasArrived(t *testing.T) {
	m := NewMemory(16 << 20)
	for _, n := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, 1 << 20, 4 << 20} {
		for _, length := range []int64{-1, int64(n)} {
			body := m.BeginBody(false, func() {})
			data, err := body.Read(t.Context(), bytes.NewReader(make([]byte, n)), length, 4<<20)
			must.NoError(t, err)
			must.Len(t, n, data)
			must.LessEq(t, max(2*n, firstBodyBytes), cap(data))
			m.mustUse(t, int64(cap(data)))
			body.Release()
			m.mustUse(t, 0)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(16 << 20)
		s := newSender()
		body := m.BeginBody(false, s.cut)
		go func() { _, _ = body.Read(t.Context(), s, 4<<20, 4<<20) }()
		s.send(100)
		synctest.Wait()
		m.mustUse(t, firstBodyBytes)
		s.cut()
		synctest.Wait()
		body.Release()
		m.mustUse(t, 0)
	})
}

// TestTooLongBody guards against a body without a length that is read beyond the limit.
func TestTooLongBody(t *testing.T) {
	m, e := NewMemory(16<<20), &endless{}
	body := m.BeginBody(false, func() {})
	_, err := body.Read(t.Context(), e, -1, 1<<20)
	must.ErrorIs(t, err, ErrTooLong)
	must.LessEq(t, 1<<20+1, e.read)
	body.Release()
	m.mustUse(t, 0)
}

// TestStalledBodyMakesRoom guards against bodies that stop short of their end and keep out
// those that arrive.
func TestStalledBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(6 << 20)
		first := read(t.Context(), m)
		first.send(600 << 10)
		time.Sleep(stalledAfter / 2)
		second := read(t.Context(), m)
		second.send(600 << 10)
		time.Sleep(stalledAfter)
		third := read(t.Context(), m)
		third.send(1<<20 + 1)
		must.NoError(t, third.to.Close())
		must.NoError(t, <-third.result)
		must.ErrorIs(t, <-first.result, ErrEvicted)
		synctest.Wait()
		must.Eq(t, 0, len(second.result), must.Sprint("the one that has made no progress for longest is enough"))
		second.cut()
		must.Error(t, <-second.result)
		third.transfer.Release()
		m.mustUse(t, 0)
	})
}

// TestOldestBodyMakesRoom guards against bodies that arrive byte by byte and keep out all
// others.
func TestOldestBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(6 << 20)
		drip := func(r *reading) {
			for {
				if _, err := r.to.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(stalledAfter / 4)
			}
		}
		var slow []*reading
		for range 2 {
			r := read(t.Context(), m)
			r.send(600 << 10)
			slow = append(slow, r)
			go drip(r)
			time.Sleep(time.Millisecond)
		}
		last := read(t.Context(), m)
		begun := time.Now()
		last.send(1<<20 + 1)
		must.NoError(t, last.to.Close())
		must.NoError(t, <-last.result)
		must.LessEq(t, 4*maxRoomWait, time.Since(begun))
		must.ErrorIs(t, <-slow[0].result, ErrEvicted)
		slow[1].cut()
		must.Error(t, <-slow[1].result)
		last.transfer.Release()
		m.mustUse(t, 0)
		// Both senders notice that they were cut.
		time.Sleep(stalledAfter)
	})
}

// TestPartsAreKept guards against large bodies that keep out small ones, and against
// requests that are not urgent that keep out urgent ones.
func TestPartsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(8 << 20)
		receive := func(urgent bool, n int) (*Transfer, error) {
			body := m.BeginBody(urgent, func() {})
			_, err := body.Read(t.Context(), bytes.NewReader(make([]byte, n)), int64(n), 8<<20)
			if err != nil {
				body.Release()
			}
			return body, err
		}
		// fill receives bodies until there is no room.
		fill := func(urgent bool, n int) (count int) {
			for {
				if _, err := receive(urgent, n); err != nil {
					must.ErrorIs(t, err, ErrNoRoom)
					return count
				}
				count++
			}
		}
		must.Positive(t, fill(false, 1<<20))
		must.Positive(t, fill(false, 32<<10), must.Sprint("room for small bodies"))
		must.Positive(t, fill(true, 32<<10), must.Sprint("room for urgent ones"))
		must.LessEq(t, 8<<20, m.Vars().(map[string]int64)["used"])
	})
}

// TestConnectionsLeaveRoom guards against open connections that leave no memory for requests.
func TestConnectionsLeaveRoom(t *testing.T) {
	m := NewMemory(4 << 20)
	for m.Reserve(Connections, 20<<10) {
		must.LessEq(t, 4<<20, m.Vars().(map[string]int64)["used"])
	}
	must.False(t, m.Reserve(Headers, 20<<10))
	must.True(t, m.Reserve(Requests, RequestCost))
}

// TestUnreadAnswerMakesRoom guards against callers that don't read their answers and keep
// out requests, and against answers that are cut although their callers read them.
func TestUnreadAnswerMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(1 << 20)
		cut := map[string]bool{}
		begin := func(name string) *Transfer {
			return m.BeginAnswer(600<<10, func() { cut[name] = true })
		}
		unread := begin("unread")
		read := begin("read")
		must.MapLen(t, 0, cut)
		must.False(t, m.Reserve(Requests, RequestCost))
		time.Sleep(unreadAfter + time.Second)
		must.NoError(t, read.Write(io.Discard, make([]byte, 100<<10)))
		must.True(t, m.EvictStalled())
		must.False(t, m.EvictStalled())
		must.Eq(t, map[string]bool{"unread": true}, cut)
		must.True(t, unread.Evicted())
		unread.Release()
		must.True(t, m.Reserve(Requests, RequestCost))
		m.Release(Requests, RequestCost)
		read.Release()
		m.mustUse(t, 0)
	})
}

// TestLargestBodyFits guards against a budget of the smallest VM in which the largest body
// finds no room although there is nothing else.
func TestLargestBodyFits(t *testing.T) {
	m := NewMemory(112 << 20 * 3 / 8)
	for _, length := range []int64{-1, 4 << 20} {
		body := m.BeginBody(false, func() {})
		_, err := body.Read(t.Context(), bytes.NewReader(make([]byte, 4<<20)), length, 4<<20)
		must.NoError(t, err)
		body.Release()
	}
}
