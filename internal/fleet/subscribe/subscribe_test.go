package subscribe

import (
	"testing"
	"time"

	"reachwind/internal/fleet/agreed"
)

// TestBook: health is counted from report to report of one start, by version; restarts that nobody announced count; a
// gateway that left under a permit and is back is told; members are judged by zones, not by how many gateways speak.
func TestBook(t *testing.T) {
	b := NewRegistry()
	b.SetLeading(0, true)
	now, number := Time(0), uint64(0)
	say := func(name, zone, version string, epoch, requests, refused uint64, more func(*Report)) {
		number++
		r := Report{Name: name, Zone: zone, Version: version, Epoch: epoch, Number: number, Counts: &Counts{}}
		r.Counts.Classes[0] = agreed.AnswerCounts{Requests: requests, Refused: refused}
		r.Counts.Latency[3] = uint32(requests - refused)
		if more != nil {
			more(&r)
		}
		if _, ok := b.HandleReport(now, encode(&r)); !ok {
			t.Fatalf("the report of %s is not taken", name)
		}
	}
	health := func(want ...agreed.AnswerCounts) {
		t.Helper()
		all := b.TakeHealth()
		if len(all) != len(want) {
			t.Fatalf("%d versions are told, want %d: %+v", len(all), len(want), all)
		}
		for i, w := range want {
			if all[i].Classes[0] != w {
				t.Errorf("version %s: %+v, want %+v", all[i].Version, all[i].Classes[0], w)
			}
		}
	}
	say("g1", "a", "1", 1, 1000, 0, nil) // whatever it served before this voter heard of it is of no while
	health()
	say("g1", "a", "1", 1, 1010, 2, nil)
	say("g2", "b", "2", 1, 5, 0, nil)
	say("g2", "b", "2", 1, 25, 5, nil)
	health(agreed.AnswerCounts{Requests: 10, Refused: 2}, agreed.AnswerCounts{Requests: 20, Refused: 5})
	say("g2", "b", "2", 2, 7, 1, nil) // a start that nobody announced
	if all := b.TakeHealth(); len(all) != 1 || all[0].Restarts != 1 || all[0].Classes[0].Requests != 7 {
		t.Errorf("after a restart: %+v", all)
	}
	if b.ReturnedAfterDrain("gateway/g1") {
		t.Error("who never left is told as back")
	}
	say("g1", "a", "1", 1, 1010, 2, func(r *Report) { r.Drain, r.Leaving = true, true })
	if b.Serving(now, "gateway/g1") {
		t.Error("who leaves is told as serving")
	}
	say("g1", "a", "1", 5, 1, 0, nil)
	if !b.ReturnedAfterDrain("gateway/g1") || !b.Serving(now, "gateway/g1") {
		t.Error("who is back is not told as back")
	}
	if r := (Report{Name: "g1", Epoch: 1, Number: 99}); true {
		if _, ok := b.HandleReport(now, encode(&r)); ok {
			t.Error("a report of an older start is taken")
		}
	}
	now = 30 * time.Second
	seen := func(out, primary bool, position int64) func(*Report) {
		return func(r *Report) {
			r.Members = []MemberReport{{Member: "m1", Group: 1, Out: out, Primary: primary, Position: position}, {Member: "m2", Group: 1, Position: 9_000}, {Member: "m3", Group: 1, Position: 100}}
		}
	}
	for i := range 5 { // five gateways behind one broken link are one witness
		say("a"+string(rune('0'+i)), "a", "1", 1, 0, 0, seen(true, true, 10_000))
	}
	say("b0", "b", "1", 1, 0, 0, seen(false, true, 10_000))
	say("c0", "c", "1", 1, 0, 0, seen(false, true, 9_900))
	all, changed := b.Targets(now, nil, true)
	by := map[string]agreed.Target{}
	for _, x := range all {
		by[x.Name] = x
	}
	if m := by["db/m1"]; !changed || m.Out || !m.Primary || m.Group != "1" {
		t.Errorf("m1 is %+v: want the primary, in use, as two zones of three say", m)
	}
	if m := by["db/m2"]; !m.CaughtUp || !m.BestSuccessor {
		t.Errorf("m2 is %+v: want the best successor, caught up", m)
	}
	if m := by["db/m3"]; m.CaughtUp || m.BestSuccessor {
		t.Errorf("m3 is %+v: want one that lags", m)
	}
	if _, changed := b.Targets(now, all, true); changed {
		t.Error("the same targets are told as changed")
	}
	all, _ = b.Targets(now+25*time.Second, all, true)
	for _, x := range all {
		if x.Name == "db/m1" {
			t.Error("what nobody told of for 25 s is told still")
		}
	}
}

// TestAsker: one ask at a time, sent again until it is answered; answers to others are dropped; terms count from the first
// time that it was sent.
func TestAsker(t *testing.T) {
	var k PermitRequester
	k.Begin(time.Second, PermitRequest{Name: "g", Op: "acquire"})
	first := k.Send(time.Second)
	if first == nil || k.Send(time.Second+ResendInterval/2) != nil || k.Send(time.Second+ResendInterval) == nil {
		t.Error("an ask is sent too often or not again")
	}
	a, ok := DecodePermitRequest(first)
	if !ok || a.Number != 1 {
		t.Errorf("read as %+v, %v", a, ok)
	}
	if _, _, _, ok := k.Take((&PermitAnswer{Number: 9, OK: true}).Encode()); ok {
		t.Error("the answer to another ask is taken")
	}
	if _, g, at, ok := k.Take((&PermitAnswer{Number: 1, OK: true, Fence: 7}).Encode()); !ok || g.Fence != 7 || at != time.Second || k.Busy() {
		t.Errorf("taken as %+v, asked at %v, %v", g, at, ok)
	}
	if _, _, _, ok := k.Take((&PermitAnswer{Number: 1, OK: true}).Encode()); ok {
		t.Error("an answer is taken twice")
	}
	for _, b := range [][]byte{nil, {0xff}, encode(&PermitRequest{})} {
		if _, ok := DecodePermitRequest(b); ok {
			t.Errorf("%x is read as an ask", b)
		}
	}
}
