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

// crossed is the gateway's end of a connection. When that is about to be ended, by whatever call, its client sends
// something first, which has come by the time the call is carried out.
type crossed struct {
	*net.TCPConn
	once  sync.Once
	cross func()
}

func (c *crossed) CloseWrite() error {
	c.once.Do(c.cross)
	return c.TCPConn.CloseWrite()
}

func (c *crossed) Close() error {
	c.once.Do(c.cross)
	return c.TCPConn.Close()
}

// pair is both ends of a connection over TCP.
func pair(t *testing.T) (near, far *net.TCPConn) {
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

// TestCloseCrossed: whyever the gateway ends a connection, a request that comes between its last look and the end
// neither resets the connection, which would take the last answer along, nor is it sent on.
func TestCloseCrossed(t *testing.T) {
	hello := pgwire.AppendStartup(nil, "app", "shop")
	ask := append(slices.Clone(hello), query("")...) // answered here
	for name, tc := range map[string]struct {
		most  int
		text  []byte
		want  string
		serve func(s *Server, nc net.Conn)
		then  func(s *Server) // once the connection is idle
	}{
		"idle": {1, ask, "IZ", (*Server).Handle, func(s *Server) {
			time.Sleep(idleLeast)
			s.endIdle()
		}},
		"room": {1, ask, "IZ", (*Server).Handle, func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.makeRoom()
		}},
		"quiesce":  {1, ask, "IZ", (*Server).Handle, func(s *Server) { s.Quiesce(true) }},
		"shutdown": {1, ask, "IZ", (*Server).Handle, func(s *Server) { go s.Shutdown() }},
		"no startup yet": {1, nil, "", func(s *Server, nc net.Conn) {
			s.Handle(nc)
			go s.Shutdown()
		}, nil},
		"terminate": {1, append(slices.Clone(ask), pgwire.Append(nil, 'X')...), "IZ", (*Server).Handle, nil},
		"protocol":  {1, append(slices.Clone(ask), pgwire.Append(nil, '!')...), "IZE", (*Server).Handle, nil},
		"too slow":  {1, append(slices.Clone(ask), 'Q', 0), "IZE", (*Server).Handle, nil},
		"refused":   {0, hello, "E", (*Server).Handle, nil},
		"closed": {0, nil, "E", func(s *Server, nc net.Conn) {
			s.refusing = (s.conf.SpareConnections + 1) / 2
			s.Handle(nc)
		}, nil},
		"no room for one passed on": {1, nil, "", func(s *Server, nc net.Conn) {
			s.conf.MaxConnections = -s.conf.SpareConnections
			s.Adopt(nc, true)
		}, nil},
		"cut": {1, nil, "", func(s *Server, nc net.Conn) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.start(func() { newConn(s, nc).serveFrom(errCut) })
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := new(fakeCore)
			s, _ := newServer(f, tc.most)
			s.conf.StartupTimeout, s.conf.LingerTimeout = 200*time.Millisecond, time.Hour
			s.conf.SpareConnections = max(s.conf.SpareConnections, 4)
			near, far := pair(t)
			looks := interruptible.New[int](far, 16)
			nc := &crossed{TCPConn: far, cross: func() {
				if _, err := near.Write(query(read)); err != nil {
					t.Error(err)
				}
				for looks.NoPendingInput() { // the test's own limit ends a wait for nothing
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
				t.Errorf("heard %q, want %q last", got, tc.want)
			}
			_ = near.Close()
			s.mu.Lock()
			s.refusing = 0
			s.mu.Unlock()
			s.Shutdown()
			until(t, func() bool { // it waits for those that linger only shortly; the client's close ends them
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.lingered) == 0
			})
			if f.arrived > 0 || len(s.lingered) > 0 || s.OpenConnections() > 0 {
				t.Errorf("%d requests sent on, %d connections linger, %d open", f.arrived, len(s.lingered), s.OpenConnections())
			}
		})
	}
}

