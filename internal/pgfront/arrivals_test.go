package pgfront

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/internal/core"
	"reachwind/internal/pgwire"
)

// TestDeadlineOfQueuedCommand: the deadline of a command that waits behind others counts from its arrival, not from the
// start of its execution, however often the reader grew meanwhile; one that arrives alone has its full time, also after
// messages that are not queries.
func TestDeadlineOfQueuedCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCore{}
		s, _ := newServer(f, 4)
		p := dial(s, pgwire.AppendStartup(nil, "app", "shop"))
		sync := pgwire.Append(nil, 'S')
		for range 3 * maxMarks {
			p.write <- sync
			time.Sleep(mergeInterval)
		}
		alone := f.Now()
		p.write <- queryMessage(selectStatement)
		synctest.Wait()
		var sent []core.Time
		for i := range 80 { // more than the initial reader holds
			if i%8 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			sent = append(sent, f.Now())
			p.write <- queryMessage(selectStatement)
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
			if got := q.Deadline - 400*time.Millisecond; got > want || got < want-mergeInterval || q.ReceivedAt != got {
				t.Fatalf("the deadline of command %d counts from %v after its arrival, ReceivedAt is %v after it", i, got-want, q.ReceivedAt-want)
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

// TestDeepBacklog: if a client keeps very many pieces ahead and they are read as fast as it sends, a byte may count as
// arrived earlier than it did, but by no more than twice the time in which the backlog is read.
func TestDeepBacklog(t *testing.T) {
	for _, deep := range []int{10, 100, 200, 400} {
		var a arrivals
		var waits []core.Time
		for i := range 20 * deep {
			now := core.Time(i+1) * mergeInterval
			a.record(3, now)
			waits = append(waits, now)
			if len(waits) <= deep {
				continue
			}
			waits = waits[1:]
			a.discard(3 * len(waits))
			span := 2 * core.Time(deep) * mergeInterval
			if got := a.arrivalTime(3*len(waits)-3, now); got > waits[0] || waits[0]-got > span {
				t.Fatalf("%d deep, piece %d: arrival at %v, want %v", deep, i, got, waits[0])
			}
		}
	}
}

// TestArrivals compares random pieces with a model that knows the arrival time of each byte: no byte counts as arrived later
// than it did, the time of the newest is exact, few pieces are kept apart, and the number of marks is bounded.
func TestArrivals(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var a arrivals
		var bytes []core.Time // of those not read yet
		now := core.Time(0)
		few := seed%2 == 0
		for range 200 {
			now += core.Time(rng.Int64N(int64(3 * mergeInterval)))
			if n := 1 + rng.IntN(5); !few || len(bytes) < maxMarks {
				a.record(n, now)
				for range n {
					bytes = append(bytes, now)
				}
			}
			if len(a.marks) > maxMarks {
				t.Fatalf("seed %d: %d marks", seed, len(a.marks))
			}
			for i, at := range bytes {
				got := a.arrivalTime(len(bytes)-1-i, -1)
				if got > at || got < 0 || (few || i == len(bytes)-1) && at-got >= mergeInterval {
					t.Fatalf("seed %d: byte %d of %d: arrival at %v, want %v", seed, i, len(bytes), at, got)
				}
			}
			if k := rng.IntN(8); (few || rng.IntN(20) == 0) && k <= len(bytes) {
				bytes = bytes[k:]
				a.discard(len(bytes))
			}
		}
	}
}
