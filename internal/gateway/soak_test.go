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

// countingSink is a sink that counts records and keeps none.
type countingSink struct{ count int }

func (c *countingSink) Put(*record.Record) { c.count++ }

// TestSoak runs a whole gateway for hours of a fake clock. Members with new names and in new groups keep joining; they
// leave, restart, hang, drain and stop replicating. Tenants, connections, request ids and keys are always new, and clients
// leave early. Tables that could grow with time or with peers' input must stay within their bounds (docs/design/fleet.md).
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
		sink := new(countingSink)
		g.core.SetRecordSink(sink, conf.Decide.SlowStartTime)
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
		faultsEnded := make(chan struct{})
		go func() { // members, one fault after another
			defer close(faultsEnded)
			r := rand.New(rand.NewPCG(19, 6))
			var added []*cluster.Member
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(1+r.IntN(20)) * time.Second):
				}
				all := c.Members()
				m := all[r.IntN(len(all))]
				switch r.IntN(7) {
				case 0, 1: // one more member, sometimes in a group of its own
					group := int64(r.IntN(2))
					if r.IntN(3) == 0 {
						group = int64(100 + n)
					}
					if m, err := c.Grow(group, fmt.Sprint("grown-", n)); err != nil {
						t.Error(err)
					} else {
						added = append(added, m)
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
					if !m.IsPrimary() { // it lags for long: sessions' commits are kept because of it
						m.Freeze(r.IntN(2) == 0)
					}
				}
				for len(added) > 6 {
					added[0].Leave()
					added = added[1:]
				}
			}
		}()

		var maxSizes, last Sizes
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
			if r.IntN(20) == 0 { // a deadline too short to be met
				q.Wait = time.Millisecond
			}
			a, err := conn.Do(&q)
			if err != nil {
				conn.Close()
				conn, a.Verdict = nil, pgclient.Broken
			}
			outcomes[a.Verdict]++
			last = g.sizes()
			maxSizes.Decide.Members = max(maxSizes.Decide.Members, last.Decide.Members)
			maxSizes.Decide.Groups = max(maxSizes.Decide.Groups, last.Decide.Groups)
			maxSizes.Decide.Requests = max(maxSizes.Decide.Requests, last.Decide.Requests)
			maxSizes.Decide.Sessions = max(maxSizes.Decide.Sessions, last.Decide.Sessions)
			maxSizes.Decide.OrphanedAttempts = max(maxSizes.Decide.OrphanedAttempts, last.Decide.OrphanedAttempts)
			maxSizes.Core.Requests = max(maxSizes.Core.Requests, last.Core.Requests)
			maxSizes.Core.Timers = max(maxSizes.Core.Timers, last.Core.Timers)
			maxSizes.Core.Members = max(maxSizes.Core.Members, last.Core.Members)
			maxSizes.Pool.Members = max(maxSizes.Pool.Members, last.Pool.Members)
			maxSizes.Pool.Connections = max(maxSizes.Pool.Connections, last.Pool.Connections)
			maxSizes.Pool.Jobs = max(maxSizes.Pool.Jobs, last.Pool.Jobs)
			maxSizes.ActiveIDs = max(maxSizes.ActiveIDs, last.ActiveIDs)
			if n%(perHour/2) == perHour/2-1 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				heap = append(heap, m.HeapAlloc)
			}
		}
		t.Logf("served %d, refused %d, failed %d, broken %d; records %d; most %+v; heap %v", outcomes[0], outcomes[1], outcomes[2], outcomes[3], sink.count, maxSizes, heap)
		close(stop)
		<-faultsEnded
		// At most 14 members are listed at a time; removed ones are kept for a minute, in which at most 20 are added.
		for what, v := range map[string][2]int{
			"members known to the module": {maxSizes.Decide.Members, 34}, "groups": {maxSizes.Decide.Groups, 24},
			"requests of the module": {maxSizes.Decide.Requests, 4}, "sessions kept": {maxSizes.Decide.Sessions, 4096 + 1}, "orphaned attempts": {maxSizes.Decide.OrphanedAttempts, 64},
			"requests of the core": {maxSizes.Core.Requests, 4}, "timers": {maxSizes.Core.Timers, 64}, "members in records": {maxSizes.Core.Members, 16},
			"members of the pool": {maxSizes.Pool.Members, 34}, "member connections": {maxSizes.Pool.Connections, 64}, "jobs": {maxSizes.Pool.Jobs, 8}, "ids of requests in progress": {maxSizes.ActiveIDs, 4},
		} {
			if v[0] > v[1] {
				t.Errorf("%s: maximum %d, want at most %d", what, v[0], v[1])
			}
		}
		if served := outcomes[pgclient.Served]; served < hours*perHour/2 {
			t.Errorf("%d of %d requests served, want at least half", served, hours*perHour)
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
