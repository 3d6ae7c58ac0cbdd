package simnet

import (
	"testing"
	"time"
)

func TestBoot(t *testing.T) {
	for _, size := range []int{40, 300} {
		w := New(1)
		w.Known = []string{"10.0.0.0:7946", "10.0.0.1:7946"}
		for i := range size {
			w.Add(name(i), string(rune('a'+i%3)))
		}
		kinds := map[byte][2]int{}
		for range 8 {
			clear(kinds)
			begin := time.Now()
			for _, n := range w.Nodes {
				n.Bytes, n.Frames = 0, 0
			}
			w.Run(w.Now + 15*time.Second)
			b, f := 0, 0
			for _, n := range w.Nodes {
				b += n.Bytes
				f += n.Frames
			}
			t.Logf("%v: %d B/s %.1f frames/s; cpu %v; %v", w.Now, b/15/size, float64(f)/15/float64(size), time.Since(begin)/time.Duration(15*size), w.Common())
		}
	}
}
