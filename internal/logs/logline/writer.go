// Package logline writes log lines without blocking: if the output does not accept
// data, log lines are dropped and requests are not delayed.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// MaxPendingBytes bounds the size of the lines that wait to be written.
const MaxPendingBytes = 256 << 10

const (
	// flushDelay is the time for which lines are collected before they are written.
	flushDelay = 100 * time.Millisecond
	// flushBytes is the size above which pending lines are written at once.
	flushBytes = 16 << 10
	// closeTimeout bounds the time for which Close waits for the last write.
	closeTimeout = 200 * time.Millisecond
)

// A Writer writes lines in batches. A line that would make the pending lines exceed
// MaxPendingBytes is dropped; the number of dropped lines is written with the next
// batch.
type Writer struct {
	to   io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// NewWriter returns a Writer that writes lines to the given output.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It expects whole lines and never fails.
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

// Close writes the pending lines, for at most closeTimeout.
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
		w.wait()
		w.mu.Lock()
		batch, dropped, closed := w.pending, w.dropped, w.closed
		w.pending, w.dropped = nil, 0
		w.mu.Unlock()
		if dropped > 0 {
			batch = append(batch, fmt.Sprintf("msg=\"log lines dropped\" count=%d\n", dropped)...)
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

// wait delays a batch to collect lines, unless many are pending or the writer is
// closed.
func (w *Writer) wait() {
	w.mu.Lock()
	flush := w.closed || len(w.pending) > flushBytes
	w.mu.Unlock()
	if !flush {
		time.Sleep(flushDelay)
	}
}
