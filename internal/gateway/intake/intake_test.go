package intake

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// endless is a reader without an end that counts what is read of it.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read += int64(len(p))
	return len(p), nil
}

func TestRead(t *testing.T) {
	t.Run("a short answer is whole and takes nothing of the budget", func(t *testing.T) {
		b := NewBudget(0)
		for _, n := range []int{0, 1, firstBytes, Free - 1} {
			body, err := b.Read(bytes.NewReader(make([]byte, n)), 1<<20)
			must.NoError(t, err)
			must.Len(t, n, body.Data)
			must.Eq(t, 0, b.Used())
		}
	})
	t.Run("an answer without an end is read up to the limit", func(t *testing.T) {
		b, e := NewBudget(4<<20), &endless{}
		_, err := b.Read(e, 1<<20)
		must.ErrorIs(t, err, ErrTooLong)
		must.LessEq(t, 1<<20+1, e.read)
		must.Eq(t, 0, b.Used())
	})
	t.Run("long answers share the budget", func(t *testing.T) {
		b := NewBudget(1 << 20)
		first, err := b.Read(bytes.NewReader(make([]byte, 400<<10)), 1<<20)
		must.NoError(t, err)
		must.LessEq(t, 1<<20, b.Used())
		_, err = b.Read(&endless{}, 4<<20)
		must.ErrorIs(t, err, ErrNoRoom)
		first.Release()
		must.Eq(t, 0, b.Used())
		second, err := b.Read(bytes.NewReader(make([]byte, 400<<10)), 1<<20)
		must.NoError(t, err)
		second.Release()
	})
	t.Run("an answer that breaks off is an error", func(t *testing.T) {
		b := NewBudget(1 << 20)
		_, err := b.Read(io.MultiReader(bytes.NewReader(make([]byte, 200<<10)), iotest.ErrReader(io.ErrUnexpectedEOF)), 1<<20)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Eq(t, 0, b.Used())
	})
}

// TestReadAgainstOracle checks that an answer is whole or an error, and that the budget is
// neither exceeded nor lost.
func TestReadAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1<<20).Draw(t, "budget")
		b := NewBudget(limit)
		var held []*Body
		for range rapid.IntRange(1, 8).Draw(t, "answers") {
			n := rapid.IntRange(0, 300<<10).Draw(t, "bytes")
			most := rapid.Int64Range(0, 300<<10).Draw(t, "most")
			body, err := b.Read(bytes.NewReader(make([]byte, n)), most)
			switch {
			case err == nil && (len(body.Data) != n || int64(n) > most):
				t.Fatalf("%d of %d bytes, at most %d", len(body.Data), n, most)
			case err == nil:
				held = append(held, body)
			case errors.Is(err, ErrTooLong) && int64(n) <= most:
				t.Fatalf("%d bytes are too long for %d", n, most)
			case errors.Is(err, ErrNoRoom) && n <= Free/2:
				t.Fatalf("no room for %d bytes", n)
			}
			if used := b.Used(); used > limit || used < 0 {
				t.Fatalf("%d of %d bytes used", used, limit)
			}
		}
		for _, body := range held {
			body.Release()
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes not released", b.Used())
		}
	})
}
