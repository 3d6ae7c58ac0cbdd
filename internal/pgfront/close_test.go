package pgfront

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/pgwire"
)

// interceptedConn is the gateway's end of a connection. When the gateway is about to close it, by whatever call, the client
// first sends bytes, which have arrived by the time the call is carried out.
type interceptedConn struct {
	*net.TCPConn
	once        sync.Once
	beforeClose func()
}

func (c *interceptedConn) CloseWrite() error {
	c.once.Do(c.beforeClose)
	return c.TCPConn.CloseWrite()
}

func (c *interceptedConn) Close() error {
	c.once.Do(c.beforeClose)
	return c.TCPConn.Close()
}

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// TestRequestDuringClose: for whatever reason the gateway closes a connection, a request that arrives between its last read
// and the close neither resets the connection, by which the client could lose the last answer, nor reaches the core.
func TestRequestDuringClose(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "app", "shop")
	startupAndCommand := append(slices.Clone(startup), queryMessage("")...) // the front itself answers it
	for name, tc := range map[string]struct {
		most  int
		text  []byte
		want  string
		serve func(s *Server, nc net.Conn)
		then  func(s *Server) // once the connection is idle
	}{
		"idle": {1, startupAndCommand, "IZ", (*Server).Handle, func(s *Server) {
			time.Sleep(minIdleAge)
			s.closeIdle()
		}},
		"evicted": {1, startupAndCommand, "IZ", (*Server).Handle, func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.evictIdle()
		}},
		"quiesce":  {1, startupAndCommand, "IZ", (*Server).Handle, func(s *Server) { s.Quiesce(true) }},
		"shutdown": {1, startupAndCommand, "IZ", (*Server).Handle, func(s *Server) { go s.Shutdown() }},
		"no startup yet": {1, nil, "", func(s *Server, nc net.Conn) {
			s.Handle(nc)
			go s.Shutdown()
		}, nil},
		"terminate":          {1, append(slices.Clone(startupAndCommand), pgwire.Append(nil, 'X')...), "IZ", (*Server).Handle, nil},
		"protocol violation": {1, append(slices.Clone(startupAndCommand), pgwire.Append(nil, '!')...), "IZE", (*Server).Handle, nil},
		"too slow":           {1, append(slices.Clone(startupAndCommand), 'Q', 0), "IZE", (*Server).Handle, nil},
		"refused":            {0, startup, "E", (*Server).Handle, nil},
		"rejected": {0, nil, "E", func(s *Server, nc net.Conn) {
			s.refusing = (s.conf.SpareConnections + 1) / 2
			s.Handle(nc)
		}, nil},
		"adopted beyond the limit": {1, nil, "", func(s *Server, nc net.Conn) {
			s.conf.MaxConnections = -s.conf.SpareConnections
			s.Adopt(nc, true)
		}, nil},
		"answer truncated": {1, nil, "", func(s *Server, nc net.Conn) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.startTracked(func() { newConn(s, nc).serveFrom(errTruncated) })
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := new(fakeCore)
			s, _ := newServer(f, tc.most)
			s.conf.StartupTimeout, s.conf.LingerTimeout = 200*time.Millisecond, time.Hour
			s.conf.SpareConnections = max(s.conf.SpareConnections, 4)
			near, far := tcpPair(t)
			watch := interruptible.New[int](far, 16)
			nc := &interceptedConn{TCPConn: far, beforeClose: func() {
				if _, err := near.Write(queryMessage(selectStatement)); err != nil {
					t.Error(err)
				}
				for watch.NoPendingInput() { // if they never arrive, the test's timeout ends the wait
					runtime.Gosched()
				}
			}}
			if _, err := near.Write(tc.text); err != nil {
				t.Fatal(err)
			}
			tc.serve(s, nc)
			var text []byte
			if tc.then != nil {
				for b := []byte{0}; !bytes.HasSuffix(text, pgwire.AppendReadyForQuery(pgwire.Append(nil, 'I'))); text = append(text, b...) {
					if _, err := near.Read(b); err != nil {
						t.Fatal(err)
					}
				}
				for idle := false; !idle; runtime.Gosched() {
					s.mu.Lock()
					for c := range s.conns {
						idle = !c.idleSince.IsZero()
					}
					s.mu.Unlock()
				}
				tc.then(s)
			}
			rest, err := io.ReadAll(near)
			if err != nil {
				t.Error("the connection did not end cleanly:", err)
			}
			p := new(peer)
			p.got.Write(append(text, rest...))
			got := ""
			for _, m := range p.replies(t) {
				got += m[:1]
			}
			if len(got) < len(tc.want) || got[len(got)-len(tc.want):] != tc.want {
				t.Errorf("got %q, want %q last", got, tc.want)
			}
			_ = near.Close()
			s.mu.Lock()
			s.refusing = 0
			s.mu.Unlock()
			s.Shutdown()
			waitFor(t, func() bool { // Shutdown waits for lingering connections only shortly; the client's close ends them
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.lingering) == 0
			})
			if f.arrived > 0 || len(s.lingering) > 0 || s.OpenConnections() > 0 {
				t.Errorf("%d requests reached the core, %d connections linger, %d are open", f.arrived, len(s.lingering), s.OpenConnections())
			}
		})
	}
}

