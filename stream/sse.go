package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxEventBytes is the maximum size of one event.
const MaxEventBytes = 256 << 10

// An Event is one server-sent event as received. Offset is its id, or zero if it
// has none. A comment has no data and is not part of the response.
type Event struct {
	Offset  int64
	Data    []byte
	Raw     []byte
	Comment bool
}

// Last reports whether the event ends the response.
func (e Event) Last() bool { return bytes.Equal(e.Data, []byte("[DONE]")) }

// A Reader reads server-sent events from a stream.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.line(len(e.Raw))
		if err != nil {
			return Event{}, eofError(err, len(e.Raw) > 0)
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

// line reads one line of an event of which used bytes have been read. It returns an
// error if the event exceeds MaxEventBytes.
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

// eofError returns io.ErrUnexpectedEOF for an io.EOF within an event, and other
// errors unchanged.
func eofError(err error, inEvent bool) error {
	if errors.Is(err, io.EOF) && inEvent {
		return io.ErrUnexpectedEOF
	}
	return err
}

// field parses one line of an event. Unknown fields are ignored; they are relayed
// as part of Raw.
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
