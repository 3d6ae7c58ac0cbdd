package core

import (
	"time"

	"reachwind/decide"
	"reachwind/internal/record"
)

// watch makes records of what the owner sees. It belongs to the owner's
// goroutine. A nil watch does nothing: with nobody listening there is no cost.
type watch struct {
	sink   record.Sink
	roster *record.MemberTracker
	told   map[string]Time // members' newest log positions
	rec    record.Record
}

// SetRecordSink has records go to s from now on, nil for none. cold is how long members are cold after their start.
// It may be called from any goroutine.
func (c *Core) SetRecordSink(s record.Sink, cold time.Duration) {
	if s == nil {
		c.sink.Store(nil)
	} else {
		c.sink.Store(&s)
	}
	c.Post(func() {
		if s == nil {
			c.watch = nil
			return
		}
		c.watch = &watch{sink: s, roster: record.NewMemberTracker(cold), told: map[string]Time{}}
	})
}

// RecordFrontOutcome tells of a request that a front answered by itself, before the core had it. It may be called from any
// goroutine, and does nothing while nobody listens.
func (c *Core) RecordFrontOutcome(front string, o record.Outcome, why record.Cause) {
	s := c.sink.Load()
	if s == nil {
		return
	}
	r := record.Record{Kind: record.Request, At: c.Now(), Class: -1, Tenant: -1, Front: front, Outcome: o, Cause: why}
	r.SetRequestSeverity()
	(*s).Put(&r)
}

// learn notes a position that a member told.
func (w *watch) learn(member string, p Time) {
	if w == nil {
		return
	}
	if was, known := w.told[member]; (known || len(w.told) < decide.MaxMembers) && p > was {
		w.told[member] = p
	}
}

// sends notes how old what is known of the member is when an attempt starts.
func (w *watch) sends(a *Attempt) {
	if w == nil {
		return
	}
	if p, ok := w.told[a.Member]; ok {
		a.lag, a.hasLag = max(0, a.sent-p), true
	}
}

// listed tells what a list changes.
func (w *watch) listed(now Time, kind decide.EventKind, list []decide.Member) {
	if w == nil {
		return
	}
	w.roster.Apply(now, kind != decide.ListChange, list, func(m decide.Member, c record.Change) {
		if c == record.Gone {
			delete(w.told, m.ID)
		}
		w.change(now, c, m.Group, m.ID)
	})
}

func (w *watch) change(now Time, c record.Change, group int64, member string) {
	r := &w.rec
	*r = record.Record{Kind: record.Member, At: now, Class: -1, Tenant: -1, Group: group, Member: member, Change: c,
		Position: w.told[member]}
	r.SetMemberSeverity()
	w.sink.Put(r)
}

// noted takes the module's word on what it believes.
func (c *Core) noted(a *decide.Action) {
	if c.watch == nil {
		return
	}
	change := record.PrimaryLost
	switch a.Change {
	case decide.Suspected:
		change = record.Suspect
	case decide.Recovered:
		change = record.Trusted
	case decide.PrimaryFound:
		change = record.PrimaryFound
	}
	c.watch.change(c.Now(), change, a.Group, a.Member)
}

// answered makes the record of a final answer.
func (w *watch) answered(now Time, q *Request, a *Answer, why record.Cause) {
	r := &w.rec
	*r = record.Record{Kind: record.Request, At: now, Class: q.ClassIndex, Tenant: q.Tenant, Front: q.Front, Outcome: record.Served,
		Cause: why, RetryAfter: a.RetryAfter, Attempts: len(q.attempts), WaitTime: now - q.arrived, Total: now - q.arrived,
		Session: q.Session, Group: q.Group}
	switch a.Verdict {
	case Refused:
		r.Outcome = record.Refused
	case Failed:
		r.Outcome = record.Failed
	}
	if n := len(q.attempts); n > 0 {
		t := q.attempts[n-1]
		r.WaitTime, r.AttemptTime = q.attempts[0].sent-q.arrived, now-t.sent
		r.Member, r.Role, r.Position, r.Lag, r.HasLag = t.Member, t.role, t.position, t.lag, t.hasLag
		if r.Cause == record.NoCause && r.Outcome != record.Served {
			r.Cause = record.Waiting
			if t.done {
				r.Cause = record.CauseOf(t.result)
			}
		}
	} else if r.Cause == record.NoCause && r.Outcome != record.Served {
		r.Cause = record.Unplaced
	}
	r.SetRequestSeverity()
	w.sink.Put(r)
}
