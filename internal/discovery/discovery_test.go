package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
)

func TestReadResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		in, body string
		ok, keep bool
	}{
		"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}", true, true},
		"chunks":     {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;x=y\r\n{\r\n1\r\n}\r\n0\r\nT: 1\r\n\r\n", "{}", true, true},
		"to the end": {"HTTP/1.0 200 OK\r\n\r\n{}", "{}", true, false},
		"close":      {"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "", true, false},
		"interim":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n", "", true, true},
		"no end":     {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9), "", false, false},
		"cut":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", "", false, false},
		"no http":    {"SSH-2.0-x\r\n", "", false, false},
		"length -1":  {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "", false, false},
		"huge":       {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "", false, false},
		"huge chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "", false, false},
		"long line":  {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxLine) + "\r\n\r\n", "", false, false},
		"headers":    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxHeaders+1) + "\r\n", "", false, false},
	} {
		r, err := readResponse(bufio.NewReader(strings.NewReader(tc.in)), func() {})
		if (err == nil) != tc.ok || tc.ok && (string(r.body) != tc.body || r.keep != tc.keep) {
			t.Errorf("%s: %+v, %v", name, r, err)
		}
	}
}

func FuzzReadResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 100 C\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		r, err := readResponse(bufio.NewReader(strings.NewReader(in)), func() {})
		if err == nil && (len(r.body) > len(in) || r.status < 200) {
			t.Errorf("%q gave %+v", in, r)
		}
	})
}

// TestFollow: a watch begins with a call that does not wait, goes on at once after each answer from the version told
// last, and is begun anew by a call that does not wait when it is refused. It ends with the first call that a crowd was
// before, which is told; it begins anew only when asked for, and word that was left meanwhile is answered by the failure.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &serve{begin: time.Now()}
		var c *Client
		s.answer = func(n int, _ string, conn net.Conn) {
			switch n {
			case 0:
				write(conn, `{"generation":8,"reset":false,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"gone"}]}`)
			case 1:
				write(conn, `{"generation":9,"reset":true,"instances":[{"instanceId":"b","hostPort":"h:2","lifecycle":"ready","startedAtMs":5}]}`)
			case 3, 4:
				c.Watch()
				c.Fetch()
				time.Sleep(queueMost)
				fallthrough
			default:
				fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			}
		}
		var told []string
		c = New(Config{Addr: "h:0", Version: 7, Gateways: 1}, func(kind decide.EventKind, list []core.ListedMember) {
			s.mu.Lock()
			defer s.mu.Unlock()
			word := fmt.Sprint(kind)
			for _, l := range list {
				word += fmt.Sprintf(" %s %s %d %v", l.ID, l.Addr, l.State, l.Started)
			}
			told = append(told, word)
		}, s.dial, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		for range 2 {
			c.Watch()
			time.Sleep(10 * time.Second)
			synctest.Wait()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		want := "0.0?index=7&wait=0 0.0?index=8&wait=3000 0.0?index=9&wait=3000 0.0?index=9&wait=0 10.0?index=9&wait=0"
		if got := strings.Join(s.calls, " "); got != want {
			t.Errorf("calls %s, want %s", got, want)
		}
		want = fmt.Sprintf("%d a h:1 2 0s|%d b h:2 0 5ms|%d|%d", decide.ListChange, decide.ListFull, decide.ListError, decide.ListError)
		if got := strings.Join(told, "|"); got != want {
			t.Errorf("told %s, want %s", got, want)
		}
	})
}

// serve is discovery for tests of how calls end. Each call, numbered from 0, is answered as answer says.
type serve struct {
	mu     sync.Mutex
	calls  []string // what was asked, and when
	begin  time.Time
	answer func(n int, call string, conn net.Conn)
}

