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

// open counts the gateway's own ends that are open: its descriptors.
type open struct {
	mu        sync.Mutex
	now, most int
}

func (o *open) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now += n
	o.most = max(o.most, o.now)
}

type counted struct {
	net.Conn
	o    *open
	once sync.Once
}

func (c *counted) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.o.add(-1) })
	return err
}

// TestEvictWithinLimit: where requests for other members come at once, idle connections that make room are closed before
// new ones are opened: the pool never holds more descriptors than its share.
func TestEvictWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4
		r := newRig(t, most)
		o := new(open)
		r.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := r.dial(ctx, addr)
			if err == nil {
				o.add(1)
				nc = &counted{Conn: nc, o: o}
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
		for _, e := range r.script.probes {
			if e.Result == decide.Served {
				served++
			}
		}
		if o.most > most || served != 8 {
			t.Errorf("%d descriptors held at once, the limit is %d; %d of 8 served", o.most, most, served)
		}
	})
}
