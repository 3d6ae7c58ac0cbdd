package restfront

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/record"
)

// fakeCore holds requests and notes whose clients have gone.
type fakeCore struct {
	mu   sync.Mutex
	open int
	gone int
}

func (f *fakeCore) Now() core.Time { return core.Time(time.Now().UnixNano()) }
func (f *fakeCore) Arrive(*core.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open++
}
func (f *fakeCore) RecordFrontOutcome(string, record.Outcome, record.Cause) {}
func (f *fakeCore) Gone(q *core.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone++
	q.Call.Release()
}

func until(t *testing.T, f func() bool) {
	t.Helper()
	for range 20_000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("it never came to pass")
}

// TestClientLeaves: a client that ends its side while its request waits has gone, also behind bytes of a next request.
// It is told nothing: an empty answer would be one that no member made.
func TestClientLeaves(t *testing.T) {
	for name, tc := range map[string]struct {
		more  string // sent after the request
		reset bool
	}{"half-close": {"", false}, "reset": {"", true}, "half-close behind bytes": {"GET /v1/clu", false},
		"half-close behind many": {strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1000), false},
		"reset behind bytes":     {"GET /v1/clu", true}} {
		t.Run(name, func(t *testing.T) {
			book, err := activesettings.NewHolder(&decide.Config{Classes: []decide.Class{{Name: "r", Deadline: time.Minute}}})
			if err != nil {
				t.Fatal(err)
			}
			f := &fakeCore{}
			s, err := New(f, Config{Listen: "127.0.0.1:0", MaxConnections: 4, MaxBodyBytes: 1 << 10, HeaderTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Minute,
				IdleTimeout: time.Minute, Settings: book, CursorLifetime: time.Minute}, call.NewActiveIDs(), slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			defer s.Shutdown(context.Background())
			nc, err := net.Dial("tcp4", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			c := nc.(*net.TCPConn)
			_, _ = io.WriteString(c, "GET /v1/clusters/1/items/k HTTP/1.1\r\nHost: x\r\nReachwind-Class: r\r\n\r\n")
			until(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.open == 1
			})
			_, _ = io.WriteString(c, tc.more)
			if tc.reset {
				_ = c.SetLinger(0)
				_ = c.Close()
			} else {
				_ = c.CloseWrite()
				if got, _ := io.ReadAll(c); len(got) != 0 {
					t.Errorf("told %.100q", got)
				}
			}
			until(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.gone == 1
			})
			until(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.open == 0
			})
		})
	}
}
