package reconcile

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomPair draws two sets of about n items, of which parts differ by state, or are at one side.
func randomPair(r *rand.Rand, n int, part float64, mask uint64) (a, b *Sorted, onlyA, onlyB []Item) {
	var ia, ib []Item
	for range n {
		it := Item{r.Uint64() & mask, r.Uint64() & 3}
		ia, ib = append(ia, it), append(ib, it)
		if r.Float64() < part {
			switch r.IntN(3) {
			case 0:
				ib[len(ib)-1].Hash += 4
			case 1:
				ib = ib[:len(ib)-1]
			default:
				ia = ia[:len(ia)-1]
			}
		}
	}
	a, b = NewSorted(ia), NewSorted(ib)
	onlyB, onlyA = diffItems(a, Range{0, math.MaxUint64}, b.items)
	return a, b, onlyA, onlyB
}

// reconcile runs to the end; drop tells whether an answer is lost.
func reconcile(t *testing.T, a, b Set, z Limits, drop func() bool) (*Run, []Item, []Item) {
	t.Helper()
	run := Begin(z)
	var need, have []Item
	for ask := run.Next(); len(ask) > 0; ask = run.Next() {
		answer, err := Answer(b, z, ask)
		if err != nil {
			t.Fatal(err)
		}
		if drop() {
			continue
		}
		n, h, err := run.HandleAnswer(a, answer)
		if err != nil {
			t.Fatal(err)
		}
		need, have = append(need, n...), append(have, h...)
		if len(run.stack) > z.MaxPending {
			t.Fatalf("%d ranges on the stack", len(run.stack))
		}
	}
	slices.SortFunc(need, Item.Compare)
	slices.SortFunc(have, Item.Compare)
	return run, need, have
}

// TestFindsEveryDifference: every difference is found, once, with answers lost on the way, for drawn
// sizes and also where IDs lie close or collide.
func TestFindsEveryDifference(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 3))
		z := Limits{MaxRanges: 1 + r.IntN(20), Split: 2 + r.IntN(20), MaxLeafItems: r.IntN(20), MaxItemsPerID: 200, MaxPending: 100000}
		mask := []uint64{math.MaxUint64, 0xffff, 0x3f, ^uint64(1<<40 - 1)}[r.IntN(4)]
		a, b, onlyA, onlyB := randomPair(r, r.IntN(800), []float64{0, 0.01, 0.2, 1}[r.IntN(4)], mask)
		_, need, have := reconcile(t, a, b, z, func() bool { return r.IntN(4) == 0 })
		if !slices.Equal(need, onlyB) || !slices.Equal(have, onlyA) {
			t.Fatalf("seed %d: found %d and %d, wanted %d and %d", seed, len(need), len(have), len(onlyB), len(onlyA))
		}
	}
}

// TestInvalidAnswersRefused: answers that don't fit are refused and change nothing.
func TestInvalidAnswersRefused(t *testing.T) {
	s := NewSorted([]Item{{1, 1}, {5, 1}})
	for _, f := range [][]RangeAnswer{nil, {{}, {}}, {{Parts: []SubRange{{math.MaxUint64, 0}}}}, {{Parts: []SubRange{{5, 0}, {4, 0}, {math.MaxUint64, 0}}}},
		{{Parts: []SubRange{{5, 0}, {6, 0}}}}, {{Items: []Item{{5, 1}, {5, 1}}}}, {{Items: make([]Item, 65)}}} {
		run := Begin(DefaultLimits)
		run.Next()
		var bad *AnswerError
		if _, _, err := run.HandleAnswer(s, f); !errors.As(err, &bad) || len(run.Next()) != 1 {
			t.Errorf("%+v: %v", f, err)
		}
	}
}

// BenchmarkRun measures bytes and steps against sending all items; the records
// themselves come on top of both.
func BenchmarkRun(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000} {
		for _, part := range []float64{0, 0.0001, 0.01, 0.1, 0.5} {
			x, y, onlyA, onlyB := randomPair(rand.New(rand.NewPCG(1, 1)), n, part, math.MaxUint64)
			for _, z := range [][2]int{{4, 8}, {8, 8}, {16, 16}} {
				b.Run(fmt.Sprintf("n=%d/part=%v/split=%d/leaf=%d", n, part, z[0], z[1]), func(b *testing.B) {
					s := DefaultLimits
					s.Split, s.MaxLeafItems = z[0], z[1]
					var run *Run
					for range b.N {
						run = Begin(s)
						for ask := run.Next(); len(ask) > 0; ask = run.Next() {
							answer, err := Answer(y, s, ask)
							if err == nil {
								_, _, err = run.HandleAnswer(x, answer)
							}
							if err != nil {
								b.Fatal(err)
							}
						}
					}
					b.ReportMetric(float64(run.Bytes), "bytes")
					b.ReportMetric(float64(run.Steps), "steps")
					b.ReportMetric(float64(run.Bytes)/float64(16*y.Len()), "of-all")
					b.ReportMetric(float64(run.Bytes)/float64(max(1, len(onlyA)+len(onlyB))), "bytes/diff")
				})
			}
		}
	}
}
