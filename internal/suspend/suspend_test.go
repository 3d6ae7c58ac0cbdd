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

// memberList is a copy of the list that follows from what was passed on.
type memberList map[string]core.ListedMember

func (v memberList) apply(kind decide.EventKind, members []core.ListedMember) {
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

// process is one of two processes that exchange their entries, with the list that its core has and that of discovery.
type process struct {
	set              *Set
	core, discovered memberList
}

// TestRandomListsAndCalls plays random lists and operator calls at two processes that exchange their entries now and
// then. In the core's list each suspended member is draining from the call on, and each other member is exactly as
// discovery has it.
func TestRandomListsAndCalls(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 27))
		ps := []*process{{New(), memberList{}, memberList{}}, {New(), memberList{}, memberList{}}}
		ids := make([]string, 8)
		for i := range ids {
			ids[i] = fmt.Sprint("m", i)
		}
		entry := func(now core.Time) core.ListedMember {
			return core.ListedMember{Addr: fmt.Sprint(rng.IntN(3)), Member: decide.Member{ID: ids[rng.IntN(len(ids))], Group: 1,
				State: decide.MemberState(rng.IntN(3)), Started: now - core.Time(rng.IntN(40))}}
		}
		everListed := []map[string]bool{{}, {}}
		check := func(now core.Time, i int) {
			t.Helper()
			p := ps[i]
			for id, yes := range everListed[i] {
				e, got := p.set.entries[id], p.core[id]
				if !yes {
					continue
				}
				if e.Suspended {
					if got.State != decide.Draining || got.ID != id {
						t.Fatalf("seed %d at %d: %s is suspended, and passed on as %+v", seed, now, id, got)
					}
					continue
				}
				want := p.discovered[id]
				if p.set.ListedCount() != len(p.discovered) {
					t.Fatalf("seed %d at %d: %d listed, want %v", seed, now, p.set.ListedCount(), p.discovered)
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
			was := p.set.entries[id].Suspended
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
					everListed[i][m.ID] = everListed[i][m.ID] || kind != decide.ListError && m.State != decide.Removed
				}
				same := slices.Clone(members)
				p.discovered.apply(kind, members)
				p.core.apply(kind, p.set.ApplyList(kind, members))
				if !slices.Equal(same, members) {
					t.Fatal("the caller's list was modified")
				}
			case 4, 5, 6:
				change, err := p.set.Suspend(id, now)
				p.core.apply(decide.ListChange, change)
				if e := p.set.entries[id]; (err == nil) != e.Suspended || was && (err != nil || len(change) > 0) || err == nil && !was && e.SuspendedAt != e.ChangedAt {
					t.Fatalf("seed %d at %d: suspend %s: %v %v", seed, now, id, change, err)
				}
			case 7, 8:
				change, err := p.set.Resume(id, now)
				p.core.apply(decide.ListChange, change)
				if p.set.entries[id].Suspended || was && err != nil || !was && len(change) > 0 {
					t.Fatalf("seed %d at %d: resume %s: %v %v", seed, now, id, change, err)
				}
			case 9:
				from := ps[1-i].set.Export()
				rng.Shuffle(len(from), func(a, b int) { from[a], from[b] = from[b], from[a] })
				for range 1 + rng.IntN(2) {
					change, dropped := p.set.Import(from)
					p.core.apply(decide.ListChange, change)
					if dropped > 0 {
						t.Fatal("dropped", dropped)
					}
				}
				for _, e := range from {
					if p.set.entries[e.ID].ChangedAt < e.ChangedAt {
						t.Fatalf("seed %d: %+v was not imported", seed, e)
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

// TestBounds: unknown ids and suspends beyond the bound are refused; no table grows beyond its bound, and a suspended
// member is never removed from it.
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
			t.Fatalf("round %d: %d refused, %d suspended", round, full, len(s.Suspended()))
		}
		out := memberList{}
		out.apply(decide.ListFull, s.ApplyList(decide.ListFull, nil)) // all members leave the list
		ids := slices.Sorted(maps.Keys(out))
		if !slices.Equal(ids, s.Suspended()) {
			t.Fatalf("round %d: %d of the suspended members are passed on", round, len(ids))
		}
		for i, id := range ids {
			if i%2 == 0 {
				now++
				if _, err := s.Resume(id, now); err != nil {
					t.Fatal(err)
				}
			}
		}
		if z := s.Sizes(); z.Delisted > maxDelisted+MaxSuspended || z.Entries > MaxSuspended+maxResumed || z.Listed > maxListed {
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