func (s *serve) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		r := bufio.NewReader(far)
		for {
			line, err := r.ReadString('\n')
			for rest := "x"; err == nil && strings.TrimSpace(rest) != ""; {
				rest, err = r.ReadString('\n')
			}
			if err != nil {
				return
			}
			call := strings.TrimPrefix(strings.Fields(line)[1], path)
			s.mu.Lock()
			n := len(s.calls)
			s.calls = append(s.calls, fmt.Sprintf("%.1f%s", time.Since(s.begin).Seconds(), call))
			s.mu.Unlock()
			s.answer(n, call, far)
		}
	}()
	return near, nil
}

func write(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestBroken: a call that broke is begun anew at once on another connection, so that its answer is there before
// what it missed counts as told: 6 s after the silence began, for a watch 2 s after its wait. So is one that was refused,
// but after a queue's time: that is left to the module's pace.
func TestBroken(t *testing.T) {
	const refusal503 = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	const list = `{"generation":8,"reset":true,"instances":[]}`
	for name, tc := range map[string]struct {
		broken, from int // calls that do not go well, the first of them
		how          func(net.Conn)
		calls        string
		failed       bool
	}{
		"first call silent": {1, 0, func(net.Conn) {}, "0.0?index=7&wait=0 2.4?index=7&wait=0 2.4?index=8&wait=3000", false},
		"silent again":      {2, 0, func(net.Conn) {}, "0.0?index=7&wait=0 2.4?index=7&wait=0 4.8?index=7&wait=0 4.8?index=8&wait=3000", false},
		"silent for good":   {9, 0, func(net.Conn) {}, "0.0?index=7&wait=0 2.4?index=7&wait=0 4.8?index=7&wait=0 7.2?index=7&wait=0", false},
		"watch silent":      {1, 1, func(net.Conn) {}, "0.0?index=7&wait=0 0.0?index=8&wait=3000 3.6?index=8&wait=0 3.6?index=8&wait=3000", false},
		"body stops":        {1, 1, func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{") }, "0.0?index=7&wait=0 0.0?index=8&wait=3000 0.7?index=8&wait=0 0.7?index=8&wait=3000", false},
		"head, then reset":  {1, 0, func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200"); c.Close() }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=8&wait=3000", false},
		"no list":           {1, 0, func(c net.Conn) { write(c, `{"generation":`) }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=8&wait=3000", false},
		"no such lifecycle": {9, 0, func(c net.Conn) { write(c, `{"instances":[{"instanceId":"a"}]}`) }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=7&wait=0 0.1?index=7&wait=0", false},
		"reset":             {1, 0, func(c net.Conn) { c.Close() }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=8&wait=3000", false},
		"refused":           {1, 0, func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=8&wait=3000", false},
		"watch reset":       {1, 1, func(c net.Conn) { time.Sleep(time.Second); c.Close() }, "0.0?index=7&wait=0 0.0?index=8&wait=3000 1.0?index=8&wait=0 1.0?index=8&wait=3000", false},
		"watch refused":     {1, 1, func(c net.Conn) { time.Sleep(queueMost); fmt.Fprint(c, refusal503) }, "0.0?index=7&wait=0 0.0?index=8&wait=3000 2.0?index=8&wait=0 2.0?index=8&wait=3000", false},
		"a crowd":           {1, 0, func(c net.Conn) { time.Sleep(queueMost); fmt.Fprint(c, refusal503) }, "0.0?index=7&wait=0", true},
		"a crowd, by reset": {1, 0, func(c net.Conn) { time.Sleep(queueMost); c.Close() }, "0.0?index=7&wait=0", true},
		"late, then a trickle": {1, 0, func(c net.Conn) {
			time.Sleep(patience - 100*time.Millisecond)
			for _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"); err == nil; _, err = fmt.Fprint(c, " ") {
				time.Sleep(pause / 2)
			}
		}, "0.0?index=7&wait=0 3.2?index=7&wait=0 3.2?index=8&wait=3000", false},
		"an endless trickle": {1, 0, func(c net.Conn) {
			for _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"); err == nil; _, err = fmt.Fprint(c, " ") {
				time.Sleep(pause / 2)
			}
		}, "0.0?index=7&wait=0 2.0?index=7&wait=0 2.0?index=8&wait=3000", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &serve{begin: time.Now()}
				s.answer = func(n int, call string, conn net.Conn) {
					switch {
					case n >= tc.from && n < tc.from+tc.broken:
						tc.how(conn)
					case strings.HasSuffix(call, "wait=0"):
						write(conn, list)
					}
				}
				failed := false
				c := New(Config{Addr: "h:0", Version: 7, Gateways: 1}, func(kind decide.EventKind, _ []core.ListedMember) {
					s.mu.Lock()
					defer s.mu.Unlock()
					failed = failed || kind == decide.ListError
				}, s.dial, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go c.Run(ctx)
				c.Watch()
				time.Sleep(8 * time.Second)
				synctest.Wait()
				s.mu.Lock()
				defer s.mu.Unlock()
				got := strings.Join(s.calls, " ")
				if !strings.HasPrefix(got, tc.calls) || tc.failed != failed || failed && got != tc.calls {
					t.Errorf("failed %v, calls %s, want %v, %s", failed, got, tc.failed, tc.calls)
				}
			})
		})
	}
}

// TestMove: at a new address the old one's call ends at once and untold, its connection closes, and the
// whole list is asked for before the changes; a watch that is on goes on there.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var calls, told, closed []string
		note := func(list *[]string, s string) {
			mu.Lock()
			defer mu.Unlock()
			*list = append(*list, s)
		}
		dial := func(_ context.Context, addr string) (net.Conn, error) {
			a, b := net.Pipe()
			go func() {
				r := bufio.NewReader(b)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						note(&closed, addr)
						return
					}
					for rest := "x"; strings.TrimSpace(rest) != ""; {
						rest, _ = r.ReadString('\n')
					}
					call := strings.TrimPrefix(strings.Fields(line)[1], path)
					note(&calls, addr+call)
					if !strings.HasSuffix(call, "wait=3000") {
						text := `{"generation":3,"reset":true,"instances":[]}`
						_, _ = fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					}
				}
			}()
			return a, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(Config{Addr: "old", Version: 7, Gateways: 1}, func(kind decide.EventKind, _ []core.ListedMember) { note(&told, fmt.Sprint(kind)) }, dial,
			slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		c.Watch()
		synctest.Wait()
		c.SetAddr("old") // no change
		c.SetAddr("new")
		synctest.Wait()
		mu.Lock()
		got := strings.Join(calls, " ") + "|" + strings.Join(told, " ") + "|" + strings.Join(closed, " ")
		mu.Unlock()
		full := fmt.Sprint(decide.ListFull)
		if want := "old?index=7&wait=0 old?index=3&wait=3000 new new?index=3&wait=3000|" + full + " " + full + "|old"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		cancel()
		synctest.Wait()
	})
}

// TestLargeListIsTaken guards against lists of 3,200 members that are refused for their length, indented as they may come.
func TestLargeListIsTaken(t *testing.T) {
	list := List{Generation: 7, Reset: true}
	for i := range 3200 {
		list.Instances = append(list.Instances, Entry{InstanceID: fmt.Sprintf("s-%08x", i), HostPort: "127.215.215.215:65432", Zone: "wellington-north", MachineType: "standard-sixteen-cores",
			Cell: int64(i), Lifecycle: "draining", Weight: 1.25, StartedAtMs: 1767225600123})
	}
	body, err := json.MarshalIndent(list, "        ", "        ")
	if err != nil {
		t.Fatal(err)
	}
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	resp, err := readResponse(bufio.NewReader(strings.NewReader(answer)), func() {})
	if err != nil || len(resp.body) != len(body) {
		t.Errorf("%d bytes: %v", len(body), err)
	}
}
