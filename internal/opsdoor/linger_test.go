package opsdoor

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// caller returns the caller's end of a new connection, over which the test has full control.
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

// whole reads an answer up to the end of the connection. That must not be a reset, by which a caller could lose an answer
// that it has not read yet.
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

// stages waits until exactly many connections are in a stage.
func stages(t *testing.T, d *Door, want stage, many int) {
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

// TestLongCall: a caller that exceeds the size limit, and continues to send after the answer, still receives the error.
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

// TestCrossingCalls: a second call that arrives while the first one is answered is not carried out, and the first answer is
// not lost.
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

// TestHalfClose: a caller that closes its sending side after a call gets the answer; one that does so within a call gets
// none, and its connection is closed.
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

// gone waits until the server has no connection.
func gone(t *testing.T, d *Door) {
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

// TestRefusals: while all connections wait for answers, a caller gets a complete refusal although its call is never read,
// and the number of callers being refused is bounded.
func TestRefusals(t *testing.T) {
	op := &operator{stall: make(chan struct{})}
	d := New(Config{Addr: "127.0.0.1:0", Most: 2}, op, slog.New(slog.DiscardHandler))
	for range 3 { // added without being served: they use up the limit
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
	for range 8 { // they do not close
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

// TestLeavingCall: a call that arrives while its connection is asked to make room for another gets an answer, the result or
// a refusal.
func TestLeavingCall(t *testing.T) {
	d, addr := open(t, 2, new(operator))
	first, second := caller(t, addr), caller(t, addr)
	send(t, first, yes[:20])
	stages(t, d, incomplete, 2)
	third := caller(t, addr) // the first or the second, which has no unread bytes, makes room for it
	send(t, first, yes[20:])
	send(t, second, yes)
	send(t, third, yes)
	whole(t, first, "HTTP/1.1 ")
	whole(t, second, "HTTP/1.1 ")
	whole(t, third, "HTTP/1.1 200 ")
	gone(t, d)
}

// TestClose: Close lets calls in progress and complete calls that were not read yet be answered; a caller that only holds a
// connection does not delay it.
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

// TestMuchAndGone: callers that send much at once and leave, by a close or a reset, leave no connection behind, and others
// are answered.
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
