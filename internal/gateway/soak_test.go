package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/internal/record"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pgclient"
	"reachwind/internal/standin/pipenet"
)

// counting is a sink of records that keeps none.
type counting struct{ n int }

func (c *counting) Put(*record.Record) { c.n++ }

// TestSoak plays hours of a whole gateway in a fake clock: members come under ever new names in ever new groups,
// leave, restart, hang, drain and stop following; customers, connections, ids and keys are ever new, and clients
// leave early. Nothing that time or peers grow may pass its bound (docs/design/fleet.md), nor grow by the hour.
func TestSoak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hours, perHour = 2, 3000 // requests
		pipes := new(pipenet.Net)
		c, err := cluster.Start(cluster.Config{Groups: 2, Replicas: 2, Lag: 20 * time.Millisecond, Work: 4 * time.Millisecond, Net: pipes})
		if err != nil {
			t.Fatal(err)
		}
		conf := gatewayFor(t, c)
		g, err := build(conf, Options{Version: "soak", Log: slog.New(slog.DiscardHandler), Dial: pipes.Dial})
		if err != nil {
			t.Fatal(err)
		}
		sink := new(counting)
		g.owner.SetRecordSink(sink, conf.Decide.SlowStartTime)
		listener, err := pipes.Listen("gateway:0")
		if err != nil {
			t.Fatal(err)
		}
		term, end := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- g.run(term, nil, listener) }()

		r := rand.New(rand.NewPCG(19, 5))
		pause := func(mean time.Duration) { time.Sleep(time.Duration(r.ExpFloat64() * float64(mean))) }
		stop := make(chan struct{})
		troubled := make(chan struct{})
		go func() { // members, one trouble after another
			defer close(troubled)
			r := rand.New(rand.NewPCG(19, 6))
			var grown []*cluster.Member
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(1+r.IntN(20)) * time.Second):
				}
				all := c.Members()
				m := all[r.IntN(len(all))]
				switch r.IntN(7) {
				case 0, 1: // a member more, now and then in a group of its own
					group := int64(r.IntN(2))
					if r.IntN(3) == 0 {
						group = int64(100 + n)
					}
					if m, err := c.Grow(group, fmt.Sprint("grown-", n)); err != nil {
						t.Error(err)
					} else {
						grown = append(grown, m)
					}
				case 2:
					m.Kill()
					time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
					if err := m.Restart(); err != nil {
						t.Error(err)
					}
				case 3:
					m.Hang(true)
					time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
					m.Hang(false)
				case 4:
					m.Drain(true)
					time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
					m.Drain(false)
				case 5:
					if !m.IsPrimary() { // it lags for good: sessions' commits are kept for its sake
						m.Freeze(r.IntN(2) == 0)
					}
				}
				for len(grown) > 6 {
					grown[0].Leave()
					grown = grown[1:]
				}
			}
		}()

		var most, last Sizes
		var heap []uint64
		outcomes := [4]int{}
		var conn *pgclient.Conn
		for n := range hours * perHour {
			pause(time.Hour / perHour)
			if conn == nil || r.IntN(4) == 0 {
				if conn != nil {
					conn.Close()
				}
				nc, err := pipes.Dial(t.Context(), listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				if conn, err = pgclient.Over(nc, time.Second); err != nil {
					conn = nil
					continue
				}
			}
			q := pgclient.Request{ID: fmt.Sprint("soak-", n), Class: "my-notes", Tenant: fmt.Sprint("customer-", n), Wait: 700 * time.Millisecond,
				Cluster: int64(r.IntN(2)), Item: fmt.Sprint("note-", n/3)}
			if r.IntN(3) == 0 {
				q.Class, q.Key, q.Value, q.Write = "map-edits", fmt.Sprint("key-", n), "v", true
			}
			if r.IntN(20) == 0 { // its client has no patience
				q.Wait = time.Millisecond
			}
			a, err := conn.Do(&q)
			if err != nil {
				conn.Close()
				conn, a.Verdict = nil, pgclient.Broken
			}
			outcomes[a.Verdict]++
			last = g.sizes()
			most.Decide.Members = max(most.Decide.Members, last.Decide.Members)
			most.Decide.Groups = max(most.Decide.Groups, last.Decide.Groups)
			most.Decide.Requests = max(most.Decide.Requests, last.Decide.Requests)
			most.Decide.Sessions = max(most.Decide.Sessions, last.Decide.Sessions)
			most.Decide.OrphanedAttempts = max(most.Decide.OrphanedAttempts, last.Decide.OrphanedAttempts)
			most.Core.Requests = max(most.Core.Requests, last.Core.Requests)
			most.Core.Timers = max(most.Core.Timers, last.Core.Timers)
			most.Core.Members = max(most.Core.Members, last.Core.Members)
			most.Pool.Members = max(most.Pool.Members, last.Pool.Members)
			most.Pool.Connections = max(most.Pool.Connections, last.Pool.Connections)
			most.Pool.Jobs = max(most.Pool.Jobs, last.Pool.Jobs)
			most.Claims = max(most.Claims, last.Claims)
			if n%(perHour/2) == perHour/2-1 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				heap = append(heap, m.HeapAlloc)
			}
		}
		t.Logf("served %d, refused %d, failed %d, broken %d; records %d; most %+v; heap %v", outcomes[0], outcomes[1], outcomes[2], outcomes[3], sink.n, most, heap)
		close(stop)
		<-troubled
		// At most 14 members are listed at a time; gone ones are kept for a minute, in which at most twenty come.
		for what, v := range map[string][2]int{
			"members known to the module": {most.Decide.Members, 34}, "groups": {most.Decide.Groups, 24},
			"requests of the module": {most.Decide.Requests, 4}, "sessions kept": {most.Decide.Sessions, 4096 + 1}, "work called off": {most.Decide.OrphanedAttempts, 64},
			"requests of the core": {most.Core.Requests, 4}, "timers": {most.Core.Timers, 64}, "members in records": {most.Core.Members, 16},
			"members of the pool": {most.Pool.Members, 34}, "member connections": {most.Pool.Connections, 64}, "jobs": {most.Pool.Jobs, 8}, "ids in work": {most.Claims, 4},
		} {
			if v[0] > v[1] {
				t.Errorf("%s: %d at the most, want %d at the most", what, v[0], v[1])
			}
		}
		if served := outcomes[pgclient.Served]; served < hours*perHour/2 {
			t.Errorf("%d of %d requests served: this was no service", served, hours*perHour)
		}
		if conn != nil {
			conn.Close()
		}
		end()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		c.Close()
	})
}
