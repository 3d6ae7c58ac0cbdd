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

// report tells the council that this gateway is there and how it serves, and hears what was agreed. Nothing waits for
// the answer.
func (f *Fleet) report(now time.Duration) {
	if len(f.conf.Council) == 0 {
		return
	}
	self := f.group.Swim.Self()
	r := subscribe.Report{Name: self.Name, Zone: f.conf.Zone, Epoch: self.Epoch, Addr: self.Addr, Version: f.conf.Version, Drain: f.drain.Away(), Leaving: f.leaves,
		Counts: &f.counts, Members: f.seen, ZoneAttempts: f.tried}
	f.seen = nil
	f.toCouncil(subscribe.FrameReport, f.subscribed.NextReport(now, r))
	if f.deps.Gateway != nil && !f.leaves {
		if len(f.zones.away) > 0 {
			f.deps.Gateway.ProbeZonesAway()
		}
		f.deps.Gateway.CollectCounts(func(c subscribe.Counts, seen []subscribe.MemberReport, tried []subscribe.ZoneAttempts) {
			select {
			case f.asks <- func() { f.counts, f.seen, f.tried = c, seen, tried }:
			default: // the next time
			}
		})
	}
}

func (f *Fleet) toCouncil(kind byte, b []byte) {
	for _, a := range f.conf.Council {
		f.net.Send("", a, append([]byte{kind}, b...), false, false)
	}
}

// told takes what a voter says is agreed. What it says of this gateway's own permit counts by fence; what it says of
// members holds for the terms it names.
func (f *Fleet) told(b []byte) {
	now := f.now()
	if !f.subscribed.HandleUpdate(now, b) {
		return
	}
	t, _, _ := f.subscribed.LastUpdate()
	e := drain.Event{Recall: t.Recall && t.Fence != 0 && t.Fence == f.drain.Fence()}
	e.Fenced = f.drain.Fence() != 0 && t.Fence != f.drain.Fence() && t.Index >= f.grantedAt
	until := map[string]time.Duration{}
	for _, d := range t.Drains {
		until[d.Member] = now + time.Duration(d.LeftMs)*time.Millisecond
	}
	f.drainMembers(until)
	f.zonesTold(now, &t)
	f.drained(now, e)
}

// drainMembers has members listed as draining while their permits last.
func (f *Fleet) drainMembers(until map[string]time.Duration) {
	was, is := slices.Sorted(maps.Keys(f.drains)), slices.Sorted(maps.Keys(until))
	f.drains = until
	if slices.Equal(was, is) || f.deps.Gateway == nil {
		return
	}
	f.log.Info("fleet members permitted to go out", "members", is)
	f.event(Event{Kind: "drains", Reasons: is})
	f.deps.Gateway.SetDrainingMembers(is)
}

// got takes what the council decided about a wish of this gateway.
func (f *Fleet) got(b []byte) {
	a, g, at, ok := f.asker.Take(b)
	if !ok {
		return
	}
	if a.Op == "give_back" {
		f.drain.Given()
		return
	}
	e := drain.Event{Refused: g.Refused}
	if g.OK {
		e = drain.Event{Granted: true, Asked: at, Fence: g.Fence}
		f.grantedAt = g.Index // what was told up to here may not know of it
	}
	f.drained(f.now(), e)
}

// drained has the drain take what happened, and carries out what it wants. It is called each tick too.
func (f *Fleet) drained(now time.Duration, e drain.Event) {
	busy := 0
	if g := f.deps.Gateway; g != nil {
		busy = g.OpenConnections()
	}
	a := f.drain.Step(now, e, busy)
	ask := func(op string, term time.Duration) {
		self := f.group.Swim.Self()
		f.asker.Begin(now, subscribe.PermitRequest{Name: self.Name, Epoch: self.Epoch, Addr: self.Addr, Op: op, TermMs: term.Milliseconds(), Fence: f.drain.Fence(),
			Reason: f.drain.Status(now).Reason})
	}
	if a.Stop {
		f.asker.Stop()
	}
	switch {
	case a.Acquire > 0 && (!f.asker.Busy() || e.Want != nil):
		op := "acquire"
		if f.drain.Signalled() {
			op = "leave"
		}
		ask(op, a.Acquire)
	case a.Renew > 0:
		ask("renew", a.Renew)
	case a.GiveBack:
		ask("give_back", 0)
	}
	if b := f.asker.Send(now); b != nil {
		f.toCouncil(subscribe.FramePermitRequest, b)
	}
	if a.Part >= 0 {
		f.part = a.Part
	}
	if f.deps.Gateway != nil && (a.Part >= 0 || f.part < 1 && !f.leaves) { // by steps the door depends on how many there are
		f.deps.Gateway.SetConnectionFraction(f.part)
	}
	if a.Changed {
		s := f.drain.Status(now)
		f.log.Info("fleet drain", "state", s.State, "fence", s.Fence, "reason", s.Reason)
		f.event(Event{Kind: "drain", State: s.State, For: int64(s.Fence)})
	}
	if a.Tell {
		yes := f.drain.Away()
		f.report(now)
		f.carry(f.group.Step(now, group.Event{Drain: &yes}))
	}
	if a.Failed != "" {
		f.log.Warn("fleet drain not granted", "why", a.Failed)
	}
	if s := f.drain.State(); a.Failed != "" || a.Changed && (s == drain.Out || s == drain.Serving || s == drain.Leaving) {
		waits := f.waits
		f.waits = nil
		for _, w := range waits {
			w(f.drain.Status(now), a.Failed)
		}
	}
	for m, until := range f.drains {
		if now >= until { // nobody says any more that it may be out
			left := maps.Clone(f.drains)
			delete(left, m)
			f.drainMembers(left)
			break
		}
	}
}

