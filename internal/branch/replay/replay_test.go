package replay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"reachwind/internal/branch/causes"
)

const ms = time.Millisecond

// TestReplayInCausalOrder is the whole way once: two gateways of an office, a session that moves between them, a stranger, and a replay in
// order, then receipts that are forgotten once they are over.
func TestReplayInCausalOrder(t *testing.T) {
	a, b := causes.New(causes.Config{Queue: "kea/g1#1"}, 0), causes.New(causes.Config{Queue: "kea/g2#1"}, 0)
	first := a.Write("s")
	if err := b.MergeContext("s", causes.Context{Dots: []Dot{first.Dot}}); err != nil { // with its receipt
		t.Fatal(err)
	}
	second, stranger := b.Write("s"), b.Write("other")
	var writes []Write
	for i, r := range []causes.Record{second, stranger, first} {
		writes = append(writes, Write{Record: r, Key: fmt.Sprint(i), Class: "map-edits"})
	}
	r, err := New(Config{Classes: map[string]Class{"map-edits": {}}}, 0, 1, time.Hour, nil, writes, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.SetLinked(true)
	var sent []Dot
	for now := Time(0); now < 2*time.Second; now += 10 * ms {
		acts := r.Tick(now)
		for len(acts) > 0 {
			x := acts[0]
			acts = acts[1:]
			switch x.Kind {
			case ActStore:
				acts = append(acts, r.RecordStored(now, x.Record, true)...)
			case ActSend:
				sent = append(sent, x.Dot)
				acts = append(acts, r.Answered(now, x.Dot, x.Round, x.Attempt, Ran, "")...)
			}
		}
	}
	if len(sent) != 3 || slices.Index(sent, first.Dot) > slices.Index(sent, second.Dot) {
		t.Fatalf("sent %v", sent)
	}
	if err := r.Forget("kea/g2#1", 3); err == nil {
		t.Fatal("a receipt that never was is forgotten")
	}
	if err := r.Forget("kea/g2#1", 2); err != nil {
		t.Fatal(err)
	}
	if a := r.Counts(); a != (Counts{Receipts: 3, Applied: 3}) {
		t.Fatalf("%+v", a)
	}
	if _, err := r.Receipt(second.Dot); err == nil {
		t.Fatal("a forgotten receipt is told of")
	}
}

// BenchmarkDrain is a write's share of a replay with 100,000 behind one poisoned write and as many that go on.
func BenchmarkDrain(b *testing.B) {
	const n = 100_000
	var writes []Write
	for i := range n {
		w := Write{Record: causes.Record{Dot: Dot{Queue: "p", N: uint64(i + 1)}}, Key: fmt.Sprint("p", i)}
		if i > 0 {
			w.Causes.Dots = []Dot{{Queue: "p", N: uint64(i)}}
		}
		writes = append(writes, w)
	}
	for i := range b.N {
		writes = append(writes, Write{Record: causes.Record{Dot: Dot{Queue: "q", N: uint64(i + 1)}}, Key: fmt.Sprint("q", i)})
	}
	r, err := New(Config{SendsPerSecond: 1_000_000}, 0, 1, 1<<60, nil, writes, nil, 0)
	if err != nil {
		b.Fatal(err)
	}
	r.SetLinked(true)
	done := 0
	b.ResetTimer()
	for now := Time(0); done < b.N; now += ms {
		acts := r.Tick(now)
		for len(acts) > 0 {
			x := acts[0]
			acts = acts[1:]
			switch x.Kind {
			case ActStore:
				acts = append(acts, r.RecordStored(now, x.Record, true)...)
			case ActSend:
				how := Ran
				if x.Dot.Queue == "p" {
					how = NotRun
				} else {
					done++
				}
				acts = append(acts, r.Answered(now, x.Dot, x.Round, x.Attempt, how, "")...)
			}
		}
	}
}
