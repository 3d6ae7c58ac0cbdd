package core

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
)

// fakeModule stands for the module and the members: it returns given actions and records what it is passed.
type fakeModule struct {
	on     map[decide.EventKind][]decide.Action
	events []decide.Event
	sent   []*Attempt
	stops  []decide.Result
	steps  int
}

func (s *fakeModule) Step(_ Time, events []decide.Event, out []decide.Action) []decide.Action {
	s.steps++
	for _, e := range events {
		s.events = append(s.events, e)
		out = append(out, s.on[e.Kind]...)
	}
	return out
}
func (s *fakeModule) Send(a *Attempt)                       { s.sent = append(s.sent, a) }
func (s *fakeModule) Stop(_ *Attempt, why decide.Result)    { s.stops = append(s.stops, why) }
func (s *fakeModule) Probe(string)                          {}
func (s *fakeModule) List(decide.EventKind, []ListedMember) {}

type payload struct{ released int }

func (p *payload) Release() { p.released++ }

type client struct{ answers []Answer }

func (c *client) Answer(a Answer) { c.answers = append(c.answers, a) }

// withCore runs f with a core whose module sends each request that arrives, and one request q.
func withCore(t *testing.T, f func(c *Core, s *fakeModule, cl *client, call *payload, q *Request)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeModule{on: map[decide.EventKind][]decide.Action{decide.Arrive: {{Kind: decide.Send, Request: 1, Member: "m",
			Timeout: 100 * time.Millisecond}}}}
		c := New(NewClock(), s, slog.New(slog.DiscardHandler))
		c.Connect(s, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		cl, call := new(client), new(payload)
		q := &Request{Deadline: c.Now() + 300*time.Millisecond, Call: call, Client: cl}
		c.Arrive(q)
		synctest.Wait()
		f(c, s, cl, call, q)
		cancel()
		synctest.Wait()
	})
}

// TestDeadline: a request that the module does not answer is answered all the same, and its attempt stopped once.
func TestDeadline(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		time.Sleep(301 * time.Millisecond)
		synctest.Wait()
		c.Post(func() {
			if len(cl.answers) != 0 || len(s.stops) != 1 || s.stops[0] != decide.TimedOut {
				t.Errorf("answers %v, stops %v", cl.answers, s.stops)
			}
		})
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		if len(cl.answers) != 1 || cl.answers[0].Verdict != Failed || s.events[len(s.events)-1].Kind != decide.ClientGone {
			t.Errorf("answers %v, events %v", cl.answers, s.events)
		}
		if call.released != 0 {
			t.Error("the statement was released while an attempt is outstanding")
		}
		c.Done(s.sent[0], Outcome{Result: decide.TimedOut})
		synctest.Wait()
		if e := s.events[len(s.events)-1]; e.Kind != decide.Outcome || !e.Ended || call.released != 1 || len(c.requests) != 0 {
			t.Errorf("event %+v, released %d times, %d requests kept", e, call.released, len(c.requests))
		}
	})
}

// TestWaitingTimeIsReported: the module is told how long a request has waited for its turn, and how long its client will
// still wait.
func TestWaitingTimeIsReported(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, _ *client, _ *payload, _ *Request) {
		c.Post(func() { clear(s.on) })
		now := c.Now()
		for _, came := range []Time{0, now - 70*time.Millisecond, now + time.Second} {
			c.Arrive(&Request{ReceivedAt: came, Deadline: now + 30*time.Millisecond, Call: new(payload), Client: new(client)})
			synctest.Wait()
			want := time.Duration(0)
			if came > 0 {
				want = max(now-came, 0)
			}
			if e := s.events[len(s.events)-1]; e.Kind != decide.Arrive || e.Waited != want || e.Remaining != 30*time.Millisecond {
				t.Errorf("came at %v: %+v", came-now, e)
			}
		}
	})
}

