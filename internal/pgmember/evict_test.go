package pgmember

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
)

// openCounter counts the gateway's open ends of connections, and their maximum: its descriptors.
type openCounter struct {
	mu        sync.Mutex
	now, most int
}

func (o *openCounter) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now += n
	o.most = max(o.most, o.now)
}

type countedConn struct {
	net.Conn
	o    *openCounter
	once sync.Once
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.o.add(-1) })
	return err
}

// TestEvictWithinLimit: when several jobs for other members arrive at once, idle connections are closed to make room
// before new ones are opened, so that the pool never holds more descriptors than its limit.
func TestEvictWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4
		r := newPipeFixture(t, most)
		o := new(openCounter)
		r.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := r.dial(ctx, addr)
			if err == nil {
				o.add(1)
				nc = &countedConn{Conn: nc, o: o}
			}
			return nc, err
		}
		var list []core.ListedMember
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			list = append(list, core.ListedMember{Addr: id + ":1", Member: decide.Member{ID: id, State: decide.Up}})
		}
		r.core.List(decide.ListChange, list)
		synctest.Wait()
		ask := func(ids ...string) {
			r.core.Post(func() {
				for _, id := range ids {
					r.pool.Probe(id)
				}
			})
			r.sleep(time.Second)
		}
		ask("a", "b", "c", "d")
		ask("e", "f", "g", "h")
		served := 0
		for _, e := range r.module.probes {
			if e.Result == decide.Served {
				served++
			}
		}
		if o.most > most || served != 8 {
			t.Errorf("%d descriptors held at once, the limit is %d; %d of 8 served", o.most, most, served)
		}
	})
}
