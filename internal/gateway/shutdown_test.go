package gateway

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/internal/lab/proc"
	"reachwind/internal/pgwire"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pipenet"
)

// settingsWith is the configuration of a gateway before c whose classes have this effect and this deadline.
func settingsWith(t *testing.T, c *cluster.Cluster, effect string, deadline time.Duration) []byte {
	t.Helper()
	var conf map[string]any
	if err := json.Unmarshal(c.GatewayConfig("gw-1", "127.0.0.1:0", 192, 1024), &conf); err != nil {
		t.Fatal(err)
	}
	for _, k := range conf["settings"].(map[string]any)["Grades"].([]any) {
		k := k.(map[string]any)
		k["Effect"], k["DeadlineUs"], k["AimUs"] = effect, deadline.Microseconds(), (deadline * 3 / 4).Microseconds()
	}
	text, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// asks is a write as a client sends it.
func asks(id string, wait time.Duration) []byte {
	return pgwire.Append(nil, 'Q', fmt.Sprintf("/* id=%s,c=map-edits,t=kea-basin,d=%d,k=%s,cluster=0 */ INSERT INTO items (id, doc) VALUES ('hut', 'v') RETURNING doc\x00",
		id, wait.Milliseconds(), id))
}

// heard reads what a gateway says until it ends the connection, and returns the types of its whole messages.
func heard(nc net.Conn) (types string, err error) {
	text, err := io.ReadAll(nc)
	for len(text) > 0 {
		if len(text) < 5 || len(text) < 1+int(binary.BigEndian.Uint32(text[1:])) {
			return types, fmt.Errorf("cut short: %q", text)
		}
		types += string(text[0])
		text = text[1+int(binary.BigEndian.Uint32(text[1:])):]
	}
	return types, err
}

// TestShutdownWithHangingMembers: members hang as SIGTERM comes. What was taken before it and what is sent 0.6 s later on
// a connection that is still busy gets a whole answer before the process ends, which is before SIGKILL may come, whatever
// the classes' effect and deadline.
func TestShutdownWithHangingMembers(t *testing.T) {
	for _, effect := range []string{"repeatable", "by_key", "once"} {
		for _, deadline := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(effect, " ", deadline), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { shutdownWithHangingMembers(t, effect, deadline) })
			})
		}
	}
}

