package core

import (
	"time"

	"reachwind/decide"
	"reachwind/internal/record"
)

// recorder makes log records of requests and member changes. Only the owner's
// goroutine uses it. A nil recorder does nothing: without a sink there is no cost.
type recorder struct {
	sink       record.Sink
	membership *record.MemberTracker
	positions  map[string]Time // members' newest log positions
	rec        record.Record
}

// SetRecordSink sends records to s from now on, nil for none. slowStart is how long members are in slow start after their start.
// It may be called from any goroutine.
func (c *Core) SetRecordSink(s record.Sink, slowStart time.Duration) {
	if s == nil {
		c.sink.Store(nil)
	} else {
		c.sink.Store(&s)
	}
	c.Post(func() {
		if s == nil {
			c.recorder = nil
			return
		}
		c.recorder = &recorder{sink: s, membership: record.NewMemberTracker(slowStart), positions: map[string]Time{}}
	})
}

// RecordFrontOutcome records a request that a front answered by itself, without Arrive. It may be called from any
// goroutine, and does nothing without a sink.
func (c *Core) RecordFrontOutcome(front string, o record.Outcome, why record.Cause) {
	s := c.sink.Load()
	if s == nil {
		return
	}
	r := record.Record{Kind: record.Request, At: c.Now(), Class: -1, Tenant: -1, Front: front, Outcome: o, Cause: why}
	r.SetRequestSeverity()
	(*s).Put(&r)
}

// recordPosition records a position that a member reported.
func (w *recorder) recordPosition(member string, p Time) {
	if w == nil {
		return
	}
	if was, known := w.positions[member]; (known || len(w.positions) < decide.MaxMembers) && p > was {
		w.positions[member] = p
	}
}

// recordLag records the age of the member's known position when an attempt starts.
func (w *recorder) recordLag(a *Attempt) {
	if w == nil {
		return
	}
	if p, ok := w.positions[a.Member]; ok {
		a.lag, a.hasLag = max(0, a.sent-p), true
	}
}

// recordList makes a record of each change in a list.
func (w *recorder) recordList(now Time, kind decide.EventKind, list []decide.Member) {
	if w == nil {
		return
	}
	w.membership.Apply(now, kind.IsWholeList(), list, func(m decide.Member, c record.Change) {
		if c == record.Gone {
			delete(w.positions, m.ID)
		}
		w.recordChange(now, c, m.Group, m.ID)
	})
}

func (w *recorder) recordChange(now Time, c record.Change, group int64, member string) {
	r := &w.rec
	*r = record.Record{Kind: record.Member, At: now, Class: -1, Tenant: -1, Group: group, Member: member, Change: c,
		Position: w.positions[member]}
	r.SetMemberSeverity()
	w.sink.Put(r)
}

// recordStateChange makes a record of a change in the module's view of a member or group.
func (c *Core) recordStateChange(a *decide.Action) {
	if c.recorder == nil {
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
	c.recorder.recordChange(c.Now(), change, a.Group, a.Member)
}

// recordAnswer makes the record of a final answer.
func (w *recorder) recordAnswer(now Time, q *Request, a *Answer, why record.Cause) {
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
