package restfront

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/record"
)

// noCore is a core that must not receive a request.
type noCore struct{ t *testing.T }

func (n noCore) Now() core.Time                                          { return core.Time(time.Now().UnixNano()) }
func (n noCore) Arrive(*core.Request)                                    { n.t.Error("a request reached the core") }
func (n noCore) Gone(*core.Request)                                      {}
func (n noCore) RecordFrontOutcome(string, record.Outcome, record.Cause) {}

// interceptedConn is the server's end of a connection. When the server is about to close it, the client first sends bytes,
// which have arrived by the time the close is carried out.
type interceptedConn struct {
	*net.TCPConn
	once        sync.Once
	beforeClose func(*interceptedConn)
	read        atomic.Int64 // bytes
}

func (c *interceptedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c *interceptedConn) CloseWrite() error {
	c.once.Do(func() { c.beforeClose(c) })
	return c.TCPConn.CloseWrite()
}

func (c *interceptedConn) Close() error {
	c.once.Do(func() { c.beforeClose(c) })
	return c.TCPConn.Close()
}

// interceptingListener is a listener that returns such connections.
type interceptingListener struct {
	net.Listener
	beforeClose func(*interceptedConn)
}

func (l interceptingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &interceptedConn{TCPConn: c.(*net.TCPConn), beforeClose: l.beforeClose}, nil
}

// startIntercepted runs a server on a listener of crossed connections.
func startIntercepted(t *testing.T, conf Config, beforeClose func(*interceptedConn)) *Server {
	t.Helper()
	book, err := activesettings.NewHolder(&decide.Config{Classes: []decide.Class{{Name: "r", Deadline: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	conf.Settings, conf.HeaderTimeout, conf.ReadTimeout, conf.WriteTimeout, conf.CursorLifetime = book, 100*time.Millisecond, time.Second, time.Second, time.Hour
	s, err := New(noCore{t}, conf, call.NewActiveIDs(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = &limitedListener{Listener: interceptingListener{l, beforeClose}, s: s}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = s.http.Serve(s.listener)
	}()
	return s
}

const requestHead = "GET /v1/clusters/0/items/x HTTP/1.1\r\nHost: h\r\n" // without a class: the front itself answers it

// TestRequestDuringClose: for whatever reason a connection is closed, a request that arrives at that moment neither causes a
// reset, by which the client could lose an answer, nor is it served.
func TestRequestDuringClose(t *testing.T) {
	for name, tc := range map[string]struct {
		most    int
		text    string
		want    string // statuses
		ends    bool   // the connection ends by Shutdown
		idleFor time.Duration
	}{
		"idle":              {1, requestHead + "\r\n", "400", false, 50 * time.Millisecond},
		"shutdown":          {1, requestHead + "\r\n", "400", true, time.Hour},
		"close requested":   {1, requestHead + "Connection: close\r\n\r\n", "400", false, time.Hour},
		"partial header":    {1, requestHead, "", false, time.Hour},
		"malformed request": {1, "nonsense\r\n\r\n", "400", false, time.Hour},
		"beyond the limit":  {0, requestHead + "\r\n", "503", false, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			var clientConn net.Conn
			dialled := make(chan struct{})
			s := startIntercepted(t, Config{MaxConnections: tc.most, IdleTimeout: tc.idleFor}, func(server *interceptedConn) {
				<-dialled
				before := server.read.Load()
				_, _ = clientConn.Write([]byte(requestHead + "\r\n"))
				// A pending read of net/http may have them; if they never arrive, the test's timeout ends the wait.
				for watch := interruptible.New[int](server.TCPConn, 16); watch.NoPendingInput() && server.read.Load() == before; {
					runtime.Gosched()
				}
			})
			var err error
			if clientConn, err = net.Dial("tcp", s.Addr()); err != nil {
				t.Fatal(err)
			}
			if _, err := clientConn.Write([]byte(tc.text)); err != nil {
				t.Fatal(err)
			}
			close(dialled)
			var text []byte
			if tc.ends {
				for b := []byte{0}; !strings.HasSuffix(string(text), "}"); text = append(text, b...) {
					if _, err := clientConn.Read(b); err != nil {
						t.Fatal(err)
					}
				}
				go s.Shutdown(t.Context())
			}
			rest, err := io.ReadAll(clientConn)
			if err != nil {
				t.Error("the connection did not end cleanly:", err)
			}
			var got []string
			for line := range strings.Lines(string(text) + string(rest)) {
				if version, status, ok := strings.Cut(line, " "); ok && version == "HTTP/1.1" {
					got = append(got, status[:3])
				}
			}
			if strings.Join(got, " ") != tc.want {
				t.Errorf("statuses %q, want %q", got, tc.want)
			}
			_ = clientConn.Close()
			s.Shutdown(t.Context())
			if s.openConns != 0 || s.refusing != 0 || len(s.lingering) > 0 {
				t.Errorf("%d open, %d being refused, %d linger, want none", s.openConns, s.refusing, len(s.lingering))
			}
		})
	}
}

// TestLingerBounds: a lingering connection is closed in favour of a new client, and delays a shutdown only until the
// context of that ends.
func TestLingerBounds(t *testing.T) {
	s := startIntercepted(t, Config{MaxConnections: 1, IdleTimeout: time.Hour}, func(*interceptedConn) {})
	var all []net.Conn
	for i := range 5 {
		nc, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		_, _ = nc.Write([]byte(requestHead + "Connection: close\r\n\r\n"))
		text, err := io.ReadAll(nc)
		if err != nil || !strings.HasPrefix(string(text), fmt.Sprint("HTTP/1.1 ", http.StatusBadRequest)) {
			t.Fatalf("client %d got %q, %v", i, text, err)
		}
		all = append(all, nc) // the client does not close
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Shutdown(ctx)
	for _, nc := range all {
		_ = nc.Close()
	}
	s.Shutdown(t.Context())
	if s.openConns != 0 || len(s.lingering) > 0 {
		t.Errorf("%d open, %d linger", s.openConns, len(s.lingering))
	}
}