// AnnounceDrain tells the peers that this gateway takes nothing new.
func (f *Fleet) AnnounceDrain() {
	_ = f.ask(func() {
		yes := true
		f.carry(f.group.Step(f.now(), group.Event{Drain: &yes}))
	})
}

// AwaitStopPermit asks the council for a permit to end, and waits for it as long as configured at the most. It returns how long
// it waited. Peers know by then that this gateway goes.
func (f *Fleet) AwaitStopPermit(ctx context.Context) time.Duration {
	begin := time.Now()
	if len(f.conf.Council) == 0 {
		return 0
	}
	done := make(chan struct{})
	_ = f.ask(func() {
		was := f.drain.Unasked
		if f.drain.Away() {
			f.drained(f.now(), drain.Event{Want: &drain.Want{Reason: "stopped by signal", Term: signalTerm, Signal: true}})
			close(done)
			return
		}
		f.waits = append(f.waits, func(s drain.Status, _ string) {
			if s.StopsWithoutPermit > was {
				f.log.Warn("this gateway ends without a permit", "why", s.LastRefusal)
				f.event(Event{Kind: "unasked", Reasons: []string{s.LastRefusal}})
			}
			close(done)
		})
		f.drained(f.now(), drain.Event{Want: &drain.Want{Reason: "stopped by signal", Term: signalTerm, Signal: true}})
	})
	select {
	case <-done:
	case <-f.ended:
	case <-time.After(f.conf.SignalWait + time.Second):
	case <-ctx.Done():
	}
	return time.Since(begin)
}

// signalTerm is the term of a permit of a gateway that ends: it must be back by then.
const signalTerm = 2 * time.Minute

// drainAskMost is how long a caller may wait for a drain to be granted and over.
const drainAskMost = 2 * time.Minute

// DrainRequest is what `reachwind fleet drain` and `undrain` ask a gateway for.
type DrainRequest struct {
	Back   bool   `json:"back,omitempty"`
	TermMs int64  `json:"term_ms,omitempty"`
	WaitMs int64  `json:"wait_ms,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// DrainResponse is what came of it.
type DrainResponse struct {
	drain.Status
	Refused string `json:"refused,omitempty"`
}

// askDrain serves an operator's wish that this gateway goes out or comes back. It answers once it is out, or serves.
func (f *Fleet) askDrain(w http.ResponseWriter, r *http.Request) {
	var q DrainRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&q)
	if q.TermMs == 0 {
		q.TermMs = drain.TermUsual.Milliseconds()
	}
	term, wait := time.Duration(q.TermMs)*time.Millisecond, time.Duration(q.WaitMs)*time.Millisecond
	if err != nil || term < drain.TermLeast || term > 24*time.Hour || wait < 0 || wait > drainAskMost/2 || len(q.Reason) > 200 {
		http.Error(w, fmt.Sprintf("no drain: %v, term %v, want from %v, wait %v, want up to %v", err, term, drain.TermLeast, wait, drainAskMost/2), http.StatusBadRequest)
		return
	}
	type end struct {
		s   drain.Status
		why string
	}
	over := make(chan end, 1)
	err = f.ask(func() {
		now := f.now()
		if !q.Back && len(f.conf.Council) == 0 {
			over <- end{f.drain.Status(now), "this gateway has no council, and asks nobody for a permit"}
			return
		}
		if mine := f.group.View.Status().Verdict; !q.Back {
			if ok, why := view.Allowed(view.StartDrain, mine, view.Majority); !ok {
				over <- end{f.drain.Status(now), "its verdict is " + mine.String() + ": " + why}
				return
			}
		}
		if q.Back && f.drain.State() == drain.Serving {
			over <- end{f.drain.Status(now), ""}
			return
		}
		var wake func(drain.Status, string)
		wake = func(s drain.Status, why string) {
			if s.State == drain.Leaving.String() || q.Back && s.State == drain.Out.String() { // on its way
				f.waits = append(f.waits, wake)
				return
			}
			over <- end{s, why}
		}
		f.waits = append(f.waits, wake)
		e := drain.Event{Back: q.Back}
		if !q.Back {
			e.Want = &drain.Want{Reason: q.Reason, Term: term, Wait: wait}
		}
		f.drained(now, e)
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	select {
	case e := <-over:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(DrainResponse{e.s, e.why})
	case <-r.Context().Done():
	case <-time.After(drainAskMost):
		http.Error(w, "not over in time: see `reachwind fleet view`", http.StatusServiceUnavailable)
	}
}
