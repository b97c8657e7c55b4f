package strict

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
)

type settings struct {
	Name  string        `yaml:"name"`
	Kind  string        `yaml:"kind" permitted:"a,b"`
	Wait  time.Duration `yaml:"wait"`
	Count int           `yaml:"count"`
	Share float64       `yaml:"share"`
	On    bool          `yaml:"on"`
	Ports []port        `yaml:"ports"`
}

type port struct {
	Number uint16 `yaml:"number"`
}

func TestDecode(t *testing.T) {
	var s settings
	data := "# comment\nname: x\nkind: b\nwait: 2s\ncount: -3\nshare: 1\non: true\nports:\n- number: 80\n- {number: 81}\n"
	must.NoError(t, Decode("f.yaml", []byte(data), &s))
	must.Eq(t, settings{"x", "b", 2 * time.Second, -3, 1, true, []port{{80}, {81}}}, s)
}

// mustProblems checks the problems reported for a file.
func mustProblems(t *testing.T, data string, want ...string) {
	t.Helper()
	var s settings
	err := Decode("f.yaml", []byte(data), &s)
	problems, ok := err.(*config.Problems) //nolint:errorlint // the type is promised
	must.True(t, ok)
	var got []string
	for _, p := range problems.List {
		got = append(got, p.String())
	}
	must.Eq(t, want, got)
}

func TestProblems(t *testing.T) {
	cases := []struct {
		name string
		data string
		want []string
	}{
		{"all at once", "nme: x\nkind: c\nwait: soon\ncount: 1.5\non: maybe\n", []string{
			"f.yaml:1: nme: is not a known field (permitted: count, kind, name, on, ports, share, wait)",
			`f.yaml:2: kind: is "c" (permitted: a, b)`,
			`f.yaml:3: wait: is "soon" (permitted: a duration such as 500ms, 2s or 1m30s)`,
			"f.yaml:4: count: is 1.5 (permitted: a whole number)",
			"f.yaml:5: on: must be true or false, not the text maybe (permitted: true, false)",
		}},
		{"duplicate", "name: x\ncount: 1\nname: y\n", []string{
			"f.yaml:3: name: stands twice, first on line 1",
		}},
		{"number as text", "name: 7\n", []string{
			"f.yaml:1: name: must be text, not 7; put it in quotes",
		}},
		{"nested", "ports:\n- number: 80\n- number: 70000\n- nummer: 1\n", []string{
			"f.yaml:3: ports[1].number: is 70000 (permitted: a whole number, 0 or more)",
			"f.yaml:4: ports[2].nummer: is not a known field (permitted: number)",
		}},
		{"alias", "name: &a x\nkind: *a\n", []string{
			"f.yaml:1: name: uses an alias, anchor or tag; write the value out",
			"f.yaml:2: kind: uses an alias, anchor or tag; write the value out",
		}},
		{"wrong shape", "ports: 3\n", []string{"f.yaml:1: ports: must be a list, not 3"}},
		{"list", "- a\n", []string{"f.yaml:1: must be a mapping of fields, not a list"}},
		{"empty", "# nothing\n", []string{"f.yaml: is empty"}},
		{"two documents", "name: x\n---\nname: y\n", []string{"f.yaml:3: holds more than one document"}},
		{"infinite", "share: .inf\n", []string{"f.yaml:1: share: is .inf (permitted: a number)"}},
		{"too deep", strings.Repeat("[", 100), []string{"f.yaml: nests more than 64 levels"}},
		{"too deep lists", strings.Repeat("- ", 1000), []string{"f.yaml: nests more than 64 levels"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { mustProblems(t, tc.data, tc.want...) })
	}
	t.Run("broken", func(t *testing.T) {
		var s settings
		err := Decode("f.yaml", []byte("name: [x\ncount: 1\n"), &s)
		must.ErrorContains(t, err, "f.yaml:")
		must.ErrorContains(t, err, "is not YAML")
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte("name: x\nports:\n- number: 80\n"))
	f.Add([]byte("name: &a x\nkind: *a\n? x\n: y\n"))
	f.Add([]byte("a: |\n  b\n--- \n{[}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s settings
		err := Decode("f.yaml", data, &s)
		if err == nil {
			return
		}
		problems, ok := err.(*config.Problems) //nolint:errorlint // the type is promised
		must.True(t, ok)
		must.SliceNotEmpty(t, problems.List)
	})
}