// TestOneAnswer: the first answer is the only one, late ones are released, and a second outcome is not passed on.
func TestOneAnswer(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		first, second := new(payload), new(payload)
		c.Done(s.sent[0], Outcome{Result: decide.Served, Body: first})
		c.Done(s.sent[0], Outcome{Result: decide.Served, Body: second})
		c.Gone(q)
		synctest.Wait()
		if len(cl.answers) != 1 || len(s.events) != 2 || first.released != 0 || second.released != 1 || call.released != 1 {
			t.Errorf("%d answers, %d events, released %d, %d and %d times", len(cl.answers), len(s.events),
				first.released, second.released, call.released)
		}
	})
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		late := new(payload)
		c.Gone(q)
		c.Done(s.sent[0], Outcome{Result: decide.Served, Body: late})
		synctest.Wait()
		if len(cl.answers) != 0 || late.released != 1 || call.released != 1 {
			t.Errorf("%d answers, released %d and %d times", len(cl.answers), late.released, call.released)
		}
	})
}

// TestNoSecondCopy: whatever the module does, no request has two outstanding attempts.
func TestNoSecondCopy(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		s.on[decide.ListError] = s.on[decide.Arrive]
		c.List(decide.ListError, nil)
		synctest.Wait()
		e := s.events[len(s.events)-1]
		if len(s.sent) != 1 || e.Kind != decide.Outcome || e.Attempt != 1 || e.Result != decide.NotSent {
			t.Errorf("%d sent, last event %+v", len(s.sent), e)
		}
	})
}

// TestBatch: queued events go to the module in one step.
func TestBatch(t *testing.T) {
	withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
		before := s.steps
		c.Post(func() {
			for range 10 {
				c.Probed("m", decide.Served, decide.Report{})
			}
		})
		synctest.Wait()
		if s.steps != before+1 || len(s.events) != 11 {
			t.Errorf("%d steps, %d events", s.steps-before, len(s.events))
		}
	})
}

// TestStaleAnswerIsNotPassedOn: a replica's answer that lacks commits which its read must see is not passed on, and counts
// as one that ran.
func TestStaleAnswerIsNotPassedOn(t *testing.T) {
	for _, tc := range []struct {
		name string
		o    Outcome
		want decide.Result
	}{
		{"demoted and behind", Outcome{Role: decide.Replica, HasPosition: true, Position: 9}, decide.Stale},
		{"a replica that holds it", Outcome{Role: decide.Replica, HasPosition: true, Position: 10}, decide.Served},
		{"a primary, its position rounded", Outcome{Role: decide.Primary, HasPosition: true, Position: 9}, decide.Served},
		{"no position reported", Outcome{Role: decide.Replica}, decide.Served},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, q *Request) {
				s.on[decide.Outcome] = []decide.Action{{Kind: decide.Fail, Request: 1}} // by then at the latest
				s.sent[0].atLeast = 10
				body := new(payload)
				tc.o.Body = body
				c.Done(s.sent[0], tc.o)
				synctest.Wait()
				e := s.events[len(s.events)-1]
				served := len(cl.answers) == 1 && cl.answers[0].Verdict == Served
				if e.Result != tc.want || served != (tc.want == decide.Served) || (body.released == 0) != served {
					t.Errorf("event %+v, answers %+v, body released %d times", e, cl.answers, body.released)
				}
			})
		})
	}
}

// fakeSharedCommits records what is shared with another process.
type fakeSharedCommits struct{ commits []Time }

func (l *fakeSharedCommits) RecordCommit(_ int64, _ string, p Time) { l.commits = append(l.commits, p) }
func (l *fakeSharedCommits) LastCommit(_ int64, _ string) (p Time)  { return 0 }

