package gooserelay

import "testing"

// BenchmarkDelta measures what the difference of two configurations costs the relay, once for
// each change, and each instance that follows it.
func BenchmarkDelta(b *testing.B) {
	from, to := []byte(configuration(3)), []byte(configuration(4))
	delta, err := encodeDelta(from, to)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := encodeDelta(from, to); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := decodeDelta(from, delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}
