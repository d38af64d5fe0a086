package mesh

import (
	"fmt"
	"testing"
)

// BenchmarkCompress measures the packing of a configuration of 1 MB, once by the first host that
// relays it.
func BenchmarkCompress(b *testing.B) {
	var text []byte
	for i := range 8000 {
		text = fmt.Appendf(text, `["%08x","host%02d.example","/%06x/","idempotent","1500ms","1200ms",1,"pool",2,false,null,null]`+"\n", i*2654435761, i%100, i*40503)
	}
	base := append([]byte(nil), text...)
	text = append(text, "one more"...)
	for name, content := range map[string][]byte{"whole": nil, "based": base} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data := compress(text, content)
				if _, err := decompress(data, content); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
