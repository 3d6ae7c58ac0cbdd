package pgfront

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/internal/core"
	"reachwind/internal/pgwire"
)

// TestBehind: a command that waits behind others has its client's time from when it came, not from its turn, however
// often the reader grew meanwhile; one that came alone has all of it, also after messages that are no queries.
func TestBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCore{}
		s, _ := newServer(f, 4)
		p := dial(s, pgwire.AppendStartup(nil, "app", "shop"))
		sync := pgwire.Append(nil, 'S')
		for range 3 * arrivalsMost {
			p.write <- sync
			time.Sleep(arrivalsEach)
		}
		alone := f.Now()
		p.write <- query(read)
		synctest.Wait()
		var sent []core.Time
		for i := range 80 { // more than a reader holds at first
			if i%8 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			sent = append(sent, f.Now())
			p.write <- query(read)
			synctest.Wait()
		}
		for i := -1; i < len(sent); i++ {
			synctest.Wait()
			f.mu.Lock()
			if len(f.open) != 1 {
				t.Fatalf("command %d: %d are open", i, len(f.open))
			}
			q := f.open[0]
			f.open = nil
			f.mu.Unlock()
			want := alone
			if i >= 0 {
				want = sent[i]
			}
			if got := q.Deadline - 400*time.Millisecond; got > want || got < want-arrivalsEach || q.ReceivedAt != got {
				t.Fatalf("command %d counts from %v after it came, said to be %v", i, got-want, q.ReceivedAt-want)
			}
			time.Sleep(3 * time.Millisecond)
			q.Call.Release()
			q.Client.Answer(core.Answer{Verdict: core.Refused})
		}
		close(p.write)
		_ = p.Close()
		synctest.Wait()
	})
}

// TestDeepBacklog: where a client keeps very many pieces ahead, and reading is as fast as it sends, a byte may count as come
// earlier than it did, but by no more than the backlog takes to be read twice: what is known goes on with it.
func TestDeepBacklog(t *testing.T) {
	for _, deep := range []int{10, 100, 200, 400} {
		var a arrivals
		var waits []core.Time
		for i := range 20 * deep {
			now := core.Time(i+1) * arrivalsEach
			a.came(3, now)
			waits = append(waits, now)
			if len(waits) <= deep {
				continue
			}
			waits = waits[1:]
			a.forget(3 * len(waits))
			span := 2 * core.Time(deep) * arrivalsEach
			if got := a.last(3*len(waits)-3, now); got > waits[0] || waits[0]-got > span {
				t.Fatalf("%d deep, piece %d: came at %v, not %v", deep, i, got, waits[0])
			}
		}
	}
}

// TestArrivals plays drawn pieces against a model that knows when each byte came: no byte counts as come later than it
// did, the newest counts by itself, few pieces are told apart, and the marks are bounded.
func TestArrivals(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var a arrivals
		var bytes []core.Time // of those not read yet
		now := core.Time(0)
		few := seed%2 == 0
		for range 200 {
			now += core.Time(rng.Int64N(int64(3 * arrivalsEach)))
			if n := 1 + rng.IntN(5); !few || len(bytes) < arrivalsMost {
				a.came(n, now)
				for range n {
					bytes = append(bytes, now)
				}
			}
			if len(a.marks) > arrivalsMost {
				t.Fatalf("seed %d: %d marks", seed, len(a.marks))
			}
			for i, at := range bytes {
				got := a.last(len(bytes)-1-i, -1)
				if got > at || got < 0 || (few || i == len(bytes)-1) && at-got >= arrivalsEach {
					t.Fatalf("seed %d: byte %d of %d came at %v, not %v", seed, i, len(bytes), at, got)
				}
			}
			if k := rng.IntN(8); (few || rng.IntN(20) == 0) && k <= len(bytes) {
				bytes = bytes[k:]
				a.forget(len(bytes))
			}
		}
	}
}
