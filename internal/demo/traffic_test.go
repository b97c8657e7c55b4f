package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// stream returns a stream of events with the given ids and end.
func stream(offsets, end string) string {
	var b strings.Builder
	for _, offset := range strings.Fields(offsets) {
		b.WriteString("id: " + offset + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
	}
	return b.String() + end
}

// TestReadStream checks that gaps, repeated events and missing ends are detected.
func TestReadStream(t *testing.T) {
	for name, c := range map[string]struct {
		stream            string
		ordered, complete bool
		code              string
	}{
		"complete":     {stream("1 2", "id: 3\ndata: [DONE]\n\n"), true, true, ""},
		"gap":          {stream("1 3", "id: 4\ndata: [DONE]\n\n"), false, true, ""},
		"repeat":       {stream("1 2 2", "id: 3\ndata: [DONE]\n\n"), false, true, ""},
		"no end":       {stream("1 2", ""), true, false, ""},
		"explicit end": {stream("1", "event: error\ndata: {}\n\n"), true, false, "error"},
	} {
		t.Run(name, func(t *testing.T) {
			var r response
			r.readStream(strings.NewReader(c.stream), time.Now())
			must.Eq(t, c.ordered, r.ordered)
			must.Eq(t, c.complete, r.complete)
			must.Eq(t, c.code, r.errorCode)
		})
	}
}

// TestRequestCountsFaults checks which responses count as faults.
func TestRequestCountsFaults(t *testing.T) {
	own := fake.CompletionText("q", responseTokens)
	for name, c := range map[string]struct {
		response response
		fault    string
	}{
		"own response": {response{status: 200, ordered: true, complete: true, text: own}, ""},
		"wrong text":   {response{status: 200, ordered: true, complete: true, text: "x"}, "wrong response text"},
		"out of order": {response{status: 200, complete: true, text: own}, "out of order"},
		"no end":       {response{status: 200, ordered: true, text: own}, "stream ended without an end marker or an error"},
		"explicit end": {response{status: 200, ordered: true, errorCode: "error"}, ""},
		"rate limited": {response{status: 429}, ""},
		"wrong key":    {response{status: 401}, "unexpected status"},
		"no response":  {response{}, "unexpected status"},
	} {
		t.Run(name, func(t *testing.T) {
			counts := &requestCounts{}
			counts.add("q", c.response)
			if c.fault == "" {
				must.NoError(t, counts.err())
				return
			}
			must.ErrorContains(t, counts.err(), c.fault)
		})
	}
}
