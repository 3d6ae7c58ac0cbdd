package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"reachwind/internal/fleet/drain"
	"reachwind/internal/fleet/group"
	"reachwind/internal/fleet/subscribe"
	"reachwind/internal/fleet/view"
)

// report reports to the council that this gateway is running and how it serves. Nothing waits for the answer.
func (f *Fleet) report(now time.Duration) {
	if len(f.config.Council) == 0 {
		return
	}
	self := f.group.Swim.Self()
	r := subscribe.Report{Name: self.Name, Zone: f.config.Zone, Epoch: self.Epoch, Addr: self.Addr, Version: f.config.Version, Drain: f.drain.ShouldDivert(), Leaving: f.leaving,
		Counts: &f.counts, Members: f.memberReports, ZoneAttempts: f.zoneAttempts}
	f.memberReports = nil
	f.sendToCouncil(subscribe.FrameReport, f.subscription.NextReport(now, r))
	if f.deps.Gateway != nil && !f.leaving {
		if len(f.zones.away) > 0 {
			f.deps.Gateway.ProbeZonesAway()
		}
		f.deps.Gateway.CollectCounts(func(c subscribe.Counts, seen []subscribe.MemberReport, tried []subscribe.ZoneAttempts) {
			select {
			case f.calls <- func() { f.counts, f.memberReports, f.zoneAttempts = c, seen, tried }:
			default: // dropped; the next report asks again
			}
		})
	}
}

func (f *Fleet) sendToCouncil(kind byte, b []byte) {
	for _, a := range f.config.Council {
		f.sockets.Send("", a, append([]byte{kind}, b...), false, false)
	}
}

// handleUpdate handles a voter's message. What it says about this gateway's own permit counts by its fence;
// what it says about members holds for the terms it states.
func (f *Fleet) handleUpdate(b []byte) {
	now := f.now()
	if !f.subscription.HandleUpdate(now, b) {
		return
	}
	t, _, _ := f.subscription.LastUpdate()
	e := drain.Event{Recall: t.Recall && t.Fence != 0 && t.Fence == f.drain.Fence()}
	e.Fenced = f.drain.Fence() != 0 && t.Fence != f.drain.Fence() && t.Index >= f.grantIndex
	until := map[string]time.Duration{}
	for _, d := range t.Drains {
		until[d.Member] = now + time.Duration(d.LeftMs)*time.Millisecond
	}
	f.setMemberDrains(until)
	f.applyPlan(now, &t)
	f.stepDrain(now, e)
}

// setMemberDrains lists members as draining while their permits last.
func (f *Fleet) setMemberDrains(until map[string]time.Duration) {
	before, after := slices.Sorted(maps.Keys(f.memberDrains)), slices.Sorted(maps.Keys(until))
	f.memberDrains = until
	if slices.Equal(before, after) || f.deps.Gateway == nil {
		return
	}
	f.log.Info("fleet members permitted to go out", "members", after)
	f.logEvent(Event{Kind: "drains", Reasons: after})
	f.deps.Gateway.SetDrainingMembers(after)
}

// handlePermitAnswer handles the council's answer to a request of this gateway.
func (f *Fleet) handlePermitAnswer(b []byte) {
	a, g, at, ok := f.permitRequester.HandleAnswer(b)
	if !ok {
		return
	}
	if a.Op == "give_back" {
		f.drain.PermitReturned()
		return
	}
	e := drain.Event{Refused: g.Refused}
	if g.OK {
		e = drain.Event{Granted: true, RequestedAt: at, Fence: g.Fence}
		f.grantIndex = g.Index // updates up to this index may not reflect the grant
	}
	f.stepDrain(f.now(), e)
}

// stepDrain passes an event to the drain machine and carries out its actions. It is also called on each tick.
func (f *Fleet) stepDrain(now time.Duration, e drain.Event) {
	open := 0
	if g := f.deps.Gateway; g != nil {
		open = g.OpenConnections()
	}
	a := f.drain.Step(now, e, open)
	request := func(op string, term time.Duration) {
		self := f.group.Swim.Self()
		f.permitRequester.Start(now, subscribe.PermitRequest{Name: self.Name, Epoch: self.Epoch, Addr: self.Addr, Op: op, TermMs: term.Milliseconds(), Fence: f.drain.Fence(),
			Reason: f.drain.Status(now).Reason})
	}
	if a.CancelRequest {
		f.permitRequester.Cancel()
	}
	switch {
	case a.Acquire > 0 && (!f.permitRequester.Pending() || e.Request != nil):
		op := "acquire"
		if f.drain.Signalled() {
			op = "leave"
		}
		request(op, a.Acquire)
	case a.Renew > 0:
		request("renew", a.Renew)
	case a.GiveBack:
		request("give_back", 0)
	}
	if b := f.permitRequester.DueMessage(now); b != nil {
		f.sendToCouncil(subscribe.FramePermitRequest, b)
	}
	if a.ConnectionFraction >= 0 {
		f.connectionFraction = a.ConnectionFraction
	}
	if f.deps.Gateway != nil && (a.ConnectionFraction >= 0 || f.connectionFraction < 1 && !f.leaving) { // while connections return in steps, the limit depends on how many are open
		f.deps.Gateway.SetConnectionFraction(f.connectionFraction)
	}
	if a.Changed {
		s := f.drain.Status(now)
		f.log.Info("fleet drain", "state", s.State, "fence", s.Fence, "reason", s.Reason)
		f.logEvent(Event{Kind: "drain", State: s.State, For: int64(s.Fence)})
	}
	if a.Announce {
		divert := f.drain.ShouldDivert()
		f.report(now)
		f.perform(f.group.Step(now, group.Event{Drain: &divert}))
	}
	if a.Failure != "" {
		f.log.Warn("fleet drain not granted", "why", a.Failure)
	}
	if s := f.drain.State(); a.Failure != "" || a.Changed && (s == drain.Out || s == drain.Serving || s == drain.Leaving) {
		waiters := f.drainWaiters
		f.drainWaiters = nil
		for _, w := range waiters {
			w(f.drain.Status(now), a.Failure)
		}
	}
	for m, until := range f.memberDrains {
		if now >= until { // no update confirmed the permit in time
			left := maps.Clone(f.memberDrains)
			delete(left, m)
			f.setMemberDrains(left)
			break
		}
	}
}

