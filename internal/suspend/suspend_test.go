package suspend

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"reachwind/decide"
	"reachwind/internal/core"
)

// view is what the core has of the list.
type view map[string]core.ListedMember

func (v view) take(kind decide.EventKind, members []core.ListedMember) {
	if kind == decide.ListError {
		return
	}
	if kind != decide.ListChange {
		clear(v)
	}
	for _, m := range members {
		v[m.ID] = m
		if m.State == decide.Removed {
			delete(v, m.ID)
		}
	}
}

// process is one of the two that exchange what they were told, with what its core has and what discovery told it.
type process struct {
	set        *Set
	core, told view
}

// TestModel: random lists and calls at two processes that exchange what they were told now and then. What the core has
// is, for each suspended member, draining from the call on, and for each other one exactly what discovery has.
func TestModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 27))
		ps := []*process{{New(), view{}, view{}}, {New(), view{}, view{}}}
		ids := make([]string, 8)
		for i := range ids {
			ids[i] = fmt.Sprint("m", i)
		}
		entry := func(now core.Time) core.ListedMember {
			return core.ListedMember{Addr: fmt.Sprint(rng.IntN(3)), Member: decide.Member{ID: ids[rng.IntN(len(ids))], Group: 1,
				State: decide.MemberState(rng.IntN(3)), Started: now - core.Time(rng.IntN(40))}}
		}
		ever := []map[string]bool{{}, {}}
		check := func(now core.Time, i int) {
			t.Helper()
			p := ps[i]
			for id, yes := range ever[i] {
				e, got := p.set.said[id], p.core[id]
				if !yes {
					continue
				}
				if e.Suspended {
					if got.State != decide.Draining || got.ID != id {
						t.Fatalf("seed %d at %d: %s is suspended, and passed on as %+v", seed, now, id, got)
					}
					continue
				}
				want := p.told[id]
				if p.set.ListedCount() != len(p.told) {
					t.Fatalf("seed %d at %d: %d listed, want %v", seed, now, p.set.ListedCount(), p.told)
				}
				if want.ID == id && want.State == decide.Up && want.Started < e.SuspendedAt {
					want.Started = e.ChangedAt
				}
				if got != want {
					t.Fatalf("seed %d at %d: %s passed on as %+v, want %+v", seed, now, id, got, want)
				}
			}
		}
		for now := core.Time(100); now < 400; now++ {
			i := rng.IntN(2)
			p := ps[i]
			id := ids[rng.IntN(len(ids))]
			was := p.set.said[id].Suspended
			switch k := rng.IntN(10); k {
			case 0, 1, 2, 3:
				kind := []decide.EventKind{decide.ListFull, decide.ListSaved, decide.ListChange, decide.ListError}[k]
				var members []core.ListedMember
				for range rng.IntN(7) {
					m := entry(now)
					if kind != decide.ListChange && m.State == decide.Removed || slices.ContainsFunc(members, func(o core.ListedMember) bool { return o.ID == m.ID }) {
						continue
					}
					members = append(members, m)
					ever[i][m.ID] = ever[i][m.ID] || kind != decide.ListError && m.State != decide.Removed
				}
				same := slices.Clone(members)
				p.told.take(kind, members)
				p.core.take(kind, p.set.ApplyList(kind, members))
				if !slices.Equal(same, members) {
					t.Fatal("the caller's list was changed")
				}
			case 4, 5, 6:
				change, err := p.set.Suspend(id, now)
				p.core.take(decide.ListChange, change)
				if e := p.set.said[id]; (err == nil) != e.Suspended || was && (err != nil || len(change) > 0) || err == nil && !was && e.SuspendedAt != e.ChangedAt {
					t.Fatalf("seed %d at %d: suspend %s: %v %v", seed, now, id, change, err)
				}
			case 7, 8:
				change, err := p.set.Resume(id, now)
				p.core.take(decide.ListChange, change)
				if p.set.said[id].Suspended || was && err != nil || !was && len(change) > 0 {
					t.Fatalf("seed %d at %d: resume %s: %v %v", seed, now, id, change, err)
				}
			case 9:
				from := ps[1-i].set.Export()
				rng.Shuffle(len(from), func(a, b int) { from[a], from[b] = from[b], from[a] })
				for range 1 + rng.IntN(2) {
					change, dropped := p.set.Import(from)
					p.core.take(decide.ListChange, change)
					if dropped > 0 {
						t.Fatal("dropped", dropped)
					}
				}
				for _, e := range from {
					if p.set.said[e.ID].ChangedAt < e.ChangedAt {
						t.Fatalf("seed %d: %+v was not taken over", seed, e)
					}
				}
			}
			check(now, i)
		}
		for i, p := range ps {
			p.set.Import(ps[1-i].set.Export())
		}
		if a, b := ps[0].set.Export(), ps[1].set.Export(); !slices.Equal(a, b) {
			t.Fatalf("seed %d: after an exchange %v and %v", seed, a, b)
		}
	}
}

// TestBounds: ids that nobody has are a no, and so is one suspend too many; nothing grows beyond its bound, and what is
// suspended is never what is forgotten.
func TestBounds(t *testing.T) {
	s := New()
	if _, err := s.Suspend("m", 1); !errors.As(err, new(UnknownMemberError)) {
		t.Error(err)
	}
	if _, err := s.Resume("m", 1); !errors.As(err, new(UnknownMemberError)) {
		t.Error(err)
	}
	now := core.Time(1)
	for round := range 5 {
		var list []core.ListedMember
		for i := range 4000 {
			list = append(list, core.ListedMember{Member: decide.Member{ID: fmt.Sprint(round, "-", i)}})
		}
		s.ApplyList(decide.ListFull, list)
		full := 0
		for i := range 1500 {
			now++
			if _, err := s.Suspend(list[i].ID, now); errors.As(err, new(TooManySuspendedError)) {
				full++
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if full != 1500-MaxSuspended && round == 0 || len(s.Suspended()) != MaxSuspended {
			t.Fatalf("round %d: %d too many, %d suspended", round, full, len(s.Suspended()))
		}
		out := view{}
		out.take(decide.ListFull, s.ApplyList(decide.ListFull, nil)) // all are gone
		ids := slices.Sorted(maps.Keys(out))
		if !slices.Equal(ids, s.Suspended()) {
			t.Fatalf("round %d: %d are passed on of those suspended", round, len(ids))
		}
		for i, id := range ids {
			if i%2 == 0 {
				now++
				if _, err := s.Resume(id, now); err != nil {
					t.Fatal(err)
				}
			}
		}
		if z := s.Sizes(); z.Delisted > leftMost+MaxSuspended || z.Entries > MaxSuspended+backMost || z.Listed > listedMost {
			t.Fatalf("round %d: %+v", round, z)
		}
	}
	many := make([]Entry, 3000)
	for i := range many {
		many[i] = Entry{ID: fmt.Sprint("n", i), Suspended: true, ChangedAt: now + core.Time(i)}
	}
	if _, dropped := s.Import(append(many, Entry{})); dropped < 2000 || len(s.Suspended()) != MaxSuspended {
		t.Errorf("%d dropped, %d suspended", dropped, len(s.Suspended()))
	}
}