// TestLingerBounds: connections that linger give way to clients that come, the one that has lingered longest first; one
// whose client sends on and on, or stays, is closed all the same.
func TestLingerBounds(t *testing.T) {
	f := new(fakeCore)
	s, _ := newServer(f, 1) // with two to spare: three in all
	s.conf.LingerTimeout = time.Hour
	ended := func(near net.Conn) {
		t.Helper()
		if _, err := io.Copy(io.Discard, near); err != nil {
			t.Error("no clean end:", err)
		}
	}
	lingers := func() (list []net.Conn) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return slices.Clone(s.lingered)
	}
	var clients, ends []net.Conn
	for range 3 {
		near, far := pair(t)
		s.Handle(far)
		_, _ = near.Write(pgwire.Append(pgwire.AppendStartup(nil, "app", "shop"), 'X'))
		ended(near)
		clients, ends = append(clients, near), append(ends, far)
	}
	if got := lingers(); !slices.Equal(got, ends) {
		t.Fatalf("%d linger, want 3 in order", len(got))
	}
	near, far := pair(t)
	s.Handle(far)
	if got := lingers(); !slices.Equal(got, ends[1:]) {
		t.Errorf("with one more client %d linger, want the two last", len(got))
	}
	_, _ = near.Write(append(pgwire.AppendStartup(nil, "app", "shop"), query("")...))
	for b := []byte{0}; b[0] != 'I'; {
		if _, err := near.Read(b); err != nil {
			t.Fatal("the new client is not served:", err)
		}
	}
	_ = near.Close()
	go func() { // a flood
		for junk := make([]byte, 64<<10); ; {
			if _, err := clients[1].Write(junk); err != nil {
				return
			}
		}
	}()
	for len(lingers()) > 1 { // the test's own limit ends a wait for nothing
		runtime.Gosched()
	}
	_ = clients[2].Close()
	s.Shutdown()
	if n := len(lingers()); n > 0 || s.OpenConnections() > 0 {
		t.Errorf("%d linger, %d open", n, s.OpenConnections())
	}
	s, _ = newServer(f, 1)
	s.conf.LingerTimeout = 50 * time.Millisecond
	near, far = pair(t)
	s.Handle(far)
	_, _ = near.Write(pgwire.Append(pgwire.AppendStartup(nil, "app", "shop"), 'X'))
	ended(near)
	for len(lingers()) > 0 { // its client stays
		runtime.Gosched()
	}
	// Nor does one that stays hold up a shutdown.
	s, _ = newServer(f, 1)
	s.conf.LingerTimeout = time.Hour
	near, far = pair(t)
	s.Handle(far)
	_, _ = near.Write(append(pgwire.AppendStartup(nil, "app", "shop"), query("")...))
	s.Shutdown()
	if n := len(lingers()); n != 1 || s.OpenConnections() > 0 {
		t.Errorf("%d linger, %d open", n, s.OpenConnections())
	}
	ended(near)
}

// TestLastCall: in the last moments of a shutdown a command that has begun is not waited for, wherever its client
// stopped, and its client finds the connection ended in order; a request in work has its answer first, and what came
// whole behind it as well.
func TestLastCall(t *testing.T) {
	hello := pgwire.AppendStartup(nil, "app", "shop")
	after := func(text []byte) []byte { return append(slices.Clone(hello), text...) }
	for name, tc := range map[string]struct {
		text []byte
		want string
	}{
		"half a startup": {hello[:9], ""}, "half a header": {after([]byte{'Q', 0}), ""}, "half a command": {after(query(read)[:40]), ""},
		"half a long command": {after(query(read + string(make([]byte, 2*readSize)))[:readSize+100]), ""},
		"half an unknown one": {after([]byte{'P', 0, 0, 1, 0, 'x'}), ""},
		"in work":             {after(query(read)), "EZ"},
		"in work, more whole": {after(append(query(read), query("")...)), "EZIZ"},
		"in work, more half":  {after(append(query(read), query("")[:3]...)), "EZ"},
	} {
		t.Run(name, func(t *testing.T) {
			f := new(fakeCore)
			s, _ := newServer(f, 1)
			s.conf.StartupTimeout, s.conf.LingerTimeout = time.Hour, time.Hour
			near, far := pair(t)
			s.Handle(far)
			if _, err := near.Write(tc.text); err != nil {
				t.Fatal(err)
			}
			looks := interruptible.New[int](far, 16)
			busy := func() bool { // all of it has been read, and what was to be done with it has begun
				s.mu.Lock()
				defer s.mu.Unlock()
				f.mu.Lock()
				defer f.mu.Unlock()
				for c := range s.conns {
					return looks.NoPendingInput() && c.spoke && (tc.want == "" || f.arrived > 0)
				}
				return false
			}
			for !busy() {
				runtime.Gosched()
			}
			over := make(chan struct{})
			go func() {
				s.Shutdown()
				close(over)
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
				t.Errorf("heard %q, want %q", got, want)
			}
			_ = near.Close()
			<-over
		})
	}
}
