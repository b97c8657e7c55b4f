package trail

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const text = `   0.5 vm-1 at=2026-12-04T10:00:00.5Z vm=vm-1 msg="store lost" err="timed out"
at=2026-12-04T10:00:03Z vm=vm-1 msg=request id=other status=200
at=2026-12-04T10:00:04Z vm=vm-1 msg=request id=r-1 status=503 outcome="no target can run the request now" detail=
at=2026-12-04T10:00:04Z vm=vm-2 msg="target gone" target=i-1
at=2026-12-04T10:00:05Z vm=vm-1 msg="store regained"
not a log line
at=never vm=vm-1 msg=start
`

func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(text), "r-1")
	must.NoError(t, err)
	var got []string
	for _, l := range Explain(lines, "r-1") {
		got = append(got, l.String())
	}
	must.Eq(t, []string{
		`10:00:00.500 vm-1 store lost err="timed out"`,
		`10:00:04.000 vm-1 request id="r-1" status="503" outcome="no target can run the request now"`,
	}, got)
	must.Len(t, 0, Explain(lines, "unknown"))
}

func ExampleParse() {
	l, ok := Parse(`at=2026-12-04T10:00:00Z vm=vm-1 msg=order target=i-1 term=3`)
	fmt.Println(l, ok)
	// Output: 10:00:00.000 vm-1 order target="i-1" term="3" true
}

func FuzzParse(f *testing.F) {
	f.Add(text)
	f.Fuzz(func(t *testing.T, line string) {
		if l, ok := Parse(line); ok {
			must.NotEq(t, "", l.Msg)
		}
	})
}