// TestWriteInDoubt: a write that may have run counts as committed from its end on, here and at another process; there also
// while it is outstanding, as its answer may be lost.
func TestWriteInDoubt(t *testing.T) {
	for _, end := range []decide.Result{decide.Reset, decide.TimedOut, decide.Cancelled, decide.Errored, decide.NotSent, decide.Unreachable} {
		withCore(t, func(c *Core, s *fakeModule, cl *client, call *payload, _ *Request) {
			l := new(fakeSharedCommits)
			c.SetSharedCommits(l)
			q := &Request{Class: &decide.Class{Consistency: decide.Write}, Session: "u", Deadline: c.Now() + time.Second, Call: call, Client: cl}
			s.on[decide.Arrive] = []decide.Action{{Kind: decide.Send, Request: 2, Member: "m"}}
			c.Arrive(q)
			synctest.Wait()
			sent := c.Now()
			time.Sleep(AssumeCommittedAfter + time.Millisecond)
			synctest.Wait()
			if len(l.commits) != 1 || l.commits[0] < sent+AssumeCommittedAfter {
				t.Errorf("shared %v while the write is outstanding", l.commits)
			}
			c.Done(s.sent[1], Outcome{Result: end})
			synctest.Wait()
			e, now := s.events[len(s.events)-1], c.Now()
			if doubt := end.MayHaveRun(); e.InDoubt != doubt || doubt && (!e.HasPosition || e.Position != now || l.commits[len(l.commits)-1] != now) ||
				!doubt && len(l.commits) != 1 {
				t.Errorf("outcome %d: event %+v, shared %v", end, e, l.commits)
			}
		})
	}
}

// TestEndBy: when the process ends, each request is answered by then, however long its client would wait: refused where
// nothing may have run, failed otherwise. For one that arrives later the module is told that no time is left.
func TestEndBy(t *testing.T) {
	for name, tc := range map[string]struct {
		class *decide.Class
		want  Verdict
	}{"repeatable": {&decide.Class{}, Refused}, "once": {&decide.Class{Effect: decide.Once}, Failed}, "no class": {nil, Failed},
		"keyed anywhere": {&decide.Class{Effect: decide.Keyed, KeyScope: decide.ScopeAll}, Refused},
		"keyed here":     {&decide.Class{Effect: decide.Keyed, KeyScope: decide.ScopeZone}, Failed}} {
		t.Run(name, func(t *testing.T) {
			withCore(t, func(c *Core, s *fakeModule, cl *client, _ *payload, q *Request) {
				c.Post(func() { q.Class = tc.class })
				q.Deadline += time.Minute
				by := c.Now() + 50*time.Millisecond
				c.EndBy(by)
				c.EndBy(by + time.Minute)
				next, held := new(client), new(client)
				look := func(f func()) { // on the owner's goroutine, which also writes these fields
					c.Post(f)
					synctest.Wait()
				}
				look(func() { clear(s.on) })
				c.Arrive(&Request{Class: tc.class, Deadline: by + time.Minute, Call: new(payload), Client: held})
				time.Sleep(49 * time.Millisecond)
				look(func() {
					if n := len(cl.answers) + len(held.answers); n > 0 {
						t.Errorf("%d answers too early", n)
					}
					if e := s.events[len(s.events)-1]; e.Kind != decide.Arrive || e.Remaining > 50*time.Millisecond {
						t.Errorf("the module was told %+v", e)
					}
				})
				time.Sleep(2 * answerSlack)
				look(func() {
					if len(cl.answers) != 1 || cl.answers[0].Verdict != tc.want || len(held.answers) != 1 || held.answers[0].Verdict != Refused {
						t.Errorf("answers %+v, one not sent %+v", cl.answers, held.answers)
					}
					s.on[decide.Arrive] = []decide.Action{{Kind: decide.Refuse, Request: 3}}
				})
				c.Arrive(&Request{Deadline: by + time.Minute, Call: new(payload), Client: next})
				synctest.Wait()
				look(func() {
					if e := s.events[len(s.events)-1]; len(next.answers) != 1 || next.answers[0].Verdict != Refused || e.Kind != decide.Arrive || e.Remaining > 0 {
						t.Errorf("one that arrived later: answers %+v, last event %+v", next.answers, e)
					}
				})
				c.Done(s.sent[0], Outcome{Result: decide.TimedOut})
				look(func() {
					if len(c.requests) != 0 || len(cl.answers) != 1 {
						t.Errorf("%d requests kept, %d answers", len(c.requests), len(cl.answers))
					}
				})
			})
		})
	}
}
