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

// noCore is a core that nothing may come to.
type noCore struct{ t *testing.T }

func (n noCore) Now() core.Time                                          { return core.Time(time.Now().UnixNano()) }
func (n noCore) Arrive(*core.Request)                                    { n.t.Error("a request came to the core") }
func (n noCore) Gone(*core.Request)                                      {}
func (n noCore) RecordFrontOutcome(string, record.Outcome, record.Cause) {}

// crossed is the server's end of a connection. When that is about to be ended, its client sends something first, which
// has come by the time the call is carried out.
type crossed struct {
	*net.TCPConn
	once  sync.Once
	cross func(*crossed)
	read  atomic.Int64 // bytes
}

func (c *crossed) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c *crossed) CloseWrite() error {
	c.once.Do(func() { c.cross(c) })
	return c.TCPConn.CloseWrite()
}

func (c *crossed) Close() error {
	c.once.Do(func() { c.cross(c) })
	return c.TCPConn.Close()
}

// crossing is a listener of such connections.
type crossing struct {
	net.Listener
	cross func(*crossed)
}

func (l crossing) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossed{TCPConn: c.(*net.TCPConn), cross: l.cross}, nil
}

// crossedFront runs a server of connections that are crossed by a client's bytes as they end.
func crossedFront(t *testing.T, conf Config, cross func(*crossed)) *Server {
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
	s.l = &limited{Listener: crossing{l, cross}, s: s}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		_ = s.http.Serve(s.l)
	}()
	return s
}

const get = "GET /v1/clusters/0/items/x HTTP/1.1\r\nHost: h\r\n" // of no class: answered here

// TestCloseCrossed: whyever a connection ends, a request that comes in that moment neither resets it nor is served.
func TestCloseCrossed(t *testing.T) {
	for name, tc := range map[string]struct {
		most    int
		text    string
		want    string // statuses
		ends    bool   // by Shutdown
		idleFor time.Duration
	}{
		"idle":          {1, get + "\r\n", "400", false, 50 * time.Millisecond},
		"shutdown":      {1, get + "\r\n", "400", true, time.Hour},
		"close asked":   {1, get + "Connection: close\r\n\r\n", "400", false, time.Hour},
		"half a header": {1, get, "", false, time.Hour},
		"no request":    {1, "nonsense\r\n\r\n", "400", false, time.Hour},
		"no room":       {0, get + "\r\n", "503", false, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			var near net.Conn
			dialled := make(chan struct{})
			s := crossedFront(t, Config{MaxConnections: tc.most, IdleTimeout: tc.idleFor}, func(far *crossed) {
				<-dialled
				was := far.read.Load()
				_, _ = near.Write([]byte(get + "\r\n"))
				// A read of net/http that was on may have them; the test's own limit ends a wait for nothing.
				for looks := interruptible.New[int](far.TCPConn, 16); looks.NoPendingInput() && far.read.Load() == was; {
					runtime.Gosched()
				}
			})
			var err error
			if near, err = net.Dial("tcp", s.Addr()); err != nil {
				t.Fatal(err)
			}
			if _, err := near.Write([]byte(tc.text)); err != nil {
				t.Fatal(err)
			}
			close(dialled)
			var text []byte
			if tc.ends {
				for b := []byte{0}; !strings.HasSuffix(string(text), "}"); text = append(text, b...) {
					if _, err := near.Read(b); err != nil {
						t.Fatal(err)
					}
				}
				go s.Shutdown(t.Context())
			}
			rest, err := io.ReadAll(near)
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
			_ = near.Close()
			s.Shutdown(t.Context())
			if s.open != 0 || s.refusing != 0 || len(s.lingered) > 0 {
				t.Errorf("%d open, %d being refused, %d linger", s.open, s.refusing, len(s.lingered))
			}
		})
	}
}

// TestLingerBounds: a connection that lingers gives way to a client that comes, and does not hold up a shutdown for
// longer than that may last.
func TestLingerBounds(t *testing.T) {
	s := crossedFront(t, Config{MaxConnections: 1, IdleTimeout: time.Hour}, func(*crossed) {})
	var all []net.Conn
	for i := range 5 {
		nc, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		_, _ = nc.Write([]byte(get + "Connection: close\r\n\r\n"))
		text, err := io.ReadAll(nc)
		if err != nil || !strings.HasPrefix(string(text), fmt.Sprint("HTTP/1.1 ", http.StatusBadRequest)) {
			t.Fatalf("client %d heard %q, %v", i, text, err)
		}
		all = append(all, nc) // and stays
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Shutdown(ctx)
	for _, nc := range all {
		_ = nc.Close()
	}
	s.Shutdown(t.Context())
	if s.open != 0 || len(s.lingered) > 0 {
		t.Errorf("%d open, %d linger", s.open, len(s.lingered))
	}
}
