package adminapi

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// dialCaller returns the caller's end of a new connection, over which the test has full control.
func dialCaller(t *testing.T, addr string) *net.TCPConn {
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

// readAnswer reads an answer up to the end of the connection. That must not be a reset, by which a caller could lose an answer
// that it has not read yet.
func readAnswer(t *testing.T, nc net.Conn, want ...string) {
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

// awaitStage waits until exactly many connections are in a stage.
func awaitStage(t *testing.T, srv *Server, want stage, count int) {
	t.Helper()
	for late := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		n := 0
		srv.mu.Lock()
		for _, c := range srv.conns {
			if c.stage == want {
				n++
			}
		}
		srv.mu.Unlock()
		if n == count {
			return
		}
		if time.Now().After(late) {
			t.Fatalf("%d connections are at stage %d, want %d", n, want, count)
		}
	}
}

// TestOversizedCall: a caller that exceeds the size limit, and continues to send after the answer, still receives the error.
func TestOversizedCall(t *testing.T) {
	srv, addr := startServer(t, 4, new(fakeBackend))
	nc := dialCaller(t, addr)
	send(t, nc, "POST /v1/db-machines/m/suspend HTTP/1.1\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("a", maxCallSize))
	awaitStage(t, srv, lingering, 1)
	for range 30 {
		send(t, nc, strings.Repeat("b", 8<<10))
	}
	readAnswer(t, nc, "HTTP/1.1 400 ", "longer than")
}

// TestSecondCallDuringAnswer: a second call that arrives while the first one is answered is not carried out, and the first
// answer is not lost.
func TestSecondCallDuringAnswer(t *testing.T) {
	op := new(fakeBackend)
	srv, addr := startServer(t, 4, op)
	nc := dialCaller(t, addr)
	send(t, nc, suspendCall)
	awaitStage(t, srv, lingering, 1)
	send(t, nc, suspendCall)
	readAnswer(t, nc, "HTTP/1.1 200 ")
	if n := op.calls.Load(); n != 1 {
		t.Errorf("%d calls were done", n)
	}
}

// TestHalfClose: a caller that closes its sending side after a call gets the answer; one that does so within a call gets
// none, and its connection is closed.
func TestHalfClose(t *testing.T) {
	srv, addr := startServer(t, 4, new(fakeBackend))
	for _, text := range []string{suspendCall, suspendCall[:len(suspendCall)-3], ""} {
		nc := dialCaller(t, addr)
		send(t, nc, text)
		if err := nc.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if text == suspendCall {
			readAnswer(t, nc, "HTTP/1.1 200 ")
		} else {
			readAnswer(t, nc)
		}
	}
	awaitNoConnections(t, srv)
}

// awaitNoConnections waits until the server has no connection.
func awaitNoConnections(t *testing.T, srv *Server) {
	t.Helper()
	for late := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		srv.mu.Lock()
		n := len(srv.conns) + len(srv.refusing)
		srv.mu.Unlock()
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
	op := &fakeBackend{stall: make(chan struct{})}
	srv := New(Config{Addr: "127.0.0.1:0", MaxConnections: 2}, op, slog.New(slog.DiscardHandler))
	for range 3 { // added without being served: they use up the limit
		srv.conns = append(srv.conns, &conn{Conn: new(scriptedConn), stage: executing})
	}
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		nc := dialCaller(t, srv.Addr().String())
		send(t, nc, suspendCall)
		readAnswer(t, nc, "HTTP/1.1 503 ", "are being answered")
		_ = nc.Close()
		for left := 1; left > 0; time.Sleep(time.Millisecond) {
			srv.mu.Lock()
			left = len(srv.refusing)
			srv.mu.Unlock()
		}
	}
	var all []net.Conn
	for range 8 { // they do not close
		all = append(all, dialCaller(t, srv.Addr().String()))
	}
	answered, silent := 0, 0
	for _, nc := range all {
		switch text, _ := io.ReadAll(nc); {
		case len(text) == 0:
			silent++
		case strings.HasPrefix(string(text), "HTTP/1.1 503 "):
			answered++
		}
		srv.mu.Lock()
		if n := len(srv.refusing); n > srv.conf.maxRefusals() {
			t.Errorf("%d callers are being refused", n)
		}
		srv.mu.Unlock()
	}
	if answered == 0 || answered+silent != len(all) {
		t.Errorf("%d refused, %d closed", answered, silent)
	}
	srv.mu.Lock()
	srv.conns = nil
	srv.mu.Unlock()
	srv.Close()
	awaitNoConnections(t, srv)
}

// TestCallOnEvictedConnection: a call that arrives while its connection is asked to make room for another gets an answer,
// the result or a refusal.
func TestCallOnEvictedConnection(t *testing.T) {
	srv, addr := startServer(t, 2, new(fakeBackend))
	first, second := dialCaller(t, addr), dialCaller(t, addr)
	send(t, first, suspendCall[:20])
	awaitStage(t, srv, incomplete, 2)
	third := dialCaller(t, addr) // the first or the second, which has no unread bytes, makes room for it
	send(t, first, suspendCall[20:])
	send(t, second, suspendCall)
	send(t, third, suspendCall)
	readAnswer(t, first, "HTTP/1.1 ")
	readAnswer(t, second, "HTTP/1.1 ")
	readAnswer(t, third, "HTTP/1.1 200 ")
	awaitNoConnections(t, srv)
}

// TestClose: Close lets calls in progress and complete calls that were not read yet be answered; a caller that only holds a
// connection does not delay it.
func TestClose(t *testing.T) {
	op := &fakeBackend{stall: make(chan struct{})}
	srv, addr := startServer(t, 8, op)
	executingCaller, holder := dialCaller(t, addr), dialCaller(t, addr)
	send(t, executingCaller, suspendCall)
	awaitStage(t, srv, executing, 1)
	awaitStage(t, srv, incomplete, 1)
	late := dialCaller(t, addr)
	send(t, late, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
	closed := make(chan struct{})
	go func() {
		srv.Close()
		close(closed)
	}()
	for shut := false; !shut; time.Sleep(time.Millisecond) {
		srv.mu.Lock()
		shut = srv.closed
		srv.mu.Unlock()
	}
	close(op.stall)
	readAnswer(t, executingCaller, "HTTP/1.1 200 ", "\r\nyes\n")
	readAnswer(t, late, "HTTP/1.1 200 ", "\r\nyes\n")
	<-closed
	readAnswer(t, holder)
	awaitNoConnections(t, srv)
}

// TestLargeInputThenDisconnect: callers that send much at once and leave, by a close or a reset, leave no connection behind,
// and others are answered.
func TestLargeInputThenDisconnect(t *testing.T) {
	srv, addr := startServer(t, 4, new(fakeBackend))
	text := []byte("POST /v1/db-machines/m/suspend HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("a", 200<<10))
	for i := range 30 {
		nc := dialCaller(t, addr)
		_, _ = nc.Write(text)
		if i%2 == 0 {
			_ = nc.SetLinger(0)
		}
		_ = nc.Close()
	}
	nc := dialCaller(t, addr)
	send(t, nc, suspendCall)
	readAnswer(t, nc, "HTTP/1.1 200 ")
	_ = nc.Close()
	awaitNoConnections(t, srv)
}
