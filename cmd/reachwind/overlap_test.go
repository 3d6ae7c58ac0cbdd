package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"reachwind/internal/lab/proc"
	"reachwind/internal/lab/upgrade"
	"reachwind/internal/pgwire"
	"reachwind/internal/standin/cluster"
)

// readStatement returns the message of a read request.
func readStatement(id, class string, wait time.Duration) []byte {
	return pgwire.Append(nil, 'Q', fmt.Sprintf("/* id=%s,c=%s,t=kea-basin,d=%d,cluster=0 */ SELECT doc FROM items WHERE id = 'x'\x00", id, class, wait.Milliseconds()))
}

// rawClient is a client whose every byte the test controls.
type rawClient struct {
	*net.TCPConn
	reader *bufio.Reader
}

func connectRaw(t *testing.T, addr string) rawClient {
	t.Helper()
	nc, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(2 * within))
	return rawClient{nc.(*net.TCPConn), bufio.NewReader(nc)}
}

func (p rawClient) send(t *testing.T, text []byte) {
	t.Helper()
	if _, err := p.Write(text); err != nil {
		t.Errorf("write: %v", err)
	}
}

// receive reads messages up to the next ReadyForQuery and returns their types.
func (p rawClient) receive() (types string, err error) {
	for head := make([]byte, 5); ; {
		if _, err := io.ReadFull(p.reader, head); err != nil {
			return types, err
		}
		typ, n, err := pgwire.Header(head)
		if err != nil {
			return types, err
		}
		if _, err := io.CopyN(io.Discard, p.reader, int64(n)); err != nil {
			return types, err
		}
		types += string(typ)
		if typ == 'Z' {
			return types, nil
		}
	}
}

// wantOneAnswer reads exactly one complete answer to a request: a row or an error.
func (p rawClient) wantOneAnswer(t *testing.T, what string) {
	t.Helper()
	if types, err := p.receive(); err != nil || types != "TDCZ" && types != "EZ" || p.reader.Buffered() > 0 {
		t.Errorf("%s: answered %q, %v, and %d bytes more", what, types, err, p.reader.Buffered())
	}
}

// startOnSocket starts a gateway process on the platform's listening socket, with dir as its handover folder.
func startOnSocket(t *testing.T, dir, path string, socket *os.File) *proc.Gateway {
	t.Helper()
	none, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = none.Close() }()
	g, err := proc.With(os.Args[0], []string{"serve", "--config", path}, "msg=serving",
		[]string{"REACHWIND_PLAY=1", "TMPDIR=" + dir, "NODE_SOCKET_FD=5", "NODE_ADMIN_ADDR=127.0.0.1:0"}, []*os.File{none, none, socket})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	return g
}

// listenAsPlatform opens a listening socket as the platform does, to be passed to successive processes.
func listenAsPlatform(t *testing.T) (addr string, socket *os.File) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if socket, err = l.File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = socket.Close()
		_ = l.Close()
	})
	return l.Addr().String(), socket
}

// waitStopped waits for a process to exit by itself, and checks that it stopped in order.
func waitStopped(t *testing.T, g *proc.Gateway) {
	t.Helper()
	select {
	case <-g.Ended():
	case <-time.After(within):
		t.Fatalf("the process did not exit: %s", g.Log())
	}
	if !strings.Contains(g.Log(), "msg=stopped") {
		t.Errorf("the process did not log that it stopped in order: %s", g.Log())
	}
}

const halfIdleLimit = time.Second // half of the time after which idle connections are closed

