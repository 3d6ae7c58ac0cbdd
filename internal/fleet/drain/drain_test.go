package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDrainInvariants checks that, whatever the council, operators and signals do, a gateway refuses
// connections only under a valid permit or after a stop signal, announces this to its peers half a second
// before, holds no permit for long without being out, and returns by itself once nobody renews its permit.
func TestDrainInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{LongestRequest: 3 * time.Second, SignalWait: DefaultSignalWait})
		now, busy := Time(0), 3
		var asked *Time // request in progress: when it was first sent
		var renew bool
		fence, council := uint64(0), uint64(0) // council: the fence that it knows, 0 if none
		var until, shutSince, toldAt Time
		part, signalled := 1.0, false
		alive := true // whether the council answers
		back := Time(-1)
		for range 400 {
			now += 100 * time.Millisecond
			var e Event
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				e.Request = &Request{Reason: "r", Term: 6 * time.Second, Wait: 2 * time.Second}
			case 1:
				e.Back = true
			case 2:
				alive = !alive
			case 3:
				e.Recall = council != 0
			case 4:
				if council != 0 && rapid.Bool().Draw(t, "revoked") { // an operator revokes the permit
					council = 0
					e.Fenced = m.Fence() != 0
				}
			case 5:
				if !signalled && rapid.IntRange(0, 5).Draw(t, "signal") == 0 {
					signalled = true
					e.Request = &Request{Reason: "signal", Term: time.Minute, Signal: true}
				}
			}
			if asked != nil && alive && e.Request == nil && rapid.Bool().Draw(t, "answers") {
				switch {
				case renew && council != m.Fence(), !renew && rapid.IntRange(0, 3).Draw(t, "refused") == 0:
					e.Refused = "others are out"
				default:
					if !renew {
						fence++
						council = fence
					}
					e.Granted, e.RequestedAt, e.Fence = true, *asked, council
				}
				asked = nil
			}
			if busy > 0 && part == 0 && rapid.Bool().Draw(t, "ends") {
				busy--
			}
			was := m.State()
			a := m.Step(now, e, busy)
			if a.CancelRequest {
				asked = nil
			}
			if a.Acquire > 0 || a.Renew > 0 {
				at := now
				asked, renew = &at, a.Renew > 0
			}
			if e.Granted && m.Fence() == e.Fence {
				until = e.RequestedAt + m.request.Term
			}
			if a.GiveBack {
				if council == m.Fence() {
					council = 0
				}
				m.PermitReturned()
			}
			if was != Leaving && m.State() == Leaving {
				toldAt = now
				if !a.Announce {
					t.Fatal("it leaves and tells nobody")
				}
			}
			if a.ConnectionFraction >= 0 {
				if a.ConnectionFraction == 0 {
					shutSince = now
					if now-toldAt < AnnouncementTime {
						t.Fatalf("its door is shut %v after the word", now-toldAt)
					}
				}
				part = a.ConnectionFraction
			}
			if part == 0 && !signalled && (m.Fence() == 0 || now > until+100*time.Millisecond) {
				t.Fatalf("at %v its door is shut without a permit that holds (fence %d until %v, state %v)", now, m.Fence(), until, m.State())
			}
			if m.State() == Out && busy > 0 && now-shutSince < 3*time.Second {
				t.Fatal("it is out with requests in work")
			}
			if m.State() == Serving && part < 1 {
				t.Fatalf("it serves with its door open for %g", part)
			}
			if m.State() == Returning && back < 0 {
				back = now
			} else if m.State() != Returning {
				back = -1
			}
			if back >= 0 && now-back > returnDuration+time.Second {
				t.Fatal("it does not come back")
			}
			if s := m.Status(now); s.State == "" {
				t.Fatal("no state")
			}
		}
	})
}
