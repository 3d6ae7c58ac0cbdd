package simfanout

import (
	"errors"
	"strings"
	"testing"
	"time"

	"reachwind/internal/fanout/rules"
)

// TestPlays: no drawn day breaks a rule, and those that plays have found stay mended.
func TestPlays(t *testing.T) {
	var s Stats
	for _, seed := range []uint64{5437, 5442, 1089, 1360, 1744, 1788, 2144} {
		if err := Play(seed, rules.Guards{}, &s); err != nil {
			t.Error(err)
		}
	}
	start := time.Now()
	for seed := uint64(1); seed <= 100 || time.Since(start) < 5*time.Second; seed++ {
		if err := Play(seed, rules.Guards{}, &s); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%+v in %v", s, time.Since(start))
}

// TestSame: a seed is one day, each time.
func TestSame(t *testing.T) {
	var a, b Stats
	for seed := uint64(1); seed <= 30; seed++ {
		if e, f := Play(seed, rules.Guards{Withdraw: true}, &a), Play(seed, rules.Guards{Withdraw: true}, &b); a != b || (e == nil) != (f == nil) {
			t.Fatalf("seed %d: %+v %v, then %+v %v", seed, a, e, b, f)
		}
	}
}

// TestGuards: each guard switched off is missed by some day, by the rule that it stands for.
func TestGuards(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		g          rules.Guards
	}{
		{"withdraw", "rule 1", rules.Guards{Withdraw: true}},
		{"home", "rule 2", rules.Guards{Home: true}},
		{"order", "rule 3", rules.Guards{Order: true}},
		{"limit", "rule 3", rules.Guards{Limit: true}},
		{"block", "rule 4", rules.Guards{Block: true}},
		{"lease", "rule 5", rules.Guards{Lease: true}},
		{"grace", "rule 5", rules.Guards{Grace: true}},
		{"keep", "rule 6", rules.Guards{Keep: true}},
		{"old", "rule 1", rules.Guards{Old: true}},
		{"majority", "rule 6", rules.Guards{Majority: true}},
	} {
		var s Stats
		found := errors.New("none")
		for seed := uint64(1); seed <= 400 && !strings.Contains(found.Error(), c.rule); seed++ {
			if err := Play(seed, c.g, &s); err != nil {
				found = err
			}
		}
		if !strings.Contains(found.Error(), c.rule) {
			t.Errorf("guard %s off: no day of %d breaks %s, last found: %v", c.name, s.Plays, c.rule, found)
		}
	}
}
