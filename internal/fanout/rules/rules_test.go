package rules

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomLists returns lists of three regions after drawn steps; a fourth is never heard of, so
// that nothing is forgotten.
func randomLists(seed uint64) []*List {
	r := rand.New(rand.NewPCG(seed, 1))
	cfg := Config{Regions: []Region{"a", "b", "c", "d"}, CutOffAfter: time.Hour, HealGrace: time.Hour, ExcludeAfter: time.Hour, MaxRequestDelay: time.Hour}
	var ls []*List
	for i := range 3 {
		cfg.Region = cfg.Regions[i]
		ls = append(ls, New(cfg, Guards{}, uint64(i+1), 0))
	}
	for range 60 {
		l := ls[r.IntN(3)]
		k := Key{fmt.Sprint("t", r.IntN(2)), "c", fmt.Sprint("d", r.IntN(3))}
		p := Presence{Epoch: 1 + r.Uint64N(2), Count: 1 + r.Uint64N(20), Span: time.Minute}
		switch x := r.IntN(12); {
		case x < 5:
			_ = l.Subscribe(0, k, p, nil) // older ones are refused
		case x < 7:
			_, _ = l.Renew(0, k.Device, p)
		case x < 8:
			l.Withdraw(0, k, p)
		case x < 9:
			l.Block(Target{Topic, k.Topic})
		case x < 10:
			l.Unblock(Target{Topic, k.Topic})
		default:
			m := ls[r.IntN(3)].Snapshot(0)
			m.Whole = r.IntN(2) == 0
			_, _ = l.Merge(0, m)
		}
	}
	return ls
}

// merged returns the digest of l after it took the others' lists in turn.
func merged(t *testing.T, l *List, ms ...Message) (*List, uint64) {
	t.Helper()
	c := l.Reopen(99, 0)
	for _, m := range ms {
		if _, err := c.Merge(0, m); err != nil {
			t.Fatal(err)
		}
	}
	return c, c.Digest()
}

// TestMergeLaws: merging is commutative, associative and idempotent.
func TestMergeLaws(t *testing.T) {
	for seed := range uint64(500) {
		ls := randomLists(seed)
		a, b, c := ls[0], ls[1].Snapshot(0), ls[2].Snapshot(0)
		ab, abc := merged(t, a, b, c)
		if _, acb := merged(t, a, c, b); abc != acb {
			t.Fatalf("seed %d: the order of messages matters", seed)
		}
		bc, _ := merged(t, ls[1], c)
		if _, got := merged(t, a, bc.Snapshot(0)); got != abc {
			t.Fatalf("seed %d: a(bc) is not (ab)c", seed)
		}
		if _, got := merged(t, bc, a.Snapshot(0)); got != abc {
			t.Fatalf("seed %d: (bc)a is not a(bc)", seed)
		}
		if _, got := merged(t, ab, b, c, ab.Snapshot(0)); got != abc {
			t.Fatalf("seed %d: a repeat changes the list", seed)
		}
	}
}

// TestRefusals: what is refused says by what, and leaves the list alone.
func TestRefusals(t *testing.T) {
	cfg := Config{Region: "a", Regions: []Region{"a"}, MaxRequestDelay: time.Minute}
	l := New(cfg, Guards{}, 1, 0)
	k := Key{"t", "c", "d"}
	if err := l.Subscribe(0, k, Presence{Epoch: 1, Count: 5, Span: time.Minute}, nil); err != nil {
		t.Fatal(err)
	}
	l.Withdraw(0, k, Presence{Epoch: 1, Count: 6, Span: time.Minute})
	l.Tick(0) // the only region has acknowledged: nothing is kept
	if l.Kept() != 0 || l.Status(0, k).Reason != Unknown {
		t.Errorf("kept %d, %+v", l.Kept(), l.Status(0, k))
	}
	var stale *StaleError
	if err := l.Subscribe(0, k, Presence{Epoch: 1, Count: 5, Span: time.Minute}, nil); !errors.As(err, &stale) {
		t.Errorf("a late copy of a subscription: %v", err)
	}
	var old *OldError
	if _, err := l.Merge(0, New(Config{Region: "b", Regions: cfg.Regions}, Guards{}, 2, 0).Snapshot(0)); !errors.As(err, &old) {
		t.Errorf("an empty list: %v", err)
	}
}
