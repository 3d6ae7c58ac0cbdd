package simbranch

import (
	"testing"

	"reachwind/internal/branch/replay"
)

// TestPlays: with all guards no play breaks a rule.
func TestPlays(t *testing.T) {
	n := uint64(2500)
	if raced {
		n = 200 // one goroutine: there is nothing to race, and it is ten times slower
	}
	var all Report
	for seed := range n {
		r, err := Play(seed, 0)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		all.Ran, all.Intents, all.Holders = all.Ran+r.Ran, all.Intents+r.Intents, all.Holders+r.Holders
	}
	t.Logf("%d plays: %+v", n, all)
}

// TestGuards: without any one guard some play breaks a rule.
func TestGuards(t *testing.T) {
	known := map[replay.Guard]uint64{replay.GuardOver: 228, replay.GuardTerm: 369, replay.GuardRound: 114} // no need to look before
	for _, g := range replay.Guards {
		seed, err := known[g.Guard], error(nil)
		for ; seed < 4000 && err == nil; seed++ {
			_, err = Play(seed, g.Guard)
		}
		if err == nil {
			t.Errorf("no play misses the guard of %q", g.Keeps)
			continue
		}
		t.Logf("%s: seed %d: %v", g.Keeps, seed-1, err)
	}
}