// TestHandoverUnderTraffic replaces a process while its clients are at every step of the protocol, its members hang and
// signals are repeated. Each request gets one complete answer and no connection is cut, even if bytes arrive while it
// is passed on.
func TestHandoverUnderTraffic(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 2})
	addr, socket := listenAsPlatform(t)
	dir, path := t.TempDir(), writeConfig(t, c, c.Discovery(), 1024) // enough descriptors for all clients to be idle
	former := startOnSocket(t, dir, path, socket)
	waitFor(t, former, "a served request", func() bool {
		p := connectRaw(t, addr)
		p.send(t, append(pgwire.AppendStartup(nil, "app", "shop"), readStatement("first-"+fmt.Sprint(time.Now().UnixNano()), "field-info", 3*time.Second)...))
		_, _ = p.receive()
		types, _ := p.receive()
		_ = p.Close()
		return types == "TDCZ" || types == "TCZ"
	})
	startup := pgwire.AppendStartup(nil, "app", "shop")
	begin := func(more []byte) rawClient {
		p := connectRaw(t, addr)
		p.send(t, append(append([]byte(nil), startup...), more...))
		if types, err := p.receive(); err != nil {
			t.Fatalf("startup: %q, %v", types, err)
		}
		return p
	}
	for _, m := range c.Members() {
		m.Hang(true)
	}
	const perStep = 6
	var inFlight, idle, fresh, halfStartup, halfStatement, leaving []rawClient
	for i := range perStep {
		text := readStatement(fmt.Sprint("half-", i), "field-info", 3*time.Second)
		idle = append(idle, begin(nil))
		halfStatement = append(halfStatement, begin(text[:len(text)/2]))
		leaving = append(leaving, begin(readStatement(fmt.Sprint("left-", i), "field-info", 3*time.Second)))
		fresh = append(fresh, connectRaw(t, addr))
		p := connectRaw(t, addr)
		p.send(t, startup[:len(startup)/2])
		halfStartup = append(halfStartup, p)
		inFlight = append(inFlight, begin(readStatement(fmt.Sprint("out-", i), []string{"field-info", "run-status"}[i%2], 3*time.Second)))
	}
	next := startOnSocket(t, dir, path, socket)

	var busy sync.WaitGroup // these clients never pause, so that bytes arrive at every step while connections are passed on
	stop := make(chan struct{})
	for range perStep {
		p, last := begin(nil), time.Now()
		busy.Add(1)
		go func() {
			defer busy.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				begun := time.Now()
				p.send(t, pgwire.Append(nil, 'Q', "\x00"))
				types, err := p.receive()
				switch {
				case types == "IZ" && err == nil:
				case types == "" && begun.Sub(last) > halfIdleLimit: // this goroutine was delayed, and its connection closed as idle
					return
				default:
					t.Errorf("a client that never pauses, command %d: %q, %v", n, types, err)
					return
				}
				last = time.Now()
			}
		}()
	}
	former.Signal(syscall.SIGTERM)
	waitFor(t, former, "stopping", func() bool { return strings.Contains(former.Log(), "msg=stopping") })
	former.Signal(syscall.SIGTERM)
	former.Signal(syscall.SIGHUP)
	next.Signal(syscall.SIGHUP)
	for i := range perStep {
		text := readStatement(fmt.Sprint("half-", i), "field-info", 3*time.Second)
		halfStatement[i].send(t, text[len(text)/2:])
		halfStartup[i].send(t, append(append([]byte(nil), startup[len(startup)/2:]...), readStatement(fmt.Sprint("hello-", i), "field-info", 3*time.Second)...))
		idle[i].send(t, readStatement(fmt.Sprint("idle-", i), "field-info", 3*time.Second))
		fresh[i].send(t, append(append([]byte(nil), startup...), readStatement(fmt.Sprint("fresh-", i), "field-info", 3*time.Second)...))
		if i%2 == 0 {
			_ = leaving[i].SetLinger(0)
		}
		_ = leaving[i].Close()
	}
	waitFor(t, next, "reloaded", func() bool { return strings.Contains(next.Log(), "msg=reloaded") })
	for _, m := range c.Members() {
		m.Hang(false)
	}
	for i := range perStep {
		inFlight[i].wantOneAnswer(t, fmt.Sprint("in flight ", i))
		halfStatement[i].wantOneAnswer(t, fmt.Sprint("half a statement ", i))
		idle[i].wantOneAnswer(t, fmt.Sprint("idle ", i))
		for _, p := range []rawClient{fresh[i], halfStartup[i]} {
			if types, err := p.receive(); err != nil || !strings.HasPrefix(types, "R") {
				t.Errorf("startup %d: %q, %v", i, types, err)
			}
			p.wantOneAnswer(t, fmt.Sprint("startup and statement ", i))
		}
	}
	waitStopped(t, former)
	close(stop)
	busy.Wait()
	if t.Failed() {
		t.Logf("former: %s\nnext: %s", former.Log(), next.Log())
	}
	next.Signal(syscall.SIGTERM)
	waitStopped(t, next)
}

