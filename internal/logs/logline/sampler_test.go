package logline

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSampler(t *testing.T) {
	s := Sampler{PerSecond: 3}
	now := time.Unix(1000, 0)
	written := 0
	for range 10 {
		if ok, suppressed := s.Allow(now); ok {
			must.Zero(t, suppressed)
			written++
		}
	}
	must.Eq(t, 3, written)
	ok, suppressed := s.Allow(now.Add(time.Second))
	must.True(t, ok)
	must.Eq(t, 7, suppressed, must.Sprint("the number of suppressed lines is returned"))
	_, suppressed = s.Allow(now.Add(time.Second))
	must.Zero(t, suppressed)
	ok, _ = s.Allow(now.Add(-time.Hour))
	must.True(t, ok, must.Sprint("lines are allowed after the clock jumps back"))
}