// TestLingerBounds: lingering connections are closed in favour of new clients, the one that has lingered longest first; one
// whose client sends without end, or does not close, is closed as well.
func TestLingerBounds(t *testing.T) {
	f := new(fakeCore)
	s, _ := newServer(f, 1) // and two spare connections: three in total
	s.conf.LingerTimeout = time.Hour
	ended := func(near net.Conn) {
		t.Helper()
		if _, err := io.Copy(io.Discard, near); err != nil {
			t.Error("the connection did not end cleanly:", err)
		}
	}
	lingers := func() (list []net.Conn) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return slices.Clone(s.lingering)
	}
	var clients, ends []net.Conn
	for range 3 {
		near, far := tcpPair(t)
		s.Handle(far)
		_, _ = near.Write(pgwire.Append(pgwire.AppendStartup(nil, "app", "shop"), 'X'))
		ended(near)
		clients, ends = append(clients, near), append(ends, far)
	}
	if got := lingers(); !slices.Equal(got, ends) {
		t.Fatalf("%d connections linger, want 3 in order of their ends", len(got))
	}
	near, far := tcpPair(t)
	s.Handle(far)
	if got := lingers(); !slices.Equal(got, ends[1:]) {
		t.Errorf("after one more client %d linger, want the last two", len(got))
	}
	_, _ = near.Write(append(pgwire.AppendStartup(nil, "app", "shop"), queryMessage("")...))
	for b := []byte{0}; b[0] != 'I'; {
		if _, err := near.Read(b); err != nil {
			t.Fatal("the new client is not served:", err)
		}
	}
	_ = near.Close()
	go func() { // sends without end
		for junk := make([]byte, 64<<10); ; {
			if _, err := clients[1].Write(junk); err != nil {
				return
			}
		}
	}()
	for len(lingers()) > 1 { // if it never is closed, the test's timeout ends the wait
		runtime.Gosched()
	}
	_ = clients[2].Close()
	s.Shutdown()
	if n := len(lingers()); n > 0 || s.OpenConnections() > 0 {
		t.Errorf("%d linger, %d open", n, s.OpenConnections())
	}
	s, _ = newServer(f, 1)
	s.conf.LingerTimeout = 50 * time.Millisecond
	near, far = tcpPair(t)
	s.Handle(far)
	_, _ = near.Write(pgwire.Append(pgwire.AppendStartup(nil, "app", "shop"), 'X'))
	ended(near)
	for len(lingers()) > 0 { // its client does not close
		runtime.Gosched()
	}
	// Nor does a client that does not close delay a shutdown.
	s, _ = newServer(f, 1)
	s.conf.LingerTimeout = time.Hour
	near, far = tcpPair(t)
	s.Handle(far)
	_, _ = near.Write(append(pgwire.AppendStartup(nil, "app", "shop"), queryMessage("")...))
	s.Shutdown()
	if n := len(lingers()); n != 1 || s.OpenConnections() > 0 {
		t.Errorf("%d linger, %d open", n, s.OpenConnections())
	}
	ended(near)
}

// TestAbandonPartialMessages: at the end of a shutdown the server does not wait for the rest of a command, wherever its
// client stopped, and closes the connection without a reset; a request in progress is answered first, and so are complete
// commands behind it.
func TestAbandonPartialMessages(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "app", "shop")
	after := func(text []byte) []byte { return append(slices.Clone(startup), text...) }
	for name, tc := range map[string]struct {
		text []byte
		want string
	}{
		"partial startup": {startup[:9], ""}, "partial header": {after([]byte{'Q', 0}), ""}, "partial command": {after(queryMessage(selectStatement)[:40]), ""},
		"partial long command":                 {after(queryMessage(selectStatement + string(make([]byte, 2*initialReadSize)))[:initialReadSize+100]), ""},
		"partial refused message":              {after([]byte{'P', 0, 0, 1, 0, 'x'}), ""},
		"in progress":                          {after(queryMessage(selectStatement)), "EZ"},
		"in progress, complete command behind": {after(append(queryMessage(selectStatement), queryMessage("")...)), "EZIZ"},
		"in progress, partial command behind":  {after(append(queryMessage(selectStatement), queryMessage("")[:3]...)), "EZ"},
	} {
		t.Run(name, func(t *testing.T) {
			f := new(fakeCore)
			s, _ := newServer(f, 1)
			s.conf.StartupTimeout, s.conf.LingerTimeout = time.Hour, time.Hour
			near, far := tcpPair(t)
			s.Handle(far)
			if _, err := near.Write(tc.text); err != nil {
				t.Fatal(err)
			}
			watch := interruptible.New[int](far, 16)
			busy := func() bool { // all bytes have been read, and the request, if there is one, has reached the core
				s.mu.Lock()
				defer s.mu.Unlock()
				f.mu.Lock()
				defer f.mu.Unlock()
				for c := range s.conns {
					return watch.NoPendingInput() && c.received && (tc.want == "" || f.arrived > 0)
				}
				return false
			}
			for !busy() {
				runtime.Gosched()
			}
			done := make(chan struct{})
			go func() {
				s.Shutdown()
				close(done)
			}()
			s.AbandonPartialMessages()
			f.mu.Lock()
			for _, q := range f.open {
				q.Call.Release()
				q.Client.Answer(core.Answer{Verdict: core.Refused})
			}
			f.mu.Unlock()
			text, err := io.ReadAll(near)
			if err != nil {
				t.Error("the connection did not end cleanly:", err)
			}
			p := new(peer)
			p.got.Write(text)
			got := ""
			for _, m := range p.replies(t) {
				got += m[:1]
			}
			if want := "RSSSSSSKZ" + tc.want; got != want && !(tc.want == "" && got == "") {
				t.Errorf("got %q, want %q", got, want)
			}
			_ = near.Close()
			<-done
		})
	}
}
