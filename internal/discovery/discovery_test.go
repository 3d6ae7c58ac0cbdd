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
		if (err == nil) != tc.ok || tc.ok && (string(r.body) != tc.body || r.keepAlive != tc.keep) {
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

// TestWatch: a watch starts with a call that asks for no wait, continues at once after each answer from the version
// last received, and restarts with a call without a wait when it is refused. It ends with the first call that a full
// queue refuses, which it reports; it starts again only on request, and requests made during the failed call are
// answered by that failure.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{started: time.Now()}
		var c *Client
		s.answer = func(n int, _ string, conn net.Conn) {
			switch n {
			case 0:
				writeJSON(conn, `{"generation":8,"reset":false,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"gone"}]}`)
			case 1:
				writeJSON(conn, `{"generation":9,"reset":true,"instances":[{"instanceId":"b","hostPort":"h:2","lifecycle":"ready","startedAtMs":5}]}`)
			case 3, 4:
				c.Watch()
				c.Fetch()
				time.Sleep(maxQueueTime)
				fallthrough
			default:
				fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			}
		}
		var reports []string
		c = New(Config{Addr: "h:0", Version: 7, Gateways: 1}, func(kind decide.EventKind, list []core.ListedMember) {
			s.mu.Lock()
			defer s.mu.Unlock()
			word := fmt.Sprint(kind)
			for _, l := range list {
				word += fmt.Sprintf(" %s %s %d %v", l.ID, l.Addr, l.State, l.Started)
			}
			reports = append(reports, word)
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
		if got := strings.Join(s.queries, " "); got != want {
			t.Errorf("calls %s, want %s", got, want)
		}
		want = fmt.Sprintf("%d a h:1 2 0s|%d b h:2 0 5ms|%d|%d", decide.ListChange, decide.ListFull, decide.ListError, decide.ListError)
		if got := strings.Join(reports, "|"); got != want {
			t.Errorf("reports %s, want %s", got, want)
		}
	})
}

// fakeService is a fake discovery service. It answers each call, numbered from 0, by the function answer.
type fakeService struct {
	mu      sync.Mutex
	queries []string // the queries, each after its time in seconds since begin
	started time.Time
	answer  func(n int, call string, conn net.Conn)
}

func (s *fakeService) dial(context.Context, string) (net.Conn, error) {
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
			call := strings.TrimPrefix(strings.Fields(line)[1], endpointsPath)
			s.mu.Lock()
			n := len(s.queries)
			s.queries = append(s.queries, fmt.Sprintf("%.1f%s", time.Since(s.started).Seconds(), call))
			s.mu.Unlock()
			s.answer(n, call, far)
		}
	}()
	return near, nil
}

func writeJSON(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestFailedCallRetried: a call that broke off is retried at once on another connection, so that its answer arrives
// before the gateway must know what the call missed: 6 s after the silence began, for a watch 2 s after its wait. A
// refused call is retried too, unless it was refused after the time of a full queue: the module paces the next call
// then.
func TestFailedCallRetried(t *testing.T) {
	const refusal503 = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	const list = `{"generation":8,"reset":true,"instances":[]}`
	for name, tc := range map[string]struct {
		broken, from int // number of calls that fail, and the first of them
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
		"no list":           {1, 0, func(c net.Conn) { writeJSON(c, `{"generation":`) }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=8&wait=3000", false},
		"no such lifecycle": {9, 0, func(c net.Conn) { writeJSON(c, `{"instances":[{"instanceId":"a"}]}`) }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=7&wait=0 0.1?index=7&wait=0", false},
		"reset":             {1, 0, func(c net.Conn) { c.Close() }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=8&wait=3000", false},
		"refused":           {1, 0, func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }, "0.0?index=7&wait=0 0.0?index=7&wait=0 0.0?index=8&wait=3000", false},
		"watch reset":       {1, 1, func(c net.Conn) { time.Sleep(time.Second); c.Close() }, "0.0?index=7&wait=0 0.0?index=8&wait=3000 1.0?index=8&wait=0 1.0?index=8&wait=3000", false},
		"watch refused":     {1, 1, func(c net.Conn) { time.Sleep(maxQueueTime); fmt.Fprint(c, refusal503) }, "0.0?index=7&wait=0 0.0?index=8&wait=3000 2.0?index=8&wait=0 2.0?index=8&wait=3000", false},
		"full queue":        {1, 0, func(c net.Conn) { time.Sleep(maxQueueTime); fmt.Fprint(c, refusal503) }, "0.0?index=7&wait=0", true},
		"full queue, reset": {1, 0, func(c net.Conn) { time.Sleep(maxQueueTime); c.Close() }, "0.0?index=7&wait=0", true},
		"late, then trickling": {1, 0, func(c net.Conn) {
			time.Sleep(firstByteTimeout - 100*time.Millisecond)
			for _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"); err == nil; _, err = fmt.Fprint(c, " ") {
				time.Sleep(maxReadGap / 2)
			}
		}, "0.0?index=7&wait=0 3.2?index=7&wait=0 3.2?index=8&wait=3000", false},
		"endless trickle": {1, 0, func(c net.Conn) {
			for _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"); err == nil; _, err = fmt.Fprint(c, " ") {
				time.Sleep(maxReadGap / 2)
			}
		}, "0.0?index=7&wait=0 2.0?index=7&wait=0 2.0?index=8&wait=3000", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeService{started: time.Now()}
				s.answer = func(n int, call string, conn net.Conn) {
					switch {
					case n >= tc.from && n < tc.from+tc.broken:
						tc.how(conn)
					case strings.HasSuffix(call, "wait=0"):
						writeJSON(conn, list)
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
				got := strings.Join(s.queries, " ")
				if !strings.HasPrefix(got, tc.calls) || tc.failed != failed || failed && got != tc.calls {
					t.Errorf("failed %v, calls %s, want %v, %s", failed, got, tc.failed, tc.calls)
				}
			})
		})
	}
}

// TestAddrChange: a change of the address cancels the current call without a report and closes its connection. At the
// new address the whole list is fetched before changes, and a running watch continues.
func TestAddrChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var calls, reports, closed []string
		record := func(list *[]string, s string) {
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
						record(&closed, addr)
						return
					}
					for rest := "x"; strings.TrimSpace(rest) != ""; {
						rest, _ = r.ReadString('\n')
					}
					call := strings.TrimPrefix(strings.Fields(line)[1], endpointsPath)
					record(&calls, addr+call)
					if !strings.HasSuffix(call, "wait=3000") {
						text := `{"generation":3,"reset":true,"instances":[]}`
						_, _ = fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					}
				}
			}()
			return a, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(Config{Addr: "old", Version: 7, Gateways: 1}, func(kind decide.EventKind, _ []core.ListedMember) { record(&reports, fmt.Sprint(kind)) }, dial,
			slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		c.Watch()
		synctest.Wait()
		c.SetAddr("old", time.Now()) // no change
		c.SetAddr("new", time.Now())
		synctest.Wait()
		mu.Lock()
		got := strings.Join(calls, " ") + "|" + strings.Join(reports, " ") + "|" + strings.Join(closed, " ")
		mu.Unlock()
		full := fmt.Sprint(decide.ListFull)
		if want := "old?index=7&wait=0 old?index=3&wait=3000 new new?index=3&wait=3000|" + full + " " + full + "|old"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		cancel()
		synctest.Wait()
	})
}

// TestLargeListAccepted guards against refusing an indented list of 3,200 members for its length.
func TestLargeListAccepted(t *testing.T) {
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
		t.Errorf("answer of %d bytes not read whole: %v", len(body), err)
	}
}
