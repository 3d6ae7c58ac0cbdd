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
		var requestSentAt *Time // request in progress: when it was first sent
		var renew bool
		fence, councilFence := uint64(0), uint64(0) // councilFence: the fence that the council knows, 0 if none
		var until, closedSince, announcedAt Time
		fraction, signalled := 1.0, false
		councilAnswers := true // whether the council answers
		returningSince := Time(-1)
		for range 400 {
			now += 100 * time.Millisecond
			var e Event
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				e.Request = &Request{Reason: "r", Term: 6 * time.Second, Wait: 2 * time.Second}
			case 1:
				e.Back = true
			case 2:
				councilAnswers = !councilAnswers
			case 3:
				e.Recall = councilFence != 0
			case 4:
				if councilFence != 0 && rapid.Bool().Draw(t, "revoked") { // an operator revokes the permit
					councilFence = 0
					e.Fenced = m.Fence() != 0
				}
			case 5:
				if !signalled && rapid.IntRange(0, 5).Draw(t, "signal") == 0 {
					signalled = true
					e.Request = &Request{Reason: "signal", Term: time.Minute, Signal: true}
				}
			}
			if requestSentAt != nil && councilAnswers && e.Request == nil && rapid.Bool().Draw(t, "answers") {
				switch {
				case renew && councilFence != m.Fence(), !renew && rapid.IntRange(0, 3).Draw(t, "refused") == 0:
					e.Refused = "others are out"
				default:
					if !renew {
						fence++
						councilFence = fence
					}
					e.Granted, e.RequestedAt, e.Fence = true, *requestSentAt, councilFence
				}
				requestSentAt = nil
			}
			if busy > 0 && fraction == 0 && rapid.Bool().Draw(t, "ends") {
				busy--
			}
			was := m.State()
			a := m.Step(now, e, busy)
			if a.CancelRequest {
				requestSentAt = nil
			}
			if a.Acquire > 0 || a.Renew > 0 {
				at := now
				requestSentAt, renew = &at, a.Renew > 0
			}
			if e.Granted && m.Fence() == e.Fence {
				until = e.RequestedAt + m.request.Term
			}
			if a.GiveBack {
				if councilFence == m.Fence() {
					councilFence = 0
				}
				m.PermitReturned()
			}
			if was != Leaving && m.State() == Leaving {
				announcedAt = now
				if !a.Announce {
					t.Fatal("the gateway leaves without announcing it")
				}
			}
			if a.ConnectionFraction >= 0 {
				if a.ConnectionFraction == 0 {
					closedSince = now
					if now-announcedAt < AnnouncementTime {
						t.Fatalf("connections are refused %v after the announcement", now-announcedAt)
					}
				}
				fraction = a.ConnectionFraction
			}
			if fraction == 0 && !signalled && (m.Fence() == 0 || now > until+100*time.Millisecond) {
				t.Fatalf("at %v connections are refused without a valid permit (fence %d until %v, state %v)", now, m.Fence(), until, m.State())
			}
			if m.State() == Out && busy > 0 && now-closedSince < 3*time.Second {
				t.Fatal("the gateway is out with requests in progress")
			}
			if m.State() == Serving && fraction < 1 {
				t.Fatalf("the gateway serves with a connection fraction of %g", fraction)
			}
			if m.State() == Returning && returningSince < 0 {
				returningSince = now
			} else if m.State() != Returning {
				returningSince = -1
			}
			if returningSince >= 0 && now-returningSince > returnDuration+time.Second {
				t.Fatal("the gateway does not return to service")
			}
			if s := m.Status(now); s.State == "" {
				t.Fatal("the status has no state")
			}
		}
	})
}
