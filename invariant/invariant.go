// Package invariant panics when the state of a process is inconsistent. It is
// not meant for expected errors, which are returned as values.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// A Violation is the value that Check panics with.
type Violation struct {
	Name   string
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return "invariant " + v.Name + " violated: " + v.Detail
}

var onViolation atomic.Pointer[func(*Violation)]

// OnViolation sets the function that is called before the panic, for example
// to write a state dump. It replaces the previous one.
func OnViolation(f func(*Violation)) { onViolation.Store(&f) }

// Check panics with a Violation if ok is false. The detail is formatted only in
// that case.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	v := &Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if f := onViolation.Load(); f != nil {
		(*f)(v)
	}
	panic(v)
}
