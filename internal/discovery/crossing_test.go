package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
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

const fullList = `{"generation":3,"reset":true,"instances":[]}`

// sinkRecorder records what a client passes to its sink.
type sinkRecorder struct {
	mu      sync.Mutex
	reports []string
	before  func(kind decide.EventKind) // called before each record, if not nil
}

func (s *sinkRecorder) sink(kind decide.EventKind, list []core.ListedMember) {
	if s.before != nil {
		s.before(kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	word := map[decide.EventKind]string{decide.ListFull: "full", decide.ListChange: "change", decide.ListError: "error"}[kind]
	s.reports = append(s.reports, word+strings.Repeat("+", len(list)))
}

func (s *sinkRecorder) all() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.reports, " ")
}

func (s *fakeService) all() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.queries, " ")
}

// TestVersionsRestarted: a service that restarted its versions would never report changes up to the version that is
// held here. The client then fetches the whole list, whatever the service answered, and ignores that answer.
func TestVersionsRestarted(t *testing.T) {
	const change = `{"generation":2,"reset":false,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"gone"}]}`
	for name, tc := range map[string]struct {
		answers        []string // to the calls in order, "" is a reset; no answer after the last
		calls, reports string
	}{
		"at once":        {[]string{change, fullList}, "0.0?index=7&wait=0 0.1 0.1?index=3&wait=3000", "full"},
		"nothing new":    {[]string{`{"generation":0}`, fullList}, "0.0?index=7&wait=0 0.1 0.1?index=3&wait=3000", "full"},
		"in a watch":     {[]string{`{"generation":8}`, change, fullList}, "0.0?index=7&wait=0 0.0?index=8&wait=3000 0.1 0.1?index=3&wait=3000", "change full"},
		"and broken off": {[]string{change, "", fullList}, "0.0?index=7&wait=0 0.1 0.1 0.1?index=3&wait=3000", "full"},
		"by itself":      {[]string{fullList}, "0.0?index=7&wait=0 0.0?index=3&wait=3000", "full"},
		"back and forth": {[]string{change, fullList, `{"generation":9}`, change, fullList}, "0.0?index=7&wait=0 0.1 0.1?index=3&wait=3000 0.1?index=9&wait=3000 0.1 0.1?index=3&wait=3000", "full change full"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, got := &fakeService{started: time.Now()}, new(sinkRecorder)
				s.answer = func(n int, _ string, conn net.Conn) {
					if n < len(tc.answers) && tc.answers[n] != "" {
						writeJSON(conn, tc.answers[n])
					} else if n < len(tc.answers) {
						conn.Close()
					}
				}
				c := runClient(t, Config{Addr: "h:0", Version: 7, Gateways: 1}, got.sink, s.dial)
				c.Watch()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if s.all() != tc.calls || got.all() != tc.reports {
					t.Errorf("calls %s, reports %s; want %s, %s", s.all(), got.all(), tc.calls, tc.reports)
				}
			})
		})
	}
}

// TestAddrChangeBetweenCalls: the address changes between two calls of a watch, and the second fetches the whole list
// at the new address. That call asks for no wait, so its silence must be noticed sooner than that of a watch. It also
// answers the signal of the change, so that a service that refuses it with a full queue is not called twice.
func TestAddrChangeBetweenCalls(t *testing.T) {
	for name, tc := range map[string]struct {
		first          func(net.Conn)
		calls, reports string
	}{
		"silent": {func(net.Conn) {}, "0.0 2.4 2.4?index=3&wait=3000", "change full"},
		"full queue": {func(c net.Conn) {
			time.Sleep(maxQueueTime)
			fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		}, "0.0", "change error"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before, after, got := &fakeService{started: time.Now()}, &fakeService{started: time.Now()}, new(sinkRecorder)
				before.answer = func(_ int, _ string, conn net.Conn) { writeJSON(conn, `{"generation":8}`) }
				after.answer = func(n int, call string, conn net.Conn) {
					if n == 0 {
						tc.first(conn)
					} else if call == "" {
						writeJSON(conn, fullList)
					}
				}
				dial := func(ctx context.Context, addr string) (net.Conn, error) {
					if addr == "new" {
						return after.dial(ctx, addr)
					}
					return before.dial(ctx, addr)
				}
				c := New(Config{Addr: "old", Version: 7, Gateways: 1}, got.sink, dial, slog.New(slog.DiscardHandler))
				got.before = func(decide.EventKind) { c.SetAddr("new", time.Now()) }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go c.Run(ctx)
				c.Watch()
				time.Sleep(5 * time.Second)
				synctest.Wait()
				if before.all() != "0.0?index=7&wait=0" || after.all() != tc.calls || got.all() != tc.reports {
					t.Errorf("calls to the old address %s, to the new one %s; reports %s", before.all(), after.all(), got.all())
				}
			})
		})
	}
}

