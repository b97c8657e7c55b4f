package model

import (
	"container/heap"
	"time"
)

// A Schedule runs functions in virtual time, in the order of their times and
// then of their making.
type Schedule struct {
	now    time.Time
	serial int
	items  scheduleHeap
}

// NewSchedule returns a schedule that starts at a time.
func NewSchedule(start time.Time) *Schedule { return &Schedule{now: start} }

// Now returns the time of the function that runs.
func (s *Schedule) Now() time.Time { return s.now }

// After runs a function when d has passed.
func (s *Schedule) After(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.items, scheduleItem{s.now.Add(d), s.serial, run})
}

// Run runs all functions that are due before a time.
func (s *Schedule) RunUntil(until time.Time) {
	for len(s.items) > 0 && s.items[0].at.Before(until) {
		s.next()
	}
}

// Pass lets time go by, with all functions that are due until then.
func (s *Schedule) Advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.items) > 0 && !s.items[0].at.After(end) {
		s.next()
	}
	s.now = end
}

// next runs the next function.
func (s *Schedule) next() {
	item := heap.Pop(&s.items).(scheduleItem)
	s.now = item.at
	item.run()
}

type scheduleItem struct {
	at     time.Time
	serial int
	run    func()
}

type scheduleHeap []scheduleItem

func (h scheduleHeap) Len() int { return len(h) }
func (h scheduleHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h scheduleHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *scheduleHeap) Push(x any)   { *h = append(*h, x.(scheduleItem)) }
func (h *scheduleHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
