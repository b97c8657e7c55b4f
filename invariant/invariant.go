// Package invariant stops a process whose state contradicts itself. Expected
// outcomes are values and never come here.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// A Broken is what Hold panics with.
type Violation struct {
	Name   string
	Detail string
}

// Error implements error.
func (b *Violation) Error() string {
	return "invariant " + b.Name + " broken: " + b.Detail
}

var onBroken atomic.Pointer[func(*Violation)]

// OnBroken sets the function that runs before the panic, for example to write
// a state dump. It replaces an earlier one.
func OnViolation(f func(*Violation)) { onBroken.Store(&f) }

// Hold panics with a Broken if ok is false. The detail is formatted only then.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	b := &Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if f := onBroken.Load(); f != nil {
		(*f)(b)
	}
	panic(b)
}
