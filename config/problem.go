package config

import (
	"fmt"
	"sort"
	"strings"
)

// A Problem is one mistake in a configuration or settings file. Line is 0 if
// the mistake does not belong to one line. Permitted describes the permitted
// values, if the description is short.
type Problem struct {
	File      string `json:"file"`
	Line      int    `json:"line"`
	Field     string `json:"field"`
	Reason    string `json:"reason"`
	Permitted string `json:"permitted,omitempty"`
}

// String returns the problem on one line, as "file:line: field: reason",
// followed by the permitted values.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			fmt.Fprintf(&b, "%d:", p.Line)
		}
		b.WriteString(" ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Reason)
	if p.Permitted != "" {
		b.WriteString(" (permitted: " + p.Permitted + ")")
	}
	return b.String()
}

// Problems is an error that lists all mistakes found in one file.
type Problems struct {
	List []Problem `json:"problems"`
}

// Error implements error. It returns one problem per line.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// A Report collects problems. The zero Report is empty. File and Lines are
// used to locate the problems.
type Report struct {
	File     string
	Lines    Lines
	problems []Problem
}

// Add adds a problem with a field such as "customers[2].rate.tokens".
func (r *Report) Add(field, permitted, format string, args ...any) {
	r.addAt(r.Lines.Of(field), field, permitted, fmt.Sprintf(format, args...))
}

func (r *Report) addAt(line int, field, permitted, reason string) {
	r.problems = append(r.problems, Problem{
		File: r.File, Line: line, Field: field, Reason: reason, Permitted: permitted,
	})
}

// maxProblems bounds the problems reported for one file.
const maxProblems = 200

// Err returns the problems sorted by line as a *Problems, or nil if there are
// none. If there are more than maxProblems, the last one states how many were
// omitted.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	list := append([]Problem(nil), r.problems...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].Line < list[j].Line })
	if rest := len(list) - maxProblems; rest > 0 {
		reason := fmt.Sprintf("has %d more problems", rest)
		list = append(list[:maxProblems:maxProblems], Problem{File: r.File, Reason: reason})
	}
	return &Problems{List: list}
}

// Lines maps the fields of a decoded file to the lines on which they start.
type Lines map[string]int

// Of returns the line of a field, or of the nearest enclosing field with a
// known line.
func (l Lines) Of(field string) int {
	for field != "" {
		if n, ok := l[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return l[""]
}
