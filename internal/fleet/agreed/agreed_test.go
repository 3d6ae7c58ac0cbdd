package agreed

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSteps: random commands keep the budgets, give growing fences, and give the same bytes from a snapshot on.
func TestSteps(t *testing.T) {
	names := []string{"gateway/a", "gateway/b", "gateway/c", "db/x", "db/y"}
	rapid.Check(t, func(t *rapid.T) {
		m, twin := New(NewestFormat, 0), New(NewestFormat, 0)
		most, failed := 99, map[string]bool{}
		at, last, number := int64(0), uint64(0), uint64(0)
		for index := uint64(1); index < 60; index++ {
			at += rapid.Int64Range(-500, 2000).Draw(t, "passes")
			number++
			c := &Command{Format: NewestFormat, At: at, Client: "c", Number: number, Actor: "me", Target: rapid.SampledFrom(names).Draw(t, "target"), Term: rapid.Int64Range(0, 5000).Draw(t, "term"),
				Fence: rapid.Uint64Range(0, last+1).Draw(t, "fence"), Op: rapid.SampledFrom([]Op{Tick, SetBudget, Acquire, Acquire, Renew, GiveBack, SetTargets, Revoke}).Draw(t, "op")}
			before := m.Time()
			switch c.Op {
			case SetBudget:
				most = rapid.IntRange(0, 3).Draw(t, "most")
				c.Budget = &Budget{Kind: "gateways", MaxOut: most}
			case SetTargets:
				clear(failed)
				for _, n := range names {
					out := rapid.Bool().Draw(t, "out")
					c.Targets = append(c.Targets, Target{Name: n, Out: out})
					if out && strings.HasPrefix(n, "gateway/") {
						failed[n] = true
					}
				}
			}
			r := m.Apply(index, c)
			if again := m.Apply(index, c); again.OK != r.OK || again.Refused != r.Refused {
				t.Fatalf("done again it gives %+v, was %+v", again, r)
			}
			twin.Apply(index, c)
			twin.Apply(index, c)
			if m.Time() < before {
				t.Fatal("time went back")
			}
			if c.Op == Acquire && r.OK {
				if r.Permit.Fence <= last {
					t.Fatalf("fence %d after %d", r.Permit.Fence, last)
				}
				last = r.Permit.Fence
				out := map[string]bool{}
				for _, p := range m.Permits() {
					if strings.HasPrefix(p.Target, "gateway/") {
						out[p.Target] = true
					}
				}
				for n := range failed {
					out[n] = true
				}
				if strings.HasPrefix(c.Target, "gateway/") && len(out) > most {
					t.Fatalf("%d are out, budget %d", len(out), most)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				fresh := New(NewestFormat, 0)
				if err := fresh.Restore(twin.Snapshot()); err != nil {
					t.Fatal(err)
				}
				twin = fresh
			}
			if !bytes.Equal(m.Snapshot(), twin.Snapshot()) {
				t.Fatal("from a snapshot on, the state is another one")
			}
		}
	})
	m := New(NewestFormat, GuardFailed) // without the guard, who failed by itself does not count
	m.Apply(1, &Command{Op: SetBudget, Budget: &Budget{Kind: "gateways", MaxOut: 1}})
	m.Apply(2, &Command{Op: SetTargets, Targets: []Target{{Name: "gateway/b", Out: true}}})
	if r := m.Apply(3, &Command{Op: Acquire, Target: "gateway/a", Term: 1000}); !r.OK {
		t.Error("the check of who failed does not rest on its guard")
	}
	for _, b := range [][]byte{(&Command{Format: NewestFormat + 1, Op: Tick}).Encode(), (&Command{Format: NewestFormat, Op: lastOp + 1}).Encode(), []byte("noise")} {
		if c, err := Decode(b); err == nil {
			t.Errorf("read as %+v", c)
		}
	}
}
