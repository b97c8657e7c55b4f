package model

import (
	"time"

	"github.com/baobabdyke/baobabdyke/queue"
)

type completion struct {
	at    time.Time
	event queue.End
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
