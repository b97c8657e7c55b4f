package logline

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSample(t *testing.T) {
	s := Sampler{PerSecond: 3}
	now := time.Unix(1000, 0)
	written := 0
	for range 10 {
		if ok, leftOut := s.Allow(now); ok {
			must.Zero(t, leftOut)
			written++
		}
	}
	must.Eq(t, 3, written)
	ok, leftOut := s.Allow(now.Add(time.Second))
	must.True(t, ok)
	must.Eq(t, 7, leftOut, must.Sprint("what was left out is told"))
	_, leftOut = s.Allow(now.Add(time.Second))
	must.Zero(t, leftOut)
	ok, _ = s.Allow(now.Add(-time.Hour))
	must.True(t, ok, must.Sprint("a clock that jumps back stops no lines"))
}
