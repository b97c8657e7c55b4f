// Package intake bounds the memory that answers of other processes take. A process that
// sends bytes without end, alone or beside others like it, must not end the VM that has
// called it.
package intake

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// Free is what one answer may take outside of the budget, so that sound answers,
	// which are mostly shorter, arrive while faulty ones fill it.
	Free = 64 << 10
	// firstBytes is the size at which the buffer of an answer begins.
	firstBytes = 2 << 10
)

var (
	// ErrTooLong reports that an answer is longer than is permitted for its kind.
	ErrTooLong = errors.New("answer is longer than permitted")
	// ErrNoRoom reports that long answers have filled the budget.
	ErrNoRoom = errors.New("long answers fill the memory for answers")
)

// A Budget is the memory for answers that are longer than Free. It is safe for concurrent
// use. A nil Budget has no limit.
type Budget struct {
	limit, used atomic.Int64
}

// NewBudget returns a Budget of the given number of bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the number of bytes. What is reserved remains so, and a nil Budget has
// no limit still.
func (b *Budget) SetLimit(limit int64) {
	if b != nil {
		b.limit.Store(limit)
	}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve reserves bytes and reports whether there was room for them.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit.Load() {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns reserved bytes.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// A Body is a whole answer in memory. Release must be called once it is no longer used.
type Body struct {
	Data   []byte
	budget *Budget
	held   int64
}

// Release returns what the body takes of the budget.
func (b *Body) Release() {
	b.budget.Release(b.held)
	b.Data, b.held = nil, 0
}

// Read reads a whole answer of at most limit bytes. It returns ErrTooLong or ErrNoRoom
// rather than a part of the answer.
func (b *Budget) Read(r io.Reader, limit int64) (*Body, error) { return b.ReadLength(r, -1, limit) }

// ReadLength is Read for an answer of the given length, which is negative if it is not known.
// A short answer then needs one buffer only.
func (b *Budget) ReadLength(r io.Reader, length, limit int64) (*Body, error) {
	size := int64(firstBytes)
	if length >= 0 && length < Free {
		// One byte more than the answer has, so that its end is read without a larger buffer.
		size = length + 1
	}
	body := &Body{budget: b, Data: make([]byte, 0, min(size, limit+1))}
	for {
		if len(body.Data) == cap(body.Data) {
			if err := body.grow(limit); err != nil {
				body.Release()
				return nil, err
			}
		}
		n, err := r.Read(body.Data[len(body.Data):cap(body.Data)])
		body.Data = body.Data[:len(body.Data)+n]
		switch {
		case int64(len(body.Data)) > limit:
			body.Release()
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			body.Release()
			return nil, err
		}
	}
}

// grow doubles the buffer, up to one byte above the limit.
func (b *Body) grow(limit int64) error {
	size := min(2*int64(cap(b.Data)), limit+1)
	if size > Free {
		more := size - b.held
		if !b.budget.Reserve(more) {
			return ErrNoRoom
		}
		b.held += more
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	return nil
}