// TestAddrChangeInAnyState: whatever the state of the call at the old address, and however the first call to the new
// one fails, the whole list of the new address is known within the required 4 s, and the old address is not called
// again.
func TestAddrChangeInAnyState(t *testing.T) {
	states := map[string]func(net.Conn){
		"no dial": nil, "refused": nil,
		"silent":  func(net.Conn) {},
		"midway":  func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{") },
		"reset":   func(c net.Conn) { c.Close() },
		"503":     func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
		"no list": func(c net.Conn) { writeJSON(c, `{"generation":`) },
		"back":    func(c net.Conn) { writeJSON(c, `{"generation":1}`) },
		"watch":   func(c net.Conn) { writeJSON(c, `{"generation":9}`) }, // no answer after this one
		"queue": func(c net.Conn) {
			time.Sleep(maxQueueTime)
			fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		},
	}
	for was, old := range states {
		for is, first := range states {
			for _, pushed := range []bool{false, true} {
				gateways := 5
				if len(was)%2 == 0 {
					gateways = 300
				}
				if is == "queue" || is == "watch" {
					continue // this call does not fail, or the module paces the next one
				}
				t.Run(fmt.Sprint(was, ", then ", is, ", pushed ", pushed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						begin := time.Now()
						before, after, got := &fakeService{started: begin}, &fakeService{started: begin}, new(sinkRecorder)
						before.answer = func(n int, _ string, conn net.Conn) {
							if was != "watch" || n == 0 {
								old(conn)
							}
						}
						var dials atomic.Int64
						after.answer = func(n int, call string, conn net.Conn) {
							if n == 0 && dials.Load() == 1 {
								first(conn)
							} else if call == "" {
								writeJSON(conn, fullList)
							}
						}
						dial := func(ctx context.Context, addr string) (net.Conn, error) {
							s, how := before, was
							if addr == "new" {
								s, how = after, is
								if dials.Add(1) > 1 {
									how = ""
								}
							}
							switch how {
							case "no dial":
								<-ctx.Done()
								return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
							case "refused":
								return nil, errors.New("refused")
							}
							return s.dial(ctx, addr)
						}
						var fulls []time.Duration
						c := New(Config{Addr: "old", Version: 7, Gateways: gateways, Pushed: pushed}, got.sink, dial, slog.New(slog.DiscardHandler))
						got.before = func(kind decide.EventKind) {
							if kind == decide.ListFull {
								fulls = append(fulls, time.Since(begin))
							}
						}
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						go c.Run(ctx)
						c.Watch()
						time.Sleep(2300 * time.Millisecond)
						synctest.Wait()
						asked, move := before.all(), time.Since(begin)
						c.SetAddr("new", time.Now())
						time.Sleep(10 * time.Second)
						synctest.Wait()
						if len(fulls) == 0 || fulls[0] > move+4*time.Second || before.all() != asked {
							t.Errorf("address changed at %v, whole lists at %v (reports %s); calls to the old address %s, later %s; to the new one %s", move, fulls, got.all(), asked, before.all(), after.all())
						}
					})
				})
			}
		}
	}
}

