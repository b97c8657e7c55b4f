package relay

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLongLineIsOneLine guards against an event that ends within a line as long as the
// read buffer, or takes its id from the rest of a longer one.
func TestLongLineIsOneLine(t *testing.T) {
	for size := streamBuffer - 40; size <= streamBuffer+40; size++ {
		for _, rest := range []string{"", "id: 9"} {
			first := fmt.Sprintf("id: 1\ndata: %s%s\n\n", strings.Repeat("x", size), rest)
			second := "id: 2\ndata: y\r\n\r\n"
			r := newEventReader(strings.NewReader(first + second + "id: 3\n"))
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
