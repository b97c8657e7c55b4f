// Package logline writes log lines without ever making the writer of a line
// wait: a reader that stops reading costs lines, not requests.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// MaxPending bounds the bytes that wait to be written.
const MaxPendingBytes = 256 << 10

const (
	// flushPeriod is the longest time that a line waits.
	flushPeriod = 100 * time.Millisecond
	// flushBytes is the size of pending lines that are written at once.
	flushBytes = 16 << 10
	// closeTimeout bounds the wait for a reader at the end of the process.
	closeTimeout = 200 * time.Millisecond
)

// A Writer passes lines on in batches. Lines that do not fit are counted, and
// the count is written once there is room.
type Writer struct {
	to   io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// NewWriter returns a Writer that passes lines on to a file.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes whole lines and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > MaxPendingBytes {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	first := len(w.pending) == 0
	w.pending = append(w.pending, line...)
	wake := first || len(w.pending) > flushBytes
	w.mu.Unlock()
	if wake {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Close passes on what is pending, unless the reader does not read.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.pause()
		w.mu.Lock()
		batch, dropped, closed := w.pending, w.dropped, w.closed
		w.pending, w.dropped = nil, 0
		w.mu.Unlock()
		if dropped > 0 {
			batch = append(batch, fmt.Sprintf("msg=\"log lines left out\" count=%d\n", dropped)...)
		}
		if _, err := w.to.Write(batch); err != nil {
			w.mu.Lock()
			w.dropped++
			w.mu.Unlock()
		}
		if closed {
			return
		}
	}
}

// pause lets lines gather, unless there are many or the process ends.
func (w *Writer) pause() {
	w.mu.Lock()
	now := w.closed || len(w.pending) > flushBytes
	w.mu.Unlock()
	if !now {
		time.Sleep(flushPeriod)
	}
}
