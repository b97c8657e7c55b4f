package model

import (
	"container/heap"
	"time"
)

// A Schedule runs functions in virtual time, ordered by the time that they are
// due and then by the order in which they were scheduled.
type Schedule struct {
	now      time.Time
	sequence int
	items    scheduleHeap
}

// NewSchedule returns an empty schedule whose clock starts at the given time.
func NewSchedule(start time.Time) *Schedule { return &Schedule{now: start} }

// Now returns the current virtual time.
func (s *Schedule) Now() time.Time { return s.now }

// After schedules a function to run after d.
func (s *Schedule) After(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.items, scheduleItem{s.now.Add(d), s.sequence, run})
}

// RunUntil runs all functions that are due before a time.
func (s *Schedule) RunUntil(until time.Time) {
	for len(s.items) > 0 && s.items[0].at.Before(until) {
		s.runNext()
	}
}

// Advance moves the clock forward by d and runs all functions due until then.
func (s *Schedule) Advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.items) > 0 && !s.items[0].at.After(end) {
		s.runNext()
	}
	s.now = end
}

// runNext moves the clock to the next function and runs it.
func (s *Schedule) runNext() {
	item := heap.Pop(&s.items).(scheduleItem)
	s.now = item.at
	item.run()
}

type scheduleItem struct {
	at       time.Time
	sequence int
	run      func()
}

type scheduleHeap []scheduleItem

func (h scheduleHeap) Len() int { return len(h) }
func (h scheduleHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
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
