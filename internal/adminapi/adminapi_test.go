package adminapi

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachwind/internal/suspend"
)

// fakeBackend is a backend that knows one db machine, "m 1", and counts the calls to it.
type fakeBackend struct {
	calls atomic.Int64
	stall chan struct{} // nil: no stall
}

func (o *fakeBackend) Ready() error { return nil }

func (o *fakeBackend) Suspend(ctx context.Context, id string) error {
	o.calls.Add(1)
	if o.stall != nil {
		select {
		case <-ctx.Done():
			return NotDoneError{id, callTimeout}
		case <-o.stall:
		}
	}
	if id != "m 1" {
		return suspend.UnknownMemberError{ID: id}
	}
	return nil
}

func (o *fakeBackend) Resume(ctx context.Context, id string) error { return o.Suspend(ctx, id) }

// startServer starts a server with the given limit of connections and returns its address.
func startServer(t *testing.T, maxConnections int, op Backend) (*Server, string) {
	t.Helper()
	srv := New(Config{Addr: "127.0.0.1:0", MaxConnections: maxConnections}, op, slog.New(slog.DiscardHandler))
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return srv, srv.Addr().String()
}

// callOnce sends a complete call in the given pieces and returns the answer.
func callOnce(addr string, pieces ...string) (int, string, error) {
	nc, err := net.DialTimeout("tcp", addr, 20*time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(30 * time.Second))
	for _, p := range pieces {
		if _, err := io.WriteString(nc, p); err != nil {
			return 0, "", err
		}
	}
	a, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(a.Body)
	if err == nil && !a.Close {
		err = errors.New("the connection is to be used again")
	}
	return a.StatusCode, string(text), err
}

// suspendCall is a call that the backend answers with yes.
const suspendCall = "POST /v1/db-machines/m%201/suspend HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

