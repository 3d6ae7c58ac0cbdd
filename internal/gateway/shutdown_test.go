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
	"testing"
	"testing/synctest"
	"time"

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
