package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
)

// TestChangesKnownInTime injects random faults: after a call went silent, the client must know all that was published
// before the next call arrived by the time at which it must know what the silent call missed. Two faults in a row are
// checked too, except for a watch, which has only 1.4 s left when its silence is noticed.
func TestChangesKnownInTime(t *testing.T) {
	checks, skipped := 0, 0
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 27))
			var mu sync.Mutex // guards r and what follows
			chance := func(p float64) bool { mu.Lock(); defer mu.Unlock(); return r.Float64() < p }
			span := func(most time.Duration) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(r.Float64() * float64(most))
			}
			type arrival struct {
				version     int64
				bad, refuse bool
			}
			var published, known int64
			var arrivals []arrival
			faultsInRow := 0 // faults in a row
			gateways := []int{1, 8, 30, 300}[seed%4]
			s := &fakeService{started: time.Now()}
			ctx, cancel := context.WithCancel(t.Context())
			wentSilent := func(n int, wait time.Duration, arrived time.Time) {
				silent := time.Now()
				due := later(silent.Add(6*time.Second), arrived.Add(wait+2*time.Second))
				go func() {
					if time.Sleep(time.Until(due)); ctx.Err() != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if len(arrivals) > n+1 && wait > 0 && (arrivals[n+1].bad || arrivals[n+1].refuse) {
						skipped++
						return
					}
					checks++
					if len(arrivals) <= n+1 || known < arrivals[n+1].version {
						t.Errorf("seed %d: call %d went silent, %v later (wait %v) version %d is known, of %d published; calls %v", seed, n, time.Since(silent), wait, known, published, s.queries)
					}
				}()
			}
			s.answer = func(n int, call string, conn net.Conn) {
				var have, ms int64
				full := call == ""
				if _, err := fmt.Sscanf(call, "?index=%d&wait=%d", &have, &ms); err != nil && !full {
					t.Error(call)
				}
				arrived, wait := time.Now(), time.Duration(ms)*time.Millisecond
				mu.Lock()
				bad := faultsInRow < 2 && r.Float64() < 0.2
				refuse := !bad && faultsInRow == 0 && r.Float64() < 0.03
				if faultsInRow++; !bad {
					faultsInRow = 0
				}
				arrivals = append(arrivals, arrival{published, bad, refuse})
				kind := r.IntN(4)
				mu.Unlock()
				if refuse {
					time.Sleep(span(time.Second))
					fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
					return
				}
				if bad && kind == 0 {
					wentSilent(n, wait, arrived)
					return
				}
				end := arrived.Add(span(700 * time.Millisecond)) // the end of its time in the queue
				stuck := arrived.Add(span(wait))
				for late := arrived.Add(wait); ; time.Sleep(20 * time.Millisecond) {
					if mu.Lock(); time.Now().After(end) && (published > have || !time.Now().Before(late)) {
						break
					}
					mu.Unlock()
					if bad && kind == 1 && time.Now().After(stuck) {
						wentSilent(n, wait, arrived)
						return
					}
				}
				body := fmt.Sprintf("{\n  \"generation\": %d,\n\t\"reset\" : %v,\r\n  \"instances\": [\n ]\n}\n", published, full)
				mu.Unlock()
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				if chance(0.5) {
					text = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body[1:])
				}
				if bad {
					wentSilent(n, wait, arrived)
					fmt.Fprint(conn, text[:1+int(span(time.Duration(len(text)-2)))])
					if kind == 2 {
						conn.Close()
					}
					return
				}
				fmt.Fprint(conn, text)
			}
			failed := make(chan struct{}, 9)
			dial := func(ctx context.Context, addr string) (net.Conn, error) {
				mu.Lock()
				hang := faultsInRow < 2 && r.Float64() < 0.05
				if hang {
					faultsInRow++
				}
				mu.Unlock()
				if hang { // the connection is never established
					<-ctx.Done()
					return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
				}
				return s.dial(ctx, addr)
			}
			var c *Client
			c = New(Config{Addr: "h:0", Gateways: gateways, Seed: seed}, func(kind decide.EventKind, _ []core.ListedMember) {
				if kind == decide.ListError {
					failed <- struct{}{}
					return
				}
				mu.Lock()
				defer mu.Unlock()
				known = c.version.Load()
			}, dial, slog.New(slog.DiscardHandler))
			go c.Run(ctx)
			go func() {
				for ctx.Err() == nil {
					select {
					case <-failed:
						time.Sleep(time.Second/2 + span(time.Duration(gateways)*75*time.Millisecond))
						c.Watch()
					case <-ctx.Done():
					}
				}
			}()
			c.Watch()
			for range 60 {
				time.Sleep(span(4 * time.Second))
				mu.Lock()
				published++
				mu.Unlock()
				if chance(0.02) {
					c.SetAddr(fmt.Sprint("h:", published), time.Now())
				}
			}
			cancel()
			time.Sleep(maxWatchWait + 10*time.Second) // for the last answers of discovery
		})
	}
	t.Logf("%d silent calls checked, %d left out", checks, skipped)
	if checks < 1000 {
		t.Errorf("only %d checks, want at least 1000", checks)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestPushed: where lists are pushed, the client watches unasked from its start on, and again after a failure.
func TestPushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{started: time.Now()}
		s.answer = func(n int, call string, conn net.Conn) {
			if strings.HasSuffix(call, "wait=0") && n != 2 {
				writeJSON(conn, `{"generation":8,"reset":true,"instances":[]}`)
			} else if n < 3 {
				conn.Close()
			}
		}
		var down atomic.Bool
		down.Store(true)
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			if down.Load() {
				return nil, errors.New("refused")
			}
			return s.dial(ctx, addr)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := New(Config{Addr: "h:0", Version: 7, Gateways: 9, Pushed: true}, func(decide.EventKind, []core.ListedMember) {}, dial, slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		down.Store(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if got := len(s.queries); got != 5 || !strings.HasSuffix(s.queries[4], "?index=8&wait=3000") {
			t.Errorf("calls %v", s.queries)
		}
	})
}