func shutdownWithHangingMembers(t *testing.T, effect string, deadline time.Duration) {
	pipes := new(pipenet.Net)
	c, err := cluster.Start(cluster.Config{Groups: 1, Replicas: 1, Net: pipes})
	if err != nil {
		t.Fatal(err)
	}
	conf, err := Parse(settingsWith(t, c, effect, deadline), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	g, err := build(conf, Options{Version: "test", Log: slog.New(slog.DiscardHandler), Dial: pipes.Dial})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := pipes.Listen("gateway:0")
	if err != nil {
		t.Fatal(err)
	}
	term, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.run(term, nil, listener) }()
	time.Sleep(5 * time.Second)
	for _, m := range c.Members() {
		m.Hang(true)
	}
	type client struct {
		nc   net.Conn
		got  chan string
		sent int
	}
	var clients []*client
	ask := func(cl *client) { // on a Pipe a write waits for its reader
		cl.sent++
		text := asks(fmt.Sprintf("%p-%d", cl, cl.sent), deadline)
		go func() { _, _ = cl.nc.Write(text) }()
	}
	for range 4 {
		nc, err := pipes.Dial(t.Context(), listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		cl := &client{nc: nc, got: make(chan string, 1)}
		if _, err := nc.Write(pgwire.AppendStartup(nil, "app", "shop")); err != nil {
			t.Fatal(err)
		}
		go func() {
			types, err := heard(nc)
			cl.got <- fmt.Sprint(types, err)
		}()
		clients = append(clients, cl)
	}
	time.Sleep(time.Second)
	for _, cl := range clients {
		ask(cl)
	}
	time.Sleep(50 * time.Millisecond)
	end()
	came := time.Now()
	time.Sleep(400 * time.Millisecond)
	for _, cl := range clients[:2] {
		ask(cl)
	}
	time.Sleep(200 * time.Millisecond)
	synctest.Wait()
	if deadline > 600*time.Millisecond { // else it was answered, and its connection ended
		for _, cl := range clients {
			ask(cl)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took, kill := time.Since(came), min(deadline, 3*time.Second)+700*time.Millisecond; took >= kill {
		t.Errorf("ended after %v, killed after %v", took, kill)
	}
	for i, cl := range clients {
		_ = cl.nc.Close() // as the end of the process does
		got := <-cl.got
		if n := bytes.Count([]byte(got), []byte("Z")); n != 1+cl.sent {
			t.Errorf("client %d asked %d times and heard %q", i, cl.sent, got)
		}
	}
	c.Close()
}

// TestPlan: everything in a shutdown counts from SIGTERM, has its order, and is over before SIGKILL may come.
func TestPlan(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second, time.Minute} {
		came := time.Now().Add(-time.Hour)
		p := planOf(came, longest)
		if p.came != came || !p.accept.After(came.Add(400*time.Millisecond)) || !p.word.After(p.answer) || !p.last.After(p.word) ||
			!p.answer.After(came.Add(min(longest, longestMost))) || !p.last.Before(came.Add(min(longest, longestMost)+700*time.Millisecond)) {
			t.Errorf("longest %v: %+v", longest, p)
		}
	}
	ctx, end := context.WithCancel(t.Context())
	at := noticed(ctx)
	before := time.Now()
	end()
	for first := at(); first.Before(before) || at() != first; {
		t.Fatalf("told to end at %v, noted %v", before, first)
	}
}

// unheard is a listener whose Accept finds nobody: the goroutine that accepts has not come to it.
type unheard struct {
	*net.TCPListener
	once   sync.Once
	closed chan struct{}
}

func (u *unheard) Accept() (net.Conn, error) {
	<-u.closed
	return nil, net.ErrClosed
}

func (u *unheard) Close() error {
	u.once.Do(func() { close(u.closed) })
	return u.TCPListener.Close()
}

// TestBacklog: who waits to be accepted when the listener closes is answered, also where SIGTERM came before the gateway
// served, or behind the door of one that knows its peers.
func TestBacklog(t *testing.T) {
	c := before(t, cluster.Config{Groups: 1, Replicas: 1})
	for _, peers := range []bool{false, true} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := net.Listener(&unheard{TCPListener: tcp.(*net.TCPListener), closed: make(chan struct{})})
		if peers {
			listener = newDoor(listener)
		}
		var clients []net.Conn
		for i := range 20 {
			nc, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if _, err := nc.Write(append(pgwire.AppendStartup(nil, "app", "shop"), asks(fmt.Sprint("waits-", peers, i), 3*time.Second)...)); err != nil {
				t.Fatal(err)
			}
			clients = append(clients, nc)
		}
		term, end := context.WithCancel(t.Context())
		end()
		done := make(chan error, 1)
		go func() {
			done <- Run(term, nil, gatewayFor(t, c), listener, Options{Version: "test", Log: slog.New(slog.DiscardHandler)})
		}()
		for i, nc := range clients {
			if types, err := heard(nc); err != nil || strings.Count(types, "Z") != 2 {
				t.Errorf("client %d heard %q, %v", i, types, err)
			}
			_ = nc.Close()
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

const childVariable = "REACHWIND_TEST_CONFIG"

// TestChild is no test: it is the gateway's process of tests with real signals.
func TestChild(t *testing.T) {
	path := os.Getenv(childVariable)
	if path == "" {
		t.Skip("not a child")
	}
	conf, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := Serve(conf, Options{Path: path, Version: "test", Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}); err != nil {
		t.Fatal(err)
	}
}

// TestSignals: a gateway's process whose members hang is told to end, told again, and told to reload, which is not to
// undo anything. Each request that it took, before SIGTERM and after, has a whole answer; a client that rests until the
// gateway ends it sees the end, no reset; and the process ends by itself, in order.
func TestSignals(t *testing.T) {
	c := before(t, cluster.Config{Groups: 1, Replicas: 1})
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, settingsWith(t, c, "once", 3*time.Second), 0o600); err != nil {
		t.Fatal(err)
	}
	g, err := proc.With(os.Args[0], []string{"-test.run=^TestChild$"}, "msg=serving", []string{childVariable + "=" + path}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Kill()
	welcome := func() net.Conn {
		nc, err := net.Dial("tcp", g.Addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := nc.Write(pgwire.AppendStartup(nil, "app", "shop")); err != nil {
			t.Fatal(err)
		}
		for text, b := []byte{}, []byte{0}; !bytes.HasSuffix(text, pgwire.AppendReadyForQuery(nil)); text = append(text, b...) {
			if _, err := nc.Read(b); err != nil {
				t.Fatal(err)
			}
		}
		return nc
	}
	for _, m := range c.Members() {
		m.Hang(true)
	}
	var busy, idle []net.Conn
	send := func(nc net.Conn, id string) {
		if _, err := nc.Write(asks(id, 3*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		busy, idle = append(busy, welcome()), append(idle, welcome())
		defer func() { _, _ = busy[i].Close(), idle[i].Close() }()
		send(busy[i], fmt.Sprint("before-", i))
	}
	if err := os.WriteFile(path, settingsWith(t, c, "once", 30*time.Second), 0o600); err != nil {
		t.Fatal(err)
	}
	logged := func(what string) func() bool { return func() bool { return strings.Contains(g.Log(), what) } }
	g.Signal(syscall.SIGTERM)
	until(t, "stopping", logged("msg=stopping"))
	g.Signal(syscall.SIGHUP)
	until(t, "reloaded", logged("msg=reloaded"))
	g.Signal(syscall.SIGTERM)
	for i, nc := range busy {
		send(nc, fmt.Sprint("after-", i))
	}
	for i := range busy {
		if types, err := heard(idle[i]); err != nil || types != "" {
			t.Errorf("a client at rest heard %q, %v", types, err)
		}
		if types, err := heard(busy[i]); err != nil || types != "EZEZ" {
			t.Errorf("client %d heard %q, %v; want two answers", i, types, err)
		}
		_, _ = busy[i].Close(), idle[i].Close()
	}
	select {
	case <-g.Ended():
	case <-time.After(20 * time.Second):
		t.Fatal("the process goes on: ", g.Log())
	}
	if !strings.Contains(g.Log(), "msg=stopped\n") {
		t.Error("not in order: ", g.Log())
	}
}
