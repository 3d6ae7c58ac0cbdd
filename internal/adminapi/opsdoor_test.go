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

// operator knows one db machine, "m 1", and counts what it was asked.
type operator struct {
	calls atomic.Int64
	stall chan struct{} // nil: no stall
}

func (o *operator) Ready() error { return nil }

func (o *operator) Suspend(ctx context.Context, id string) error {
	o.calls.Add(1)
	if o.stall != nil {
		select {
		case <-ctx.Done():
			return NotDoneError{id, answerWait}
		case <-o.stall:
		}
	}
	if id != "m 1" {
		return suspend.UnknownMemberError{ID: id}
	}
	return nil
}

func (o *operator) Resume(ctx context.Context, id string) error { return o.Suspend(ctx, id) }

func open(t *testing.T, most int, op Backend) (*Server, string) {
	t.Helper()
	d := New(Config{Addr: "127.0.0.1:0", MaxConnections: most}, op, slog.New(slog.DiscardHandler))
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, d.Addr().String()
}

// ask sends a whole call in the pieces given and returns the answer.
func ask(addr string, pieces ...string) (int, string, error) {
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

const yes = "POST /v1/db-machines/m%201/suspend HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

// TestHolders: many callers hold connections, send nothing or a byte at a time, and come again when they are closed.
// Each whole call is answered all the same, and the door's connections stay within their bound.
func TestHolders(t *testing.T) {
	d, addr := open(t, 16, new(operator))
	hold, end := context.WithCancel(t.Context())
	var holders sync.WaitGroup
	defer holders.Wait()
	defer end()
	var up atomic.Int64
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
				up.Add(1)
				stop := context.AfterFunc(hold, func() { _ = nc.Close() })
				for k := 0; i%2 == 0 && k < len(yes)-1; k++ {
					if _, err := io.WriteString(nc, yes[k:k+1]); err != nil {
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
	for up.Load() < 200 {
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		code, text, err := ask(addr, yes)
		for n := 0; err != nil && n < 5; n++ { // on a loaded machine more may come than there is room for, before its first byte does
			code, text, err = ask(addr, yes)
		}
		if code != 200 || err != nil {
			t.Fatal("a whole call among holders:", code, text, err)
		}
		d.mu.Lock()
		if n := len(d.conns); n > 24 {
			t.Errorf("%d connections", n)
		}
		d.mu.Unlock()
	}
}

// TestCallers: a slow caller is answered once its call is whole; a caller whose operator is stalled gets its no; where all
// connections wait for answers a newcomer is told so.
func TestCallers(t *testing.T) {
	op := &operator{stall: make(chan struct{})}
	d, addr := open(t, 2, op)
	for range 2 {
		if code, text, err := ask(addr, yes); code != 503 || !strings.Contains(text, "nothing was changed, call again") || err != nil {
			t.Fatal(code, text, err)
		}
	}
	for left := 1; left > 0; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		left = len(d.conns)
		d.mu.Unlock()
	}
	answers := make(chan int, 2)
	for range 2 {
		go func() {
			code, _, _ := ask(addr, yes)
			answers <- code
		}()
	}
	for n := 0; n < 2; {
		n = 0
		d.mu.Lock()
		for _, c := range d.conns {
			if c.stage == working {
				n++
			}
		}
		d.mu.Unlock()
		if len(answers) > 0 {
			break // they were not at it at one time, on a loaded machine
		}
		time.Sleep(time.Millisecond)
	}
	if code, text, err := ask(addr, "GET /v1/readyz HTTP/1.1\r\n\r\n"); err == nil && code != 200 && (code != 503 || !strings.Contains(text, "are being answered")) {
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
	for i := range yes {
		pieces <- yes[i : i+1]
		time.Sleep(time.Millisecond)
	}
	close(pieces)
	if text := <-done; !strings.HasPrefix(text, "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(text, "\r\nyes\n<nil>") {
		t.Errorf("a slow caller got %q", text)
	}
}

// script is a connection that brings a text, then its end, and keeps what is written.
type script struct {
	net.Conn
	in  *strings.Reader
	out bytes.Buffer
}

func (s *script) Read(b []byte) (int, error)       { return s.in.Read(b) }
func (s *script) Write(b []byte) (int, error)      { return s.out.Write(b) }
func (s *script) Close() error                     { return nil }
func (s *script) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *script) SetReadDeadline(time.Time) error  { return nil }
func (s *script) SetWriteDeadline(time.Time) error { return nil }

// FuzzCall: whatever comes gets one whole answer or, unless it was whole, none; only a POST of the right form gets to
// the operator, and each no has words.
func FuzzCall(f *testing.F) {
	for _, s := range []string{yes, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", "GET /v1/readyz HTTP/1.0\r\n\r\n", "HEAD /v1/readyz HTTP/1.1\r\n\r\n",
		"POST /v1/db-machines/m%201/resume HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"POST http://a/v1/db-machines/%zz/resume HTTP/1.1\r\n\r\n", "POST /v1/db-machines//suspend HTTP/1.1\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n", "\x16\x03\x01\x00", "\n\n\n",
		"POST /v1/db-machines/m/suspend/ HTTP/1.1\r\n\r\n", "GET /" + strings.Repeat("a", callMost) + " HTTP/1.1\r\n\r\n", "CONNECT a:1 HTTP/1.1\r\n\r\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		op := new(operator)
		d := New(Config{}, op, slog.New(slog.DiscardHandler))
		s := &script{in: strings.NewReader(text)}
		d.admit(s)
		d.done.Wait()
		if len(d.conns) != 0 {
			t.Fatal("kept")
		}
		out := bufio.NewReader(bytes.NewReader(bytes.TrimPrefix(s.out.Bytes(), []byte("HTTP/1.1 100 Continue\r\n\r\n"))))
		if _, err := out.Peek(1); err != nil {
			if op.calls.Load() > 0 {
				t.Fatal("done without an answer")
			}
			return
		}
		q := &http.Request{Method: "POST"}
		if bytes.HasSuffix(s.out.Bytes(), []byte("\r\n\r\n")) { // an answer to HEAD
			q.Method = "HEAD"
		}
		a, err := http.ReadResponse(out, q)
		if err != nil {
			t.Fatalf("%v in %q", err, s.out.String())
		}
		body, err := io.ReadAll(a.Body)
		if err != nil || out.Buffered() > 0 || q.Method == "HEAD" != strings.Contains(text, "HEAD ") && len(body) < 4 || !a.Close {
			t.Fatalf("answer %q, %v", s.out.String(), err)
		}
		if post := strings.Contains(text, "POST "); op.calls.Load() > 0 && !post || a.StatusCode == 200 && !post && !strings.Contains(text, "GET ") {
			t.Fatalf("%q was answered %q", text, s.out.String())
		}
	})
}