// TestReadyWithoutDiscovery: a process that starts answers the platform, operators and clients, some of which connected
// before its start, although discovery is down, silent, overloaded or slow and never sends a list; and it stops in
// order.
func TestReadyWithoutDiscovery(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 2})
	for name, serve := range map[string]func(net.Conn){
		"down":   nil,
		"silent": func(net.Conn) {},
		"overloaded": func(nc net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(nc))
			_, _ = io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			_ = nc.Close()
		},
		"slow": func(nc net.Conn) {
			for _, b := range []byte("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{") {
				_, _ = nc.Write([]byte{b})
				time.Sleep(50 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t, c.Discovery())
			if serve != nil {
				r.up(t, serve)
			}
			path := writeConfig(t, c, r.addr, 64)
			addr, socket := listenAsPlatform(t)
			for i := range 60 {
				if p := connectRaw(t, addr); i%2 == 0 { // they wait in the backlog of the platform's socket
					p.send(t, pgwire.AppendStartup(nil, "app", "shop"))
				}
			}
			dir := t.TempDir()
			g := startOnSocket(t, dir, path, socket)
			throttled := make(chan struct{}) // until it is closed the process has a tenth of a core or less
			resumed := make(chan struct{})
			go func() {
				defer close(resumed)
				for {
					select {
					case <-throttled:
						return
					default:
					}
					g.Signal(syscall.SIGSTOP)
					time.Sleep(45 * time.Millisecond)
					g.Signal(syscall.SIGCONT)
					time.Sleep(5 * time.Millisecond)
				}
			}()
			waitFor(t, g, "the platform's probe succeeds", func() bool { return probePlatform(addr) == nil })
			waitFor(t, g, "the admin API reports ready", func() bool { return upgrade.Call(g, "GET", "/v1/readyz") == nil })
			close(throttled)
			<-resumed
			n := 0
			waitFor(t, g, "a client is served", func() bool {
				n++
				p := connectRaw(t, addr)
				defer func() { _ = p.Close() }()
				p.send(t, append(pgwire.AppendStartup(nil, "app", "shop"), readStatement(fmt.Sprint(name, "-", n), "field-info", 3*time.Second)...))
				_, _ = p.receive()
				types, _ := p.receive()
				return types == "TDCZ" || types == "TCZ"
			})
			if strings.Contains(g.Log(), "msg=list ") {
				t.Error("a list came from discovery, want none")
			}
			// A process that replaces it waits for discovery for a limited time only.
			next := startOnSocket(t, dir, path, socket)
			if !strings.Contains(next.Log(), "serving before discovery answered") {
				t.Errorf("the next process did not log that it serves without discovery: %s", next.Log())
			}
			g.Signal(syscall.SIGTERM)
			waitStopped(t, g)
			waitFor(t, next, "the platform's probe succeeds with the next process", func() bool { return probePlatform(addr) == nil })
			next.Signal(syscall.SIGTERM)
			waitStopped(t, next)
		})
	}
}

// TestSuccessorEndsEarly: no request is lost if the next process gets SIGTERM while it waits for discovery, or is
// killed while connections are being passed to it: the former process answers what clients wrote meanwhile.
func TestSuccessorEndsEarly(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 2})
	r := newRelay(t, c.Discovery())
	r.up(t, func(net.Conn) {}) // silent
	addr, socket := listenAsPlatform(t)
	dir, path := t.TempDir(), writeConfig(t, c, r.addr, 1024)
	former := startOnSocket(t, dir, path, socket)
	idle := func() (p rawClient) {
		p = connectRaw(t, addr)
		p.send(t, pgwire.Append(pgwire.AppendStartup(nil, "app", "shop"), 'Q', "\x00"))
		for range 2 {
			if types, err := p.receive(); err != nil {
				t.Fatalf("startup: %q, %v\n%s", types, err, former.Log())
			}
		}
		return p
	}
	early, err := proc.With(os.Args[0], []string{"serve", "--config", path}, "",
		[]string{"REACHWIND_PLAY=1", "TMPDIR=" + dir, "NODE_SOCKET_FD=3", "NODE_ADMIN_ADDR=127.0.0.1:0"}, []*os.File{socket})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(early.Kill)
	waitFor(t, early, "its admin API is open", func() bool { return strings.Contains(early.Log(), "door open") })
	early.Signal(syscall.SIGTERM)
	waitStopped(t, early)

	next := startOnSocket(t, dir, path, socket)
	next.Signal(syscall.SIGSTOP)
	waitFor(t, former, "the next process is stopped", func() bool {
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", next.Pid()))
		return len(tasks) > 0 && !slices.ContainsFunc(tasks, func(task string) bool {
			text, err := os.ReadFile(task)
			_, rest, _ := strings.Cut(string(text), ") ")
			return err == nil && !strings.HasPrefix(rest, "T")
		})
	})
	var all []rawClient
	for range 12 { // the next process is stopped, so the former one accepts these
		all = append(all, idle())
	}
	former.Signal(syscall.SIGTERM)
	waitFor(t, former, "stopping", func() bool { return strings.Contains(former.Log(), "msg=stopping") })
	waitFor(t, former, "a connection to the next process", func() bool {
		text, _ := os.ReadFile("/proc/net/unix")
		n := 0
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, dir) {
				n++ // the listening socket, and the end of a connection that waits to be accepted
			}
		}
		return n > 1
	})
	for _, p := range all {
		p.send(t, pgwire.Append(nil, 'Q', "\x00"))
	}
	next.Kill()
	for i, p := range all {
		if types, err := p.receive(); types != "IZ" || err != nil {
			t.Errorf("client %d: %q, %v", i, types, err)
		}
	}
	waitStopped(t, former)
	if t.Failed() {
		t.Log(former.Log())
	}
}
