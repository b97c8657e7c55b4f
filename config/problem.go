package config

import (
	"fmt"
	"sort"
	"strings"
)

// A Problem is one mistake in a file of operators. Line is 0 when the mistake
// is not on one line. Permitted says what may stand there, if that is short.
type Problem struct {
	File      string `json:"file"`
	Line      int    `json:"line"`
	Field     string `json:"field"`
	Reason    string `json:"reason"`
	Permitted string `json:"permitted,omitempty"`
}

// String returns the problem on one line, as "file:line: field: reason".
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

// Problems are all mistakes found in one file. They are an error.
type Problems struct {
	List []Problem `json:"problems"`
}

// Error implements error, with one problem a line.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// A Report collects problems. The zero Report is empty; File and Lines give
// their places.
type Report struct {
	File     string
	Lines    Lines
	problems []Problem
}

// Add notes a problem of a field such as "customers[2].rate.tokens".
func (r *Report) Add(field, permitted, format string, args ...any) {
	r.addAt(r.Lines.Of(field), field, permitted, fmt.Sprintf(format, args...))
}

func (r *Report) addAt(line int, field, permitted, reason string) {
	r.problems = append(r.problems, Problem{
		File: r.File, Line: line, Field: field, Reason: reason, Permitted: permitted,
	})
}

// maxProblems bounds the problems of one file that are reported.
const maxProblems = 200

// Err returns all problems in the order of their lines as a *Problems, or nil.
// Of very many problems it returns the first ones and the number of the rest.
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

// Lines maps the fields of a decoded file to the lines that they start on.
type Lines map[string]int

// Of returns the line of a field, or of the nearest field that holds it.
func (l Lines) Of(field string) int {
	for field != "" {
		if n, ok := l[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return l[""]
}