// TestIdleHolders: many callers keep connections open, send nothing or a byte at a time, and reconnect when they are closed.
// Complete calls are answered nevertheless, and the number of connections stays within its limit.
func TestIdleHolders(t *testing.T) {
	srv, addr := startServer(t, 16, new(fakeBackend))
	hold, end := context.WithCancel(t.Context())
	var holders sync.WaitGroup
	defer holders.Wait()
	defer end()
	var connected atomic.Int64
	for i := range 200 {
		holders.Add(1)
		go func() {
			defer holders.Done()
			for hold.Err() == nil {
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				connected.Add(1)
				stop := context.AfterFunc(hold, func() { _ = nc.Close() })
				for k := 0; i%2 == 0 && k < len(suspendCall)-1; k++ {
					if _, err := io.WriteString(nc, suspendCall[k:k+1]); err != nil {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				_, _ = io.Copy(io.Discard, nc) // until it is closed
				stop()
				_ = nc.Close()
				time.Sleep(time.Second)
			}
		}()
	}
	for connected.Load() < 200 {
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		code, text, err := callOnce(addr, suspendCall)
		for n := 0; err != nil && n < 5; n++ { // on a loaded machine more callers than the limit may connect before its first byte arrives
			code, text, err = callOnce(addr, suspendCall)
		}
		if code != 200 || err != nil {
			t.Fatal("a whole call among holders:", code, text, err)
		}
		srv.mu.Lock()
		if n := len(srv.conns); n > 24 {
			t.Errorf("%d connections", n)
		}
		srv.mu.Unlock()
	}
}

// TestSlowAndStalledCallers: a slow caller is answered once its call is complete; a caller whose call stalls in the backend
// gets an error; while all connections wait for answers, a new caller is told so.
func TestSlowAndStalledCallers(t *testing.T) {
	op := &fakeBackend{stall: make(chan struct{})}
	srv, addr := startServer(t, 2, op)
	for range 2 {
		if code, text, err := callOnce(addr, suspendCall); code != 503 || !strings.Contains(text, "nothing was changed, call again") || err != nil {
			t.Fatal(code, text, err)
		}
	}
	for left := 1; left > 0; time.Sleep(time.Millisecond) {
		srv.mu.Lock()
		left = len(srv.conns)
		srv.mu.Unlock()
	}
	answers := make(chan int, 2)
	for range 2 {
		go func() {
			code, _, _ := callOnce(addr, suspendCall)
			answers <- code
		}()
	}
	for n := 0; n < 2; {
		n = 0
		srv.mu.Lock()
		for _, c := range srv.conns {
			if c.stage == executing {
				n++
			}
		}
		srv.mu.Unlock()
		if len(answers) > 0 {
			break // on a loaded machine the two calls may not overlap
		}
		time.Sleep(time.Millisecond)
	}
	if code, text, err := callOnce(addr, "GET /v1/readyz HTTP/1.1\r\n\r\n"); err == nil && code != 200 && (code != 503 || !strings.Contains(text, "are being answered")) {
		t.Error(code, text)
	}
	close(op.stall)
	for range 2 {
		if code := <-answers; code != 200 && code != 503 {
			t.Error(code)
		}
	}
	pieces := make(chan string)
	done := make(chan string)
	go func() {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			done <- err.Error()
			return
		}
		defer func() { _ = nc.Close() }()
		for p := range pieces {
			_, _ = io.WriteString(nc, p)
		}
		text, err := io.ReadAll(nc)
		done <- fmt.Sprint(string(text), err)
	}()
	for i := range suspendCall {
		pieces <- suspendCall[i : i+1]
		time.Sleep(time.Millisecond)
	}
	close(pieces)
	if text := <-done; !strings.HasPrefix(text, "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(text, "\r\nyes\n<nil>") {
		t.Errorf("a slow caller got %q", text)
	}
}

// scriptedConn is a connection from which a text can be read, then EOF, and that records what is written.
type scriptedConn struct {
	net.Conn
	in  *strings.Reader
	out bytes.Buffer
}

func (s *scriptedConn) Read(b []byte) (int, error)       { return s.in.Read(b) }
func (s *scriptedConn) Write(b []byte) (int, error)      { return s.out.Write(b) }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzCall: any input gets exactly one complete answer, or none if it is incomplete; only a well-formed POST reaches the
// backend, and each error has a text.
func FuzzCall(f *testing.F) {
	for _, s := range []string{suspendCall, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", "GET /v1/readyz HTTP/1.0\r\n\r\n", "HEAD /v1/readyz HTTP/1.1\r\n\r\n",
		"POST /v1/db-machines/m%201/resume HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"POST http://a/v1/db-machines/%zz/resume HTTP/1.1\r\n\r\n", "POST /v1/db-machines//suspend HTTP/1.1\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n", "\x16\x03\x01\x00", "\n\n\n",
		"POST /v1/db-machines/m/suspend/ HTTP/1.1\r\n\r\n", "GET /" + strings.Repeat("a", maxCallSize) + " HTTP/1.1\r\n\r\n", "CONNECT a:1 HTTP/1.1\r\n\r\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		op := new(fakeBackend)
		srv := New(Config{}, op, slog.New(slog.DiscardHandler))
		conn := &scriptedConn{in: strings.NewReader(text)}
		srv.admit(conn)
		srv.active.Wait()
		if len(srv.conns) != 0 {
			t.Fatal("a connection was not closed")
		}
		out := bufio.NewReader(bytes.NewReader(bytes.TrimPrefix(conn.out.Bytes(), []byte("HTTP/1.1 100 Continue\r\n\r\n"))))
		if _, err := out.Peek(1); err != nil {
			if op.calls.Load() > 0 {
				t.Fatal("the call was carried out without an answer")
			}
			return
		}
		q := &http.Request{Method: "POST"}
		if bytes.HasSuffix(conn.out.Bytes(), []byte("\r\n\r\n")) { // the answer to a HEAD
			q.Method = "HEAD"
		}
		a, err := http.ReadResponse(out, q)
		if err != nil {
			t.Fatalf("%v in %q", err, conn.out.String())
		}
		body, err := io.ReadAll(a.Body)
		if err != nil || out.Buffered() > 0 || q.Method == "HEAD" != strings.Contains(text, "HEAD ") && len(body) < 4 || !a.Close {
			t.Fatalf("answer %q, %v", conn.out.String(), err)
		}
		if post := strings.Contains(text, "POST "); op.calls.Load() > 0 && !post || a.StatusCode == 200 && !post && !strings.Contains(text, "GET ") {
			t.Fatalf("%q was answered %q", text, conn.out.String())
		}
	})
}
