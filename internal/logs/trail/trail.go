// Package trail extracts the log lines that concern one request from the logs of
// VMs.
package trail

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// contextPeriod is the time before the log line of a request within which other log
// lines of the same VM are included.
const contextPeriod = 5 * time.Second

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// A Line is one line of a log.
type Line struct {
	At     time.Time
	VM     string
	Msg    string
	Fields [][2]string
}

// Parse decodes a line. Text before the first field, such as a log collector's
// prefix, is skipped. It returns false for a line without a time or a message.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, "at=")
	if start < 0 {
		return Line{}, false
	}
	var l Line
	d := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "at":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return Line{}, false
				}
				l.At = at
			case "vm":
				l.VM = value
			case "msg":
				l.Msg = value
			default:
				l.Fields = append(l.Fields, [2]string{key, value})
			}
		}
	}
	return l, d.Err() == nil && !l.At.IsZero() && l.Msg != ""
}

// field returns the value of a field, or the empty string.
func (l *Line) field(name string) string {
	for _, f := range l.Fields {
		if f[0] == name {
			return f[1]
		}
	}
	return ""
}

// isRequest reports whether the line is the log line of the given request.
func (l *Line) isRequest(id string) bool { return l.Msg == "request" && l.field("id") == id }

// Read decodes the lines of a log and returns those of the given request and those
// that belong to no request.
func Read(r io.Reader, id string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := Parse(s.Text())
		if ok && (l.Msg != "request" || l.isRequest(id)) {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// Explain returns the lines of a request and those that the VMs serving it logged
// about changes of their state within contextPeriod before, sorted by time.
func Explain(lines []Line, id string) []Line {
	var own []Line
	for _, l := range lines {
		if l.isRequest(id) {
			own = append(own, l)
		}
	}
	out := slices.Clone(own)
	for _, l := range lines {
		if l.Msg != "request" && slices.ContainsFunc(own, func(o Line) bool {
			return o.VM == l.VM && !l.At.After(o.At) && o.At.Sub(l.At) <= contextPeriod
		}) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// String returns the line in a readable format.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000"), l.VM, l.Msg)
	for _, f := range l.Fields {
		if f[1] != "" {
			fmt.Fprintf(&b, " %s=%q", f[0], f[1])
		}
	}
	return b.String()
}
