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

const full = `{"generation":3,"reset":true,"instances":[]}`

// told collects what a client passes on.
type told struct {
	mu    sync.Mutex
	words []string
	also  func(kind decide.EventKind) // called too, before
}

func (s *told) sink(kind decide.EventKind, list []core.ListedMember) {
	if s.also != nil {
		s.also(kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	word := map[decide.EventKind]string{decide.ListFull: "full", decide.ListChange: "change", decide.ListError: "error"}[kind]
	s.words = append(s.words, word+strings.Repeat("+", len(list)))
}

func (s *told) all() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.words, " ")
}

func (s *serve) all() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.calls, " ")
}

// TestVersionsBack: a service that began its versions anew has changes that would never be told, as they lie before the
// version that is held here. Whatever it answers, the whole list is asked for; what it calls changes is not taken.
func TestVersionsBack(t *testing.T) {
	const change = `{"generation":2,"reset":false,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"gone"}]}`
	for name, tc := range map[string]struct {
		answers     []string // of one call after another, "" is a reset; then silence
		calls, told string
	}{
		"at once":        {[]string{change, full}, "0.0?index=7&wait=0 0.1 0.1?index=3&wait=3000", "full"},
		"nothing new":    {[]string{`{"generation":0}`, full}, "0.0?index=7&wait=0 0.1 0.1?index=3&wait=3000", "full"},
		"in a watch":     {[]string{`{"generation":8}`, change, full}, "0.0?index=7&wait=0 0.0?index=8&wait=3000 0.1 0.1?index=3&wait=3000", "change full"},
		"and broken off": {[]string{change, "", full}, "0.0?index=7&wait=0 0.1 0.1 0.1?index=3&wait=3000", "full"},
		"by itself":      {[]string{full}, "0.0?index=7&wait=0 0.0?index=3&wait=3000", "full"},
		"back and forth": {[]string{change, full, `{"generation":9}`, change, full}, "0.0?index=7&wait=0 0.1 0.1?index=3&wait=3000 0.1?index=9&wait=3000 0.1 0.1?index=3&wait=3000", "full change full"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, got := &serve{begin: time.Now()}, new(told)
				s.answer = func(n int, _ string, conn net.Conn) {
					if n < len(tc.answers) && tc.answers[n] != "" {
						write(conn, tc.answers[n])
					} else if n < len(tc.answers) {
						conn.Close()
					}
				}
				c := begin(t, Config{Addr: "h:0", Version: 7, Gateways: 1}, got.sink, s.dial)
				c.Watch()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if s.all() != tc.calls || got.all() != tc.told {
					t.Errorf("calls %s, told %s; want %s, %s", s.all(), got.all(), tc.calls, tc.told)
				}
			})
		})
	}
}

// TestMoveBetweenCalls: the address changes between the end of a watch's call and the beginning of its next, which
// asks the new one for the whole list. That call does not wait, so its silence is no watch's; and the word that Move
// left is used up, so that a crowd there is not asked twice.
func TestMoveBetweenCalls(t *testing.T) {
	for name, tc := range map[string]struct {
		first       func(net.Conn)
		calls, told string
	}{
		"silent": {func(net.Conn) {}, "0.0 2.4 2.4?index=3&wait=3000", "change full"},
		"crowd": {func(c net.Conn) {
			time.Sleep(queueMost)
			fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		}, "0.0", "change error"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before, after, got := &serve{begin: time.Now()}, &serve{begin: time.Now()}, new(told)
				before.answer = func(_ int, _ string, conn net.Conn) { write(conn, `{"generation":8}`) }
				after.answer = func(n int, call string, conn net.Conn) {
					if n == 0 {
						tc.first(conn)
					} else if call == "" {
						write(conn, full)
					}
				}
				dial := func(ctx context.Context, addr string) (net.Conn, error) {
					if addr == "new" {
						return after.dial(ctx, addr)
					}
					return before.dial(ctx, addr)
				}
				c := New(Config{Addr: "old", Version: 7, Gateways: 1}, got.sink, dial, slog.New(slog.DiscardHandler))
				got.also = func(decide.EventKind) { c.SetAddr("new") }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go c.Run(ctx)
				c.Watch()
				time.Sleep(5 * time.Second)
				synctest.Wait()
				if before.all() != "0.0?index=7&wait=0" || after.all() != tc.calls || got.all() != tc.told {
					t.Errorf("old asked %s, new %s, told %s", before.all(), after.all(), got.all())
				}
			})
		})
	}
}

