package logline

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// A gate is an output whose writes block until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func TestWriter(t *testing.T) {
	t.Run("lines are written in order", func(t *testing.T) {
		g := &gate{open: make(chan struct{})}
		close(g.open)
		w := NewWriter(g)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			n, err := w.Write([]byte(line))
			must.NoError(t, err)
			must.Eq(t, len(line), n)
		}
		w.Close()
		must.Eq(t, "a\nb\nc\n", g.String())
	})
	t.Run("lines are dropped without blocking if the output blocks", func(t *testing.T) {
		g := &gate{open: make(chan struct{})}
		w := NewWriter(g)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 4 * MaxPendingBytes / len(line) {
			_, err := w.Write(line)
			must.NoError(t, err)
		}
		close(g.open)
		w.Close()
		must.StrContains(t, g.String(), "log lines dropped")
	})
}
