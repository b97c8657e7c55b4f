package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 256 << 10

// An Event is one server-sent event as it came. Offset is its id, zero if it
// has none. A comment has no data and carries no part of the answer.
type Event struct {
	Offset  int64
	Data    []byte
	Raw     []byte
	Comment bool
}

// Last tells whether the event ends the answer.
func (e Event) Last() bool { return bytes.Equal(e.Data, []byte("[DONE]")) }

// A Reader reads server-sent events.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next event. It returns io.EOF where the stream ends between
// two events, and io.ErrUnexpectedEOF where it ends within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.line(len(e.Raw))
		if err != nil {
			return Event{}, ending(err, len(e.Raw) > 0)
		}
		blank := len(bytes.TrimRight(line, "\r\n")) == 0
		if blank && len(e.Raw) == 0 {
			continue
		}
		e.Raw = append(e.Raw, line...)
		if blank {
			e.Comment = e.Data == nil
			return e, nil
		}
		if err := e.field(bytes.TrimRight(line, "\r\n")); err != nil {
			return Event{}, err
		}
	}
}

// line reads one line, of which an event of used bytes has room.
func (r *Reader) line(used int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.r.ReadSlice('\n')
		line = append(line, part...)
		if used+len(line) > MaxEventBytes {
			return nil, eris.New("event too large")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return line, err
	}
}

func ending(err error, within bool) error {
	if errors.Is(err, io.EOF) && within {
		return io.ErrUnexpectedEOF
	}
	return err
}

// field takes one line of an event. Unknown fields are passed on unread.
func (e *Event) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	case "id":
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || n <= 0 {
			return eris.Errorf("event with id %.20q", value)
		}
		e.Offset = n
	}
	return nil
}
