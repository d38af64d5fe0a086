package conf

import (
	"testing"

	"rhubarbdrift.example/model"
)

// BenchmarkAssemble measures the assembly of a snapshot after a change of one chunk,
// with 26,000 customers. Each daemon does this for each change.
func BenchmarkAssemble(b *testing.B) {
	in := sample(26_000)
	root, chunks, _ := Build(in, 1, model.DigestOf(nil), "one")
	get := func(d model.Digest) ([]byte, error) { return chunks[d], nil }
	base, _ := Assemble(root, get)
	in.Customers[0].Rate++
	root, chunks, _ = Build(in, 2, model.DigestOf(nil), "two")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Assemble(root, get, WithBase(base)); err != nil {
			b.Fatal(err)
		}
	}
}
