package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// stream returns the events of a stream with the given offsets and end.
func stream(offsets, end string) string {
	var b strings.Builder
	for _, offset := range strings.Fields(offsets) {
		b.WriteString("id: " + offset + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
	}
	return b.String() + end
}

// TestReadStream checks that what is not complete and in order is seen as such.
func TestReadStream(t *testing.T) {
	for name, c := range map[string]struct {
		stream            string
		ordered, complete bool
		code              string
	}{
		"whole":        {stream("1 2", "id: 3\ndata: [DONE]\n\n"), true, true, ""},
		"gap":          {stream("1 3", "id: 4\ndata: [DONE]\n\n"), false, true, ""},
		"repeat":       {stream("1 2 2", "id: 3\ndata: [DONE]\n\n"), false, true, ""},
		"silent end":   {stream("1 2", ""), true, false, ""},
		"explicit end": {stream("1", "event: error\ndata: {}\n\n"), true, false, "error"},
	} {
		t.Run(name, func(t *testing.T) {
			var a answer
			a.readStream(strings.NewReader(c.stream), time.Now())
			must.Eq(t, c.ordered, a.ordered)
			must.Eq(t, c.complete, a.complete)
			must.Eq(t, c.code, a.code)
		})
	}
}

// TestTallyFaults checks which answers count as faults.
func TestTallyFaults(t *testing.T) {
	own := fake.CompletionText("q", answerTokens)
	for name, c := range map[string]struct {
		answer answer
		fault  string
	}{
		"own answer":      {answer{status: 200, ordered: true, complete: true, text: own}, ""},
		"another's":       {answer{status: 200, ordered: true, complete: true, text: "x"}, "another answer"},
		"out of order":    {answer{status: 200, complete: true, text: own}, "out of order"},
		"silent end":      {answer{status: 200, ordered: true, text: own}, "silent end"},
		"explicit end":    {answer{status: 200, ordered: true, code: "error"}, ""},
		"over the rate":   {answer{status: 429}, ""},
		"wrong key":       {answer{status: 401}, "not answered"},
		"no answer begun": {answer{}, "not answered"},
	} {
		t.Run(name, func(t *testing.T) {
			tally := &tally{}
			tally.add("q", c.answer)
			if c.fault == "" {
				must.NoError(t, tally.err())
				return
			}
			must.ErrorContains(t, tally.err(), c.fault)
		})
	}
}
