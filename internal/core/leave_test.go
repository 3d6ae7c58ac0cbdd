package core

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/record"
)

type lockedSink struct {
	mu  sync.Mutex
	all []record.Record
}

func (r *lockedSink) Put(one *record.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, *one)
}

// TestCancel: for the module a request cancelled by its client is one whose client has left. It gets one answer: a
// member's if that came first, otherwise that it was cancelled, which its record shows too.
func TestCancel(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		r := &lockedSink{}
		c.SetRecordSink(r, 0)
		late := new(payload)
		c.Cancel(q)
		c.Cancel(q)
		if !q.Closed() {
			t.Error("not closed at once")
		}
		synctest.Wait()
		if len(s.stops) != 1 || s.stops[0] != decide.NotSent { // the module cancels an attempt that is written completely
			t.Errorf("stops %v", s.stops)
		}
		c.Done(s.sent[0], Outcome{Result: decide.Served, Body: late})
		c.Gone(q)
		synctest.Wait()
		if len(cl.answers) != 1 || cl.answers[0].Verdict != Failed || !cl.answers[0].Cancelled || !cl.answers[0].MayHaveRun {
			t.Errorf("answers %+v", cl.answers)
		}
		if len(s.events) != 3 || s.events[1].Kind != decide.ClientGone || !s.events[2].Ended || late.released != 1 || call.released != 1 {
			t.Errorf("events %+v, released %d and %d times", s.events, late.released, call.released)
		}
		if len(r.all) != 1 || r.all[0].Outcome != record.Failed || r.all[0].Cause != record.Cancelled {
			t.Errorf("records %+v", r.all)
		}
	})
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		body := new(payload)
		c.Done(s.sent[0], Outcome{Result: decide.Served, Body: body})
		c.Cancel(q)
		synctest.Wait()
		if len(cl.answers) != 1 || cl.answers[0].Verdict != Served || len(s.events) != 2 || call.released != 1 {
			t.Errorf("answers %+v, events %+v", cl.answers, s.events)
		}
	})
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) { // its answer is being streamed
		r := &lockedSink{}
		c.SetRecordSink(r, 0)
		c.AnswerStarted(s.sent[0], new(payload))
		c.Cancel(q)
		synctest.Wait()
		if n := len(s.stops); len(cl.answers) != 1 || n == 0 || s.stops[n-1] != decide.Cancelled {
			t.Errorf("answers %+v, stops %v", cl.answers, s.stops)
		}
		c.Done(s.sent[0], Outcome{Result: decide.Cancelled})
		synctest.Wait()
		if len(cl.answers) != 1 || call.released != 1 || len(c.requests) != 0 || len(r.all) != 1 || r.all[0].Cause != record.Cancelled {
			t.Errorf("%d answers, released %d times, %d requests kept, records %+v", len(cl.answers), call.released, len(c.requests), r.all)
		}
	})
}

// TestCancelBeforeArrive: a cancel that comes before its request has arrived takes effect when it arrives.
func TestCancelBeforeArrive(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, _ *client, _ *payload, _ *Request) {
		cl, call := new(client), new(payload)
		q := &Request{Deadline: c.Now() + time.Second, Call: call, Client: cl}
		c.Cancel(q)
		synctest.Wait()
		c.Arrive(q)
		synctest.Wait()
		if len(cl.answers) != 1 || !cl.answers[0].Cancelled || call.released != 1 || s.events[2].Kind != decide.ClientGone || s.events[2].Request != q.id {
			t.Errorf("answers %+v, released %d times, events %+v", cl.answers, call.released, s.events)
		}
	})
}

// TestClosedAtOnce: a request is closed as soon as Gone is called, and from its answer on, so that the holder of one of its
// attempts sees that before the owner has run.
func TestClosedAtOnce(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		if q.Closed() {
			t.Error("closed while it is open")
		}
		c.Gone(q)
		if !q.Closed() {
			t.Error("not closed at once")
		}
	})
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		c.Done(s.sent[0], Outcome{Result: decide.Served, Body: new(payload)})
		synctest.Wait()
		if !q.Closed() {
			t.Error("not closed after its answer")
		}
	})
}
