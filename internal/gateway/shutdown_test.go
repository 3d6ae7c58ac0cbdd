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

// configWith returns the configuration of a gateway before c whose classes all have this effect and this deadline.
func configWith(t *testing.T, c *cluster.Cluster, effect string, deadline time.Duration) []byte {
	t.Helper()
	var conf map[string]any
	if err := json.Unmarshal(c.GatewayConfig("gw-1", "127.0.0.1:0", 192, 1024), &conf); err != nil {
		t.Fatal(err)
	}
	for _, class := range conf["settings"].(map[string]any)["Grades"].([]any) {
		k := class.(map[string]any)
		k["Effect"], k["DeadlineUs"], k["AimUs"] = effect, deadline.Microseconds(), (deadline * 3 / 4).Microseconds()
	}
	text, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// writeStatement returns the message of a write with id, which is its key too, and a deadline of wait.
func writeStatement(id string, wait time.Duration) []byte {
	return pgwire.Append(nil, 'Q', fmt.Sprintf("/* id=%s,c=map-edits,t=kea-basin,d=%d,k=%s,cluster=0 */ INSERT INTO items (id, doc) VALUES ('hut', 'v') RETURNING doc\x00",
		id, wait.Milliseconds(), id))
}

// readMessages reads from nc until the gateway closes it, and returns the types of the complete messages. A message
// that is cut short is an error.
func readMessages(nc net.Conn) (types string, err error) {
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

// TestShutdownWithHangingMembers: members hang when SIGTERM comes. Requests accepted before it, and requests sent up to
// 0.6 s later on a connection that is still busy, get a complete answer before the process ends, and it ends before
// SIGKILL may come. That holds for every effect and deadline of the classes.
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
	conf, err := Parse(configWith(t, c, effect, deadline), func(string) string { return "" })
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
	ask := func(cl *client) { // in a goroutine: a write to a pipe blocks until it is read
		cl.sent++
		text := writeStatement(fmt.Sprintf("%p-%d", cl, cl.sent), deadline)
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
			types, err := readMessages(nc)
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
	termAt := time.Now()
	time.Sleep(400 * time.Millisecond)
	for _, cl := range clients[:2] {
		ask(cl)
	}
	time.Sleep(200 * time.Millisecond)
	synctest.Wait()
	if deadline > 600*time.Millisecond { // with shorter ones the request is answered by now, and its connection closed
		for _, cl := range clients {
			ask(cl)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took, kill := time.Since(termAt), min(deadline, 3*time.Second)+700*time.Millisecond; took >= kill {
		t.Errorf("ended after %v, SIGKILL may come after %v", took, kill)
	}
	for i, cl := range clients {
		_ = cl.nc.Close() // as the process's exit would do
		got := <-cl.got
		if n := bytes.Count([]byte(got), []byte("Z")); n != 1+cl.sent {
			t.Errorf("client %d sent %d requests and received messages %q", i, cl.sent, got)
		}
	}
	c.Close()
}

// TestShutdownPlan: the times of a shutdown count from SIGTERM, are in order, and lie before SIGKILL may come.
func TestShutdownPlan(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second, time.Minute} {
		came := time.Now().Add(-time.Hour)
		p := planShutdown(came, longest)
		if p.termAt != came || !p.acceptUntil.After(came.Add(400*time.Millisecond)) || !p.partialCommandsUntil.After(p.answerBy) || !p.exitBy.After(p.partialCommandsUntil) ||
			!p.answerBy.After(came.Add(min(longest, maxCountedDeadline))) || !p.exitBy.Before(came.Add(min(longest, maxCountedDeadline)+700*time.Millisecond)) {
			t.Errorf("longest %v: %+v", longest, p)
		}
	}
	ctx, end := context.WithCancel(t.Context())
	at := endTime(ctx)
	before := time.Now()
	end()
	for first := at(); first.Before(before) || at() != first; {
		t.Fatalf("context ended at %v or later, recorded as %v", before, first)
	}
}

// idleListener is a listener whose Accept returns no connection, as if the accepting goroutine had not been scheduled yet.
type idleListener struct {
	*net.TCPListener
	once   sync.Once
	closed chan struct{}
}

func (u *idleListener) Accept() (net.Conn, error) {
	<-u.closed
	return nil, net.ErrClosed
}

func (u *idleListener) Close() error {
	u.once.Do(func() { close(u.closed) })
	return u.TCPListener.Close()
}

// TestBacklog: connections that wait in the backlog when the listener closes are answered, even if SIGTERM came before the
// gateway served, and also behind the listener that the fleet can disable.
func TestBacklog(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 1})
	for _, peers := range []bool{false, true} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := net.Listener(&idleListener{TCPListener: tcp.(*net.TCPListener), closed: make(chan struct{})})
		if peers {
			listener = newToggleListener(listener)
		}
		var clients []net.Conn
		for i := range 20 {
			nc, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if _, err := nc.Write(append(pgwire.AppendStartup(nil, "app", "shop"), writeStatement(fmt.Sprint("waits-", peers, i), 3*time.Second)...)); err != nil {
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
			if types, err := readMessages(nc); err != nil || strings.Count(types, "Z") != 2 {
				t.Errorf("client %d received messages %q, %v", i, types, err)
			}
			_ = nc.Close()
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

const childVariable = "REACHWIND_TEST_CONFIG"

// TestChild is not a test: it is the gateway process of tests with real signals.
func TestChild(t *testing.T) {
	path := os.Getenv(childVariable)
	if path == "" {
		t.Skip("not a child")
	}
	conf, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := Serve(conf, Options{ConfigPath: path, Version: "test", Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}); err != nil {
		t.Fatal(err)
	}
}

// TestSignalsDuringShutdown: a gateway process whose members hang gets SIGTERM, SIGHUP and SIGTERM again, and the later
// signals must not disturb the shutdown. Each request that it accepted before SIGTERM and after has a complete answer.
// An idle client sees its connection closed, not reset. The process ends by itself and in order.
func TestSignalsDuringShutdown(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 1})
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, configWith(t, c, "once", 3*time.Second), 0o600); err != nil {
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
		if _, err := nc.Write(writeStatement(id, 3*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		busy, idle = append(busy, welcome()), append(idle, welcome())
		defer func() { _, _ = busy[i].Close(), idle[i].Close() }()
		send(busy[i], fmt.Sprint("before-", i))
	}
	if err := os.WriteFile(path, configWith(t, c, "once", 30*time.Second), 0o600); err != nil {
		t.Fatal(err)
	}
	logged := func(what string) func() bool { return func() bool { return strings.Contains(g.Log(), what) } }
	g.Signal(syscall.SIGTERM)
	waitFor(t, "stopping", logged("msg=stopping"))
	g.Signal(syscall.SIGHUP)
	waitFor(t, "reloaded", logged("msg=reloaded"))
	g.Signal(syscall.SIGTERM)
	for i, nc := range busy {
		send(nc, fmt.Sprint("after-", i))
	}
	for i := range busy {
		if types, err := readMessages(idle[i]); err != nil || types != "" {
			t.Errorf("an idle client received messages %q, %v", types, err)
		}
		if types, err := readMessages(busy[i]); err != nil || types != "EZEZ" {
			t.Errorf("client %d received messages %q, %v; want two answers", i, types, err)
		}
		_, _ = busy[i].Close(), idle[i].Close()
	}
	select {
	case <-g.Ended():
	case <-time.After(20 * time.Second):
		t.Fatal("the process did not end within 20 s: ", g.Log())
	}
	if !strings.Contains(g.Log(), "msg=stopped\n") {
		t.Error("the process did not log that it stopped in order: ", g.Log())
	}
}
