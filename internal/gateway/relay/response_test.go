package relay

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

// TestEndlessEvent guards against an event without an end, in one line or in many, that is
// read and kept, and against the events of many streams at once.
func TestEndlessEvent(t *testing.T) {
	for name, text := range map[string]string{"one line": "data: x", "many lines": "data: x\n", "comments": ": x\n"} {
		t.Run(name, func(t *testing.T) {
			budget := intake.NewBudget(3 * maxEventBytes / 2)
			read := func() (*eventReader, error) {
				r := newEventReader(strings.NewReader(strings.Repeat(text, 2*maxEventBytes/len(text))), budget)
				_, err := r.next()
				return r, err
			}
			first, err := read()
			must.ErrorIs(t, err, intake.ErrTooLong)
			second, err := read()
			must.ErrorIs(t, err, intake.ErrNoRoom)
			first.release()
			second.release()
			must.Eq(t, 0, budget.Used())
		})
	}
}

// TestLongLineIsOneLine guards against an event that ends within a line as long as the
// read buffer, or takes its id from the rest of a longer one.
func TestLongLineIsOneLine(t *testing.T) {
	for size := streamBuffer - 40; size <= streamBuffer+40; size++ {
		for _, rest := range []string{"", "id: 9"} {
			first := fmt.Sprintf("id: 1\ndata: %s%s\n\n", strings.Repeat("x", size), rest)
			second := "id: 2\ndata: y\r\n\r\n"
			r := newEventReader(strings.NewReader(first+second+"id: 3\n"), nil)
			for i, want := range []string{first, second} {
				got, err := r.next()
				must.NoError(t, err)
				must.Eq(t, want, string(got.raw), must.Sprint(size))
				must.Eq(t, int64(i+1), got.id, must.Sprint(size))
			}
			_, err := r.next()
			must.True(t, errors.Is(err, errTruncated) && !errors.Is(err, io.EOF))
		}
	}
}
