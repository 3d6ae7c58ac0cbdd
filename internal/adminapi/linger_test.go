package adminapi

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// caller is one end of a connection that the test holds at each line.
func caller(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(30 * time.Second))
	return nc.(*net.TCPConn)
}

func send(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatalf("%d bytes more: %v", len(text), err)
	}
}

// whole reads an answer through the connection's end, which must be none by a reset: that would take an answer with it
// which the caller has not read yet.
func whole(t *testing.T, nc net.Conn, want ...string) {
	t.Helper()
	text, err := io.ReadAll(nc)
	if err != nil {
		t.Errorf("%q, and then %v", text, err)
	}
	for _, w := range want {
		if !strings.Contains(string(text), w) {
			t.Errorf("%q, want %q in it", text, w)
		}
	}
}

// stages waits until so many connections are at a stage.
func stages(t *testing.T, d *Server, want stage, many int) {
	t.Helper()
	for late := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		n := 0
		d.mu.Lock()
		for _, c := range d.conns {
			if c.stage == want {
				n++
			}
		}
		d.mu.Unlock()
		if n == many {
			return
		}
		if time.Now().After(late) {
			t.Fatalf("%d connections are at stage %d, want %d", n, want, many)
		}
	}
}

// TestLongCall: who sends far more than a call may have, and goes on after it was answered, still gets its no.
func TestLongCall(t *testing.T) {
	d, addr := open(t, 4, new(operator))
	nc := caller(t, addr)
	send(t, nc, "POST /v1/db-machines/m/suspend HTTP/1.1\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("a", callMost))
	stages(t, d, answered, 1)
	for range 30 {
		send(t, nc, strings.Repeat("b", 8<<10))
	}
	whole(t, nc, "HTTP/1.1 400 ", "longer than")
}

// TestCrossingCalls: a second call that comes as the first one is answered is not done, and takes no answer away.
func TestCrossingCalls(t *testing.T) {
	op := new(operator)
	d, addr := open(t, 4, op)
	nc := caller(t, addr)
	send(t, nc, yes)
	stages(t, d, answered, 1)
	send(t, nc, yes)
	whole(t, nc, "HTTP/1.1 200 ")
	if n := op.calls.Load(); n != 1 {
		t.Errorf("%d calls were done", n)
	}
}

// TestHalfClose: who ends its sending behind a call gets the answer; who ends it within one gets none, and keeps nothing.
func TestHalfClose(t *testing.T) {
	d, addr := open(t, 4, new(operator))
	for _, text := range []string{yes, yes[:len(yes)-3], ""} {
		nc := caller(t, addr)
		send(t, nc, text)
		if err := nc.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if text == yes {
			whole(t, nc, "HTTP/1.1 200 ")
		} else {
			whole(t, nc)
		}
	}
	gone(t, d)
}

// gone waits until the door holds no connection.
func gone(t *testing.T, d *Server) {
	t.Helper()
	for late := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		n := len(d.conns) + len(d.turned)
		d.mu.Unlock()
		if n == 0 {
			return
		}
		if time.Now().After(late) {
			t.Fatalf("%d connections are kept", n)
		}
	}
}

// TestRefusals: where all connections wait for answers, a caller whose call nobody has read gets its no whole; of many
// such the door holds a bounded number; and those that wait are answered.
func TestRefusals(t *testing.T) {
	op := &operator{stall: make(chan struct{})}
	d := New(Config{Addr: "127.0.0.1:0", MaxConnections: 2}, op, slog.New(slog.DiscardHandler))
	for range 3 { // by hand, so that none is served: they hold all the room there is
		d.conns = append(d.conns, &conn{Conn: new(script), stage: working})
	}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		nc := caller(t, d.Addr().String())
		send(t, nc, yes)
		whole(t, nc, "HTTP/1.1 503 ", "are being answered")
		_ = nc.Close()
		for left := 1; left > 0; time.Sleep(time.Millisecond) {
			d.mu.Lock()
			left = len(d.turned)
			d.mu.Unlock()
		}
	}
	var all []net.Conn
	for range 8 { // they stay
		all = append(all, caller(t, d.Addr().String()))
	}
	answered, silent := 0, 0
	for _, nc := range all {
		switch text, _ := io.ReadAll(nc); {
		case len(text) == 0:
			silent++
		case strings.HasPrefix(string(text), "HTTP/1.1 503 "):
			answered++
		}
		d.mu.Lock()
		if n := len(d.turned); n > d.conf.refusals() {
			t.Errorf("%d callers are being refused", n)
		}
		d.mu.Unlock()
	}
	if answered == 0 || answered+silent != len(all) {
		t.Errorf("%d refused, %d closed", answered, silent)
	}
	d.mu.Lock()
	d.conns = nil
	d.mu.Unlock()
	d.Close()
	gone(t, d)
}

// TestLeavingCall: a call that comes as its connection makes room for another is answered, yes or come again.
func TestLeavingCall(t *testing.T) {
	d, addr := open(t, 2, new(operator))
	first, second := caller(t, addr), caller(t, addr)
	send(t, first, yes[:20])
	stages(t, d, incomplete, 2)
	third := caller(t, addr) // the first or the second, whose bytes are read, makes room for it
	send(t, first, yes[20:])
	send(t, second, yes)
	send(t, third, yes)
	whole(t, first, "HTTP/1.1 ")
	whole(t, second, "HTTP/1.1 ")
	whole(t, third, "HTTP/1.1 200 ")
	gone(t, d)
}

// TestClose: a door that is closed answers what it is at, and whole calls that it has not read; who only holds a
// connection does not hold it up.
func TestClose(t *testing.T) {
	op := &operator{stall: make(chan struct{})}
	d, addr := open(t, 8, op)
	working1, holder := caller(t, addr), caller(t, addr)
	send(t, working1, yes)
	stages(t, d, working, 1)
	stages(t, d, incomplete, 1)
	late := caller(t, addr)
	send(t, late, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
	closed := make(chan struct{})
	go func() {
		d.Close()
		close(closed)
	}()
	for shut := false; !shut; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		shut = d.closed
		d.mu.Unlock()
	}
	close(op.stall)
	whole(t, working1, "HTTP/1.1 200 ", "\r\nyes\n")
	whole(t, late, "HTTP/1.1 200 ", "\r\nyes\n")
	<-closed
	whole(t, holder)
	gone(t, d)
}

// TestMuchAndGone: callers that send much at once and go, by an end or a reset, keep nothing, and others are answered.
func TestMuchAndGone(t *testing.T) {
	d, addr := open(t, 4, new(operator))
	text := []byte("POST /v1/db-machines/m/suspend HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("a", 200<<10))
	for i := range 30 {
		nc := caller(t, addr)
		_, _ = nc.Write(text)
		if i%2 == 0 {
			_ = nc.SetLinger(0)
		}
		_ = nc.Close()
	}
	nc := caller(t, addr)
	send(t, nc, yes)
	whole(t, nc, "HTTP/1.1 200 ")
	_ = nc.Close()
	gone(t, d)
}
