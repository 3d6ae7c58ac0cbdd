package subscribe

import (
	"testing"
	"time"

	"reachwind/internal/fleet/agreed"
)

// TestRegistry checks that health is counted from report to report of one start, by version; that unannounced
// restarts count; that a gateway which left under a permit and is back is reported as returned; and that
// members are judged by zones, not by the number of gateways that report.
func TestRegistry(t *testing.T) {
	b := NewRegistry()
	b.SetLeading(0, true)
	now, number := Time(0), uint64(0)
	report := func(name, zone, version string, epoch, requests, refused uint64, more func(*Report)) {
		number++
		r := Report{Name: name, Zone: zone, Version: version, Epoch: epoch, Number: number, Counts: &Counts{}}
		r.Counts.Classes[0] = agreed.AnswerCounts{Requests: requests, Refused: refused}
		r.Counts.Latency[3] = uint32(requests - refused)
		if more != nil {
			more(&r)
		}
		if _, ok := b.HandleReport(now, encode(&r)); !ok {
			t.Fatalf("the report of %s is not accepted", name)
		}
	}
	health := func(want ...agreed.AnswerCounts) {
		t.Helper()
		all := b.TakeHealth()
		if len(all) != len(want) {
			t.Fatalf("%d versions reported, want %d: %+v", len(all), len(want), all)
		}
		for i, w := range want {
			if all[i].Classes[0] != w {
				t.Errorf("version %s: %+v, want %+v", all[i].Version, all[i].Classes[0], w)
			}
		}
	}
	report("g1", "a", "1", 1, 1000, 0, nil) // requests served before this voter's first report do not count
	health()
	report("g1", "a", "1", 1, 1010, 2, nil)
	report("g2", "b", "2", 1, 5, 0, nil)
	report("g2", "b", "2", 1, 25, 5, nil)
	health(agreed.AnswerCounts{Requests: 10, Refused: 2}, agreed.AnswerCounts{Requests: 20, Refused: 5})
	report("g2", "b", "2", 2, 7, 1, nil) // an unannounced restart
	if all := b.TakeHealth(); len(all) != 1 || all[0].Restarts != 1 || all[0].Classes[0].Requests != 7 {
		t.Errorf("after a restart: %+v", all)
	}
	if b.ReturnedAfterDrain("gateway/g1") {
		t.Error("a gateway that never left is reported as returned")
	}
	report("g1", "a", "1", 1, 1010, 2, func(r *Report) { r.Drain, r.Leaving = true, true })
	if b.Serving(now, "gateway/g1") {
		t.Error("a gateway that leaves is reported as serving")
	}
	report("g1", "a", "1", 5, 1, 0, nil)
	if !b.ReturnedAfterDrain("gateway/g1") || !b.Serving(now, "gateway/g1") {
		t.Error("a gateway that returned is not reported as returned and serving")
	}
	if r := (Report{Name: "g1", Epoch: 1, Number: 99}); true {
		if _, ok := b.HandleReport(now, encode(&r)); ok {
			t.Error("a report of an older start is accepted")
		}
	}
	now = 30 * time.Second
	seen := func(out, primary bool, position int64) func(*Report) {
		return func(r *Report) {
			r.Members = []MemberReport{{Member: "m1", Group: 1, Out: out, Primary: primary, Position: position}, {Member: "m2", Group: 1, Position: 9_000}, {Member: "m3", Group: 1, Position: 100}}
		}
	}
	for i := range 5 { // five gateways behind one broken link count as one witness
		report("a"+string(rune('0'+i)), "a", "1", 1, 0, 0, seen(true, true, 10_000))
	}
	report("b0", "b", "1", 1, 0, 0, seen(false, true, 10_000))
	report("c0", "c", "1", 1, 0, 0, seen(false, true, 9_900))
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
		t.Error("unchanged targets are reported as changed")
	}
	all, _ = b.Targets(now+25*time.Second, all, true)
	for _, x := range all {
		if x.Name == "db/m1" {
			t.Error("a member that nobody reported for 25 s is still listed")
		}
	}
}

// TestPermitRequester checks that one request at a time is resent until it is answered, that other answers
// are dropped, and that the time returned is that of the first transmission.
func TestPermitRequester(t *testing.T) {
	var k PermitRequester
	k.Start(time.Second, PermitRequest{Name: "g", Op: "acquire"})
	first := k.DueMessage(time.Second)
	if first == nil || k.DueMessage(time.Second+ResendInterval/2) != nil || k.DueMessage(time.Second+ResendInterval) == nil {
		t.Error("a request is sent too often or not again")
	}
	a, ok := DecodePermitRequest(first)
	if !ok || a.Number != 1 {
		t.Errorf("decoded as %+v, %v", a, ok)
	}
	if _, _, _, ok := k.HandleAnswer((&PermitAnswer{Number: 9, OK: true}).Encode()); ok {
		t.Error("the answer to another request is accepted")
	}
	if _, g, at, ok := k.HandleAnswer((&PermitAnswer{Number: 1, OK: true, Fence: 7}).Encode()); !ok || g.Fence != 7 || at != time.Second || k.Pending() {
		t.Errorf("accepted as %+v, first sent at %v, %v", g, at, ok)
	}
	if _, _, _, ok := k.HandleAnswer((&PermitAnswer{Number: 1, OK: true}).Encode()); ok {
		t.Error("an answer is accepted twice")
	}
	for _, b := range [][]byte{nil, {0xff}, encode(&PermitRequest{})} {
		if _, ok := DecodePermitRequest(b); ok {
			t.Errorf("%x is decoded as a request", b)
		}
	}
}
