package core

import (
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/record"
)

type sink struct{ records []record.Record }

func (s *sink) Put(r *record.Record) { s.records = append(s.records, *r) }

// TestRecords: each final answer makes one record that tells what the attempts showed, each belief one of its own,
// and nobody listening gets none.
func TestRecords(t *testing.T) {
	run(t, func(c *Core, s *script, cl *client, _ *payload, q *Request) { // nobody listens
		c.Done(s.sent[0], Outcome{Result: decide.Served})
		synctest.Wait()
		if len(cl.answers) != 1 || c.watch != nil {
			t.Error("no answer, or records for nobody")
		}
	})
	for _, tc := range []struct {
		name string
		play func(c *Core, s *script)
		want record.Record
	}{
		{"served", func(c *Core, s *script) {
			time.Sleep(20 * time.Millisecond)
			c.Done(s.sent[0], Outcome{Result: decide.Served, Role: decide.Replica, HasPosition: true, Position: 5 * time.Second})
		}, record.Record{Outcome: record.Served, Severity: record.Info, Attempts: 1, Member: "m", Role: decide.Replica, Position: 5 * time.Second,
			AttemptTime: 20 * time.Millisecond, Total: 20 * time.Millisecond}},
		{"refused", func(c *Core, s *script) {
			s.on[decide.Outcome] = []decide.Action{{Kind: decide.Refuse, Request: 1, RetryAfter: time.Second}}
			c.Done(s.sent[0], Outcome{Result: decide.Full})
		}, record.Record{Outcome: record.Refused, Severity: record.Notice, Cause: record.Full, RetryAfter: time.Second, Attempts: 1, Member: "m"}},
		{"failed", func(c *Core, s *script) {
			s.on[decide.Timer] = []decide.Action{{Kind: decide.Fail, Request: 1}}
			c.Post(func() { c.events = append(c.events, decide.Event{Kind: decide.Timer}) })
		}, record.Record{Outcome: record.Failed, Severity: record.Warning, Cause: record.Waiting, Attempts: 1, Member: "m"}},
		{"deadline", func(*Core, *script) { time.Sleep(time.Second) },
			record.Record{Outcome: record.Failed, Severity: record.Warning, Cause: record.Deadline, Attempts: 1, Member: "m",
				AttemptTime: 305 * time.Millisecond, Total: 305 * time.Millisecond}},
	} {
		run(t, func(c *Core, s *script, _ *client, _ *payload, q *Request) {
			k := new(sink)
			c.SetRecordSink(k, time.Minute)
			synctest.Wait()
			tc.play(c, s)
			synctest.Wait()
			if len(k.records) != 1 {
				t.Fatalf("%s: %d records", tc.name, len(k.records))
			}
			got := k.records[0]
			got.At = 0
			tc.want.WaitTime = got.WaitTime
			if got != tc.want {
				t.Errorf("%s:\n got %+v\nwant %+v", tc.name, got, tc.want)
			}
		})
	}
	run(t, func(c *Core, s *script, _ *client, _ *payload, _ *Request) {
		k := new(sink)
		c.SetRecordSink(k, time.Minute)
		s.on[decide.Probed] = []decide.Action{{Kind: decide.Notify, Change: decide.Suspected, Group: 3, Member: "m"}, {Kind: decide.Notify, Change: decide.PrimaryUnknown, Group: 3}}
		list := func(kind decide.EventKind, m ...decide.Member) {
			var l []ListedMember
			for _, one := range m {
				l = append(l, ListedMember{Member: one})
			}
			c.List(kind, l)
		}
		now := c.Now()
		list(decide.ListFull, decide.Member{ID: "m", Group: 3}, decide.Member{ID: "n", Group: 3, Started: now - time.Second})
		list(decide.ListFull, decide.Member{ID: "m", Group: 3}, decide.Member{ID: "n", Group: 3, Started: now - time.Second}) // no news
		list(decide.ListChange, decide.Member{ID: "m", Group: 3, State: decide.Draining})
		list(decide.ListChange, decide.Member{ID: "m", Group: 3})
		list(decide.ListFull, decide.Member{ID: "n", Group: 3, Started: now - time.Second})
		c.Probed("m", decide.Served, decide.Report{})
		synctest.Wait()
		var got []string
		for _, r := range k.records {
			got = append(got, r.Change.String()+" "+r.Member)
		}
		want := []string{"ready m", "cold n", "ready n", "draining m", "ready m", "gone m", "suspect m", "primary-lost "}
		if len(got) != len(want) {
			t.Fatalf("changes %q, want %q", got, want)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("change %d: %q, want %q", i, got[i], want[i])
			}
		}
	})
}