// AnnounceDrain announces to the peers that this gateway accepts no new work.
func (f *Fleet) AnnounceDrain() {
	_ = f.runOnOwner(func() {
		divert := true
		f.perform(f.group.Step(f.now(), group.Event{Drain: &divert}))
	})
}

// AwaitStopPermit requests a permit of the council to stop, and waits for it at most as long as configured.
// It returns how long it waited. By then the peers know that this gateway is leaving.
func (f *Fleet) AwaitStopPermit(ctx context.Context) time.Duration {
	begin := time.Now()
	if len(f.config.Council) == 0 {
		return 0
	}
	done := make(chan struct{})
	_ = f.runOnOwner(func() {
		stopsBefore := f.drain.StopsWithoutPermit
		if f.drain.ShouldDivert() {
			f.stepDrain(f.now(), drain.Event{Request: &drain.Request{Reason: "stopped by signal", Term: signalPermitTerm, Signal: true}})
			close(done)
			return
		}
		f.drainWaiters = append(f.drainWaiters, func(s drain.Status, _ string) {
			if s.StopsWithoutPermit > stopsBefore {
				f.log.Warn("this gateway ends without a permit", "why", s.LastRefusal)
				f.logEvent(Event{Kind: "unasked", Reasons: []string{s.LastRefusal}})
			}
			close(done)
		})
		f.stepDrain(f.now(), drain.Event{Request: &drain.Request{Reason: "stopped by signal", Term: signalPermitTerm, Signal: true}})
	})
	select {
	case <-done:
	case <-f.stopped:
	case <-time.After(f.config.SignalWait + time.Second):
	case <-ctx.Done():
	}
	return time.Since(begin)
}

// signalPermitTerm is the term of the permit of a gateway that stops after a signal: it must be back by then.
const signalPermitTerm = 2 * time.Minute

// maxDrainWait is the longest that a caller may wait until a drain is granted and done.
const maxDrainWait = 2 * time.Minute

// DrainRequest is the request of `reachwind fleet drain` and `undrain` to a gateway.
type DrainRequest struct {
	Back   bool   `json:"back,omitempty"`
	TermMs int64  `json:"term_ms,omitempty"`
	WaitMs int64  `json:"wait_ms,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// DrainResponse is the answer to it.
type DrainResponse struct {
	drain.Status
	Refused string `json:"refused,omitempty"`
}

// serveDrain serves an operator's request that this gateway goes out of service or returns. It answers once the
// gateway is out, or serves.
func (f *Fleet) serveDrain(w http.ResponseWriter, r *http.Request) {
	var q DrainRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&q)
	if q.TermMs == 0 {
		q.TermMs = drain.DefaultTerm.Milliseconds()
	}
	term, wait := time.Duration(q.TermMs)*time.Millisecond, time.Duration(q.WaitMs)*time.Millisecond
	if err != nil || term < drain.MinTerm || term > 24*time.Hour || wait < 0 || wait > maxDrainWait/2 || len(q.Reason) > 200 {
		http.Error(w, fmt.Sprintf("invalid drain request: error %v; term is %v, want at least %v; wait is %v, want at most %v", err, term, drain.MinTerm, wait, maxDrainWait/2), http.StatusBadRequest)
		return
	}
	type outcome struct {
		status  drain.Status
		refused string
	}
	result := make(chan outcome, 1)
	err = f.runOnOwner(func() {
		now := f.now()
		if !q.Back && len(f.config.Council) == 0 {
			result <- outcome{f.drain.Status(now), "this gateway has no council configured that could grant a permit"}
			return
		}
		if mine := f.group.View.Status().Verdict; !q.Back {
			if ok, why := view.Allowed(view.StartDrain, mine, view.Majority); !ok {
				result <- outcome{f.drain.Status(now), "this gateway's verdict is " + mine.String() + ": " + why}
				return
			}
		}
		if q.Back && f.drain.State() == drain.Serving {
			result <- outcome{f.drain.Status(now), ""}
			return
		}
		var notify func(drain.Status, string)
		notify = func(s drain.Status, why string) {
			if s.State == drain.Leaving.String() || q.Back && s.State == drain.Out.String() { // still in transition
				f.drainWaiters = append(f.drainWaiters, notify)
				return
			}
			result <- outcome{s, why}
		}
		f.drainWaiters = append(f.drainWaiters, notify)
		e := drain.Event{Back: q.Back}
		if !q.Back {
			e.Request = &drain.Request{Reason: q.Reason, Term: term, Wait: wait}
		}
		f.stepDrain(now, e)
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	select {
	case e := <-result:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(DrainResponse{e.status, e.refused})
	case <-r.Context().Done():
	case <-time.After(maxDrainWait):
		http.Error(w, "the drain did not finish in time: see its state in `reachwind fleet view`", http.StatusServiceUnavailable)
	}
}
