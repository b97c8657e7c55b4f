package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/seed"
)

// value returns a value of n entries with random names, which begin with those of a value of
// fewer entries.
func value(n int) []byte {
	r := rand.New(rand.NewPCG(seed.Value(), 1))
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%016x","prefix":"/%016x/","kind":"idempotent","timeoutMs":3000,"maxAttempts":2,"service":"app","n":%d},`,
			r.Uint64(), r.Uint64(), i)
	}
	return b.Bytes()
}

// assertRoundTrip checks that a value survives, and that it takes at most a number of bytes.
func assertRoundTrip(t *testing.T, value, base []byte, most int) {
	t.Helper()
	data, err := Encode(value, base)
	must.NoError(t, err)
	must.LessEq(t, most, len(data))
	got, err := Decode(data, base)
	must.NoError(t, err)
	must.Eq(t, string(value), string(got))
}

func TestRoundTrip(t *testing.T) {
	small, large := value(2000), value(6000)
	t.Run("without a base", func(t *testing.T) { assertRoundTrip(t, large, nil, len(large)/3) })
	t.Run("empty", func(t *testing.T) { assertRoundTrip(t, nil, small, 100) })
	t.Run("equal to its base", func(t *testing.T) { assertRoundTrip(t, large, large, len(large)/100) })
	t.Run("changed at its beginning and its end", func(t *testing.T) {
		changed := append([]byte("version 2"), large...)
		changed[len(changed)-50]++
		assertRoundTrip(t, changed, large, len(large)/100)
	})
	t.Run("with more entries than its base", func(t *testing.T) { assertRoundTrip(t, large, small, len(large)/4) })
	t.Run("with fewer entries than its base", func(t *testing.T) { assertRoundTrip(t, small, large, len(small)/100) })
}

// TestDamageIsNoticed guards against a configuration that is taken from another VM although
// it was encoded relative to another one, or has changed on its way.
func TestDamageIsNoticed(t *testing.T) {
	v, base := value(2000), value(1000)
	data, err := Encode(v, base)
	must.NoError(t, err)
	assertRejected := func(t *testing.T, data, base []byte) {
		t.Helper()
		_, err := Decode(data, base)
		must.Error(t, err)
	}
	t.Run("other base", func(t *testing.T) { assertRejected(t, data, bytes.ToUpper(base)) })
	t.Run("no base", func(t *testing.T) { assertRejected(t, data, nil) })
	t.Run("cut", func(t *testing.T) { assertRejected(t, data[:len(data)-1], base) })
	t.Run("one bit", func(t *testing.T) {
		bad := bytes.Clone(data)
		bad[len(bad)/2] ^= 1
		assertRejected(t, bad, base)
	})
	t.Run("too long", func(t *testing.T) {
		_, err := Encode(make([]byte, MaxBytes+1), nil)
		must.Error(t, err)
	})
}

func BenchmarkEncode(b *testing.B) {
	small, large := value(4000), value(6000)
	for name, base := range map[string][]byte{"whole": nil, "grown": small, "same": large} {
		b.Run(name, func(b *testing.B) {
			n := 0
			for b.Loop() {
				data, err := Encode(large, base)
				must.NoError(b, err)
				n = len(data)
			}
			b.ReportMetric(float64(len(large)), "value-bytes")
			b.ReportMetric(float64(n), "encoded-bytes")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	small, large := value(4000), value(6000)
	data, err := Encode(large, small)
	must.NoError(b, err)
	for b.Loop() {
		_, err := Decode(data, small)
		must.NoError(b, err)
	}
}