// TestMoveFromAnywhere: in whatever state the call at the old address is, and however the first one at the new one
// fails, the new one's whole list is told within the 4 s after which it counts (the standing page), and nothing more
// of the old one.
func TestMoveFromAnywhere(t *testing.T) {
	states := map[string]func(net.Conn){
		"no dial": nil, "refused": nil,
		"silent":  func(net.Conn) {},
		"midway":  func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{") },
		"reset":   func(c net.Conn) { c.Close() },
		"503":     func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
		"no list": func(c net.Conn) { write(c, `{"generation":`) },
		"back":    func(c net.Conn) { write(c, `{"generation":1}`) },
		"watch":   func(c net.Conn) { write(c, `{"generation":9}`) }, // and then nothing
		"crowd": func(c net.Conn) {
			time.Sleep(queueMost)
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
				if is == "crowd" || is == "watch" {
					continue // not one that fails, or at the module's pace
				}
				t.Run(fmt.Sprint(was, ", then ", is, ", pushed ", pushed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						begin := time.Now()
						before, after, got := &serve{begin: begin}, &serve{begin: begin}, new(told)
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
								write(conn, full)
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
						got.also = func(kind decide.EventKind) {
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
						c.SetAddr("new")
						time.Sleep(10 * time.Second)
						synctest.Wait()
						if len(fulls) == 0 || fulls[0] > move+4*time.Second || before.all() != asked {
							t.Errorf("moved at %v, told at %v (%s); old asked %s, then %s; new %s", move, fulls, got.all(), asked, before.all(), after.all())
						}
					})
				})
			}
		}
	}
}

// TestWaitsNot: a service that does not wait, as a cache between would, is not asked without end.
func TestWaitsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &serve{begin: time.Now()}
		s.answer = func(_ int, _ string, conn net.Conn) { write(conn, `{"generation":7}`) }
		c := begin(t, Config{Addr: "h:0", Version: 7, Gateways: 1}, new(told).sink, s.dial)
		c.Watch()
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := len(s.calls); n > 2+int(time.Second/idleLeast) {
			t.Errorf("%d calls in a second", n)
		}
	})
}

// TestKeptNot: a service that closes a connection after its answer, and does not say so, breaks no watch. One that resets
// every connection is not asked on and on at once.
func TestKeptNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &serve{begin: time.Now()}
		s.answer = func(n int, _ string, conn net.Conn) {
			if n < 2 {
				write(conn, `{"generation":8}`)
			}
			if n < 4 {
				conn.Close()
			}
		}
		c := begin(t, Config{Addr: "h:0", Version: 7, Gateways: 300}, new(told).sink, s.dial)
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

// TestDownLogs: a service that is down for long makes a line a second at most.
func TestDownLogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var out strings.Builder
		c := New(Config{Addr: "h:0", Version: 7, Gateways: 1, Pushed: true}, new(told).sink, func(context.Context, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}, slog.New(slog.NewTextHandler(locked{&mu, &out}, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if n := strings.Count(out.String(), "\n"); n < 10 || n > 22 || !strings.Contains(out.String(), "times=") {
			t.Errorf("%d lines: %.300s", n, out.String())
		}
	})
}

type locked struct {
	mu *sync.Mutex
	w  *strings.Builder
}

func (l locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// TestNoLength: an answer without length ends where its connection is closed, not where it is reset, be it whole or not.
// Real sockets, as a pipe knows no reset.
func TestNoLength(t *testing.T) {
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
			} // else the watch that follows is left on
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
			t.Errorf("the list of an answer that was %s is taken", id)
		}
	case <-time.After(30 * time.Second):
		t.Error("no list")
	}
}

// begin runs a client that logs nothing until the test ends.
func begin(t *testing.T, conf Config, sink Sink, dial func(context.Context, string) (net.Conn, error)) *Client {
	c := New(conf, sink, dial, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}