// TestServiceWithoutWait: a service that answers watches without waiting, as a cache in between may, is not called in a
// tight loop.
func TestServiceWithoutWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{started: time.Now()}
		s.answer = func(_ int, _ string, conn net.Conn) { writeJSON(conn, `{"generation":7}`) }
		c := runClient(t, Config{Addr: "h:0", Version: 7, Gateways: 1}, new(sinkRecorder).sink, s.dial)
		c.Watch()
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := len(s.queries); n > 2+int(time.Second/minEmptyCallInterval) {
			t.Errorf("%d calls in a second, want fewer", n)
		}
	})
}

// TestConnectionNotKept: a service that closes a connection after its answer without announcing it does not break a
// watch. A service that resets every connection is not called in a tight loop.
func TestConnectionNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{started: time.Now()}
		s.answer = func(n int, _ string, conn net.Conn) {
			if n < 2 {
				writeJSON(conn, `{"generation":8}`)
			}
			if n < 4 {
				conn.Close()
			}
		}
		c := runClient(t, Config{Addr: "h:0", Version: 7, Gateways: 300}, new(sinkRecorder).sink, s.dial)
		c.Watch()
		time.Sleep(40 * time.Millisecond)
		synctest.Wait()
		if got, want := s.all(), "0.0?index=7&wait=0 0.0?index=8&wait=60000"; got != want {
			t.Errorf("calls %s, want %s", got, want)
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if got, want := s.all(), "0.0?index=7&wait=0 0.0?index=8&wait=60000 0.1?index=8&wait=60000"; got != want {
			t.Errorf("calls %s, want %s", got, want)
		}
	})
}

// TestOutageLogRate: a service that is down for long causes at most one log line a second.
func TestOutageLogRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var out strings.Builder
		c := New(Config{Addr: "h:0", Version: 7, Gateways: 1, Pushed: true}, new(sinkRecorder).sink, func(context.Context, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}, slog.New(slog.NewTextHandler(lockedBuilder{&mu, &out}, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if n := strings.Count(out.String(), "\n"); n < 10 || n > 22 || !strings.Contains(out.String(), "times=") {
			t.Errorf("%d log lines in 20 s, want about one a second: %.300s", n, out.String())
		}
	})
}

type lockedBuilder struct {
	mu *sync.Mutex
	w  *strings.Builder
}

func (l lockedBuilder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// TestAnswerWithoutLength: an answer without a length ends where its connection is closed, not where it is reset, be it
// whole or not. It needs real sockets, as a pipe cannot be reset.
func TestAnswerWithoutLength(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ends := make(chan string, 4)
	for _, how := range []string{"reset", "cut", "closed"} {
		ends <- how
	}
	close(ends)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(conn)
			for line := "x"; strings.TrimSpace(line) != "" && err == nil; {
				line, err = r.ReadString('\n')
			}
			how := <-ends
			text := fmt.Sprintf("{\n  \"generation\": 8,\n  \"reset\": true,\n  \"instances\": [{\"instanceId\": %q, \"lifecycle\": \"ready\"}]\n}\n", how)
			if how == "cut" {
				text = text[:len(text)/2]
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n"+text)
			if how == "reset" {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			if how != "" {
				conn.Close()
			} // else the watch that follows gets no answer
		}
	}()
	got := make(chan string, 9)
	c := New(Config{Addr: l.Addr().String(), Version: 7, Gateways: 1}, func(kind decide.EventKind, list []core.ListedMember) {
		for _, m := range list {
			got <- m.ID
		}
	}, func(ctx context.Context, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	c.Watch()
	select {
	case id := <-got:
		if id != "closed" {
			t.Errorf("the list of an answer that ended by %s is used", id)
		}
	case <-time.After(30 * time.Second):
		t.Error("no list within 30 s")
	}
}

// runClient runs a client without a log until the test ends.
func runClient(t *testing.T, conf Config, sink Sink, dial func(context.Context, string) (net.Conn, error)) *Client {
	c := New(conf, sink, dial, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}
