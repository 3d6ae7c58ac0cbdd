package pgfront

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"reachwind/internal/core"
	"reachwind/internal/pgwire"
)

func (f *fakeCore) Cancel(q *core.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.open, q); i >= 0 {
		f.open = slices.Delete(f.open, i, i+1)
		q.Call.Release()
		q.Client.Answer(core.Answer{Verdict: core.Failed, Cancelled: true})
	}
}

// counts returns the numbers of requests that arrived, that are open, and whose clients left.
func (f *fakeCore) counts() (arrived, open, gone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrived, len(f.open), f.gone
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for range 20_000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition was not met in time")
}

// dialTCP connects a client over a TCP socket.
func dialTCP(t *testing.T, s *Server) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(nc)
	return c.(*net.TCPConn), bufio.NewReader(c)
}

// readMessage reads one message from the server.
func readMessage(t *testing.T, r *bufio.Reader) (typ byte, body []byte) {
	t.Helper()
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		t.Fatal(err)
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	if _, err := io.ReadFull(r, body); err != nil {
		t.Fatal(err)
	}
	return head[0], body
}

// readStartup reads up to the first ReadyForQuery, checks the order of the messages, and returns the key.
func readStartup(t *testing.T, r *bufio.Reader) (k key) {
	t.Helper()
	order := ""
	for {
		typ, body := readMessage(t, r)
		if order += string(typ); typ == 'K' {
			k = key{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}
		}
		if typ == 'Z' {
			break
		}
	}
	if order != "RSSSSSSKZ" {
		t.Errorf("startup %s", order)
	}
	return k
}

func cancelRequest(k key) []byte {
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, pgwire.CancelRequest)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, k.pid), k.secret)
}

// TestDisconnectBehindUnreadBytes: a client that closes its side or resets the connection is detected at once, however much
// it sent after its request: with the reader full, enlarged to its limit, or unable to grow; also while a large answer is
// streamed.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	for _, tc := range []struct {
		bytes int
		taken bool // other connections use up the limit for reading ahead
		reset bool
	}{{0, false, false}, {0, false, true}, {3000, false, false}, {5000, false, false}, {5000, false, true}, {60_000, false, false},
		{90_000, false, false}, {5000, true, false}, {5000, true, true}, {20_000, true, false}, {1 << 20, false, true}} {
		for _, passing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%+v passing %v", tc, passing), func(t *testing.T) {
				f := &fakeCore{}
				s, _ := newServer(f, 4)
				if tc.taken {
					s.readAheadBytes.Store(maxReadAhead)
				}
				c, r := dialTCP(t, s)
				_, _ = c.Write(append(pgwire.AppendStartup(nil, "app", "shop"), queryMessage(selectStatement)...))
				readStartup(t, r)
				waitFor(t, func() bool { _, open, _ := f.counts(); return open == 1 })
				if passing {
					f.mu.Lock()
					stream := pgwire.NewStream()
					f.open[0].Client.Answer(core.Answer{Body: stream})
					f.mu.Unlock()
					w, _ := stream.AwaitTaker()
					if _, err := w.Write([]byte("T")); err != nil {
						t.Fatal(err)
					}
				}
				more := pgwire.Append(nil, 'Q', strings.Repeat("x", tc.bytes), "\x00")
				if tc.bytes == 0 {
					more = nil
				}
				if tc.reset {
					go func() { _, _ = c.Write(more) }() // may never be read completely
					if len(more) > 0 {
						waitFor(t, func() bool { return s.readAheadBytes.Load() > 0 })
					}
					_ = c.SetLinger(0)
					_ = c.Close()
				} else {
					if _, err := c.Write(more); err != nil {
						t.Fatal(err)
					}
					_ = c.CloseWrite()
				}
				waitFor(t, func() bool { _, _, gone := f.counts(); return gone == 1 })
				waitFor(t, func() bool { return s.OpenConnections() == 0 })
				want := int64(0)
				if tc.taken {
					want = maxReadAhead
				}
				waitFor(t, func() bool { return s.readAheadBytes.Load() == want })
				if arrived, _, _ := f.counts(); arrived != 1 {
					t.Errorf("%d requests reached the core, want the one before the client left", arrived)
				}
			})
		}
	}
}

// TestReadAhead: commands that are read ahead of an answer are served afterwards, complete and in order, and the memory is
// returned.
func TestReadAhead(t *testing.T) {
	for _, size := range []int{10, 3000, 50_000} {
		f := &fakeCore{}
		s, bufs := newServer(f, 4)
		c, r := dialTCP(t, s)
		const n = 40
		go func() {
			out := pgwire.AppendStartup(nil, "app", "shop")
			for i := range n {
				out = append(out, queryMessage(strings.Replace(selectStatement, "id=1", fmt.Sprintf("id=%d", i), 1)+" -- "+strings.Repeat("x", size))...)
				out = append(out, queryMessage("")...)
			}
			_, _ = c.Write(out)
		}()
		readStartup(t, r)
		for i := range n {
			var q *core.Request
			waitFor(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				if len(f.open) == 0 {
					return false
				}
				q = f.open[0]
				f.open = nil
				return true
			})
			if st := q.Call.(*pgwire.Statement); st.ID != fmt.Sprint(i) || !strings.HasSuffix(string(st.Buf.B), " "+strings.Repeat("x", size)) {
				t.Fatalf("statement %d is %.200q", i, st.Buf.B)
			}
			q.Call.Release()
			q.Client.Answer(core.Answer{Verdict: core.Refused})
			got := ""
			for range 4 {
				typ, _ := readMessage(t, r)
				got += string(typ)
			}
			if got != "EZIZ" {
				t.Fatalf("answer %d: %s", i, got)
			}
		}
		_ = c.Close()
		waitFor(t, func() bool {
			return s.OpenConnections() == 0 && s.readAheadBytes.Load() == 0 && bufs.FreeLarge() == totalBuffers
		})
	}
}

// TestCancel: a cancel request with the key of a connection cancels the request in progress on it and nothing else; its
// client gets 57014 and can use the connection further. With another key, part of one, or no request in progress, nothing
// happens.
func TestCancel(t *testing.T) {
	f := &fakeCore{}
	s, _ := newServer(f, 8)
	startup := pgwire.AppendStartup(nil, "app", "shop")
	c, r := dialTCP(t, s)
	_, _ = c.Write(startup)
	mine := readStartup(t, r)
	other, or := dialTCP(t, s)
	_, _ = other.Write(append(slices.Clone(startup), queryMessage(strings.Replace(selectStatement, "id=1", "id=2", 1))...))
	theirs := readStartup(t, or)
	if mine.pid == 0 || mine.pid == theirs.pid {
		t.Errorf("keys %+v and %+v", mine, theirs)
	}
	cancel := func(b []byte) {
		n := s.OpenConnections()
		cc, cr := dialTCP(t, s)
		_, _ = cc.Write(b)
		if got, err := io.ReadAll(cr); len(got) != 0 || err != nil { // the request has been carried out once the connection ends
			t.Errorf("got %q, %v, want no answer", got, err)
		}
		waitFor(t, func() bool { return s.OpenConnections() == n })
	}
	waitFor(t, func() bool { _, open, _ := f.counts(); return open == 1 })
	cancel(cancelRequest(mine)) // idle
	cancel(cancelRequest(key{theirs.pid, theirs.secret + 1}))
	cancel(cancelRequest(key{theirs.pid + 1000, theirs.secret}))
	cancel(cancelRequest(key{0, 0}))
	half := cancelRequest(theirs)[:12]
	binary.BigEndian.PutUint32(half, 12)
	cancel(half)
	for range 3 {
		_, _ = c.Write(queryMessage(selectStatement))
		waitFor(t, func() bool { _, open, _ := f.counts(); return open == 2 })
		cancel(cancelRequest(mine))
		typ, body := readMessage(t, r)
		if code := pgwire.ErrorField(body, 'C'); typ != 'E' || code != queryCanceled || pgwire.ErrorField(body, 'S') != "ERROR" {
			t.Errorf("%c %q", typ, body)
		}
		if typ, _ := readMessage(t, r); typ != 'Z' {
			t.Errorf("%c after the answer", typ)
		}
	}
	_, _ = c.Write(queryMessage(""))
	if typ, _ := readMessage(t, r); typ != 'I' {
		t.Errorf("the connection is not usable afterwards: %c", typ)
	}
	if _, open, gone := f.counts(); open != 1 || gone != 0 {
		t.Errorf("%d open, %d gone: others were cancelled too", open, gone)
	}
}

// TestCancelAtLimit: a cancel request is carried out also if its connection exceeds the limit, because it reduces the load of
// the gateway.
func TestCancelAtLimit(t *testing.T) {
	f := &fakeCore{}
	s, _ := newServer(f, 1)
	c, r := dialTCP(t, s)
	_, _ = c.Write(append(pgwire.AppendStartup(nil, "app", "shop"), queryMessage(selectStatement)...))
	k := readStartup(t, r)
	waitFor(t, func() bool { _, open, _ := f.counts(); return open == 1 })
	cc, cr := dialTCP(t, s) // above the limit, so it would be refused
	_, _ = cc.Write(cancelRequest(k))
	if got, err := io.ReadAll(cr); len(got) != 0 || err != nil {
		t.Errorf("got %q, %v, want no answer", got, err)
	}
	if typ, body := readMessage(t, r); typ != 'E' || pgwire.ErrorField(body, 'C') != queryCanceled {
		t.Errorf("%c %q", typ, body)
	}
}

// TestCancelAsStreamBegins guards against a cancel request that finds no request in progress as the answer begins to be
// streamed.
func TestCancelAsStreamBegins(t *testing.T) {
	f := &fakeCore{}
	s, _ := newServer(f, 8)
	nc, r := dialTCP(t, s)
	_, _ = nc.Write(append(pgwire.AppendStartup(nil, "app", "shop"), queryMessage(selectStatement)...))
	readStartup(t, r)
	waitFor(t, func() bool { _, open, _ := f.counts(); return open == 1 })
	s.mu.Lock() // holds the connection up as it begins to stream
	var c *conn
	for c = range s.conns {
	}
	q := c.current.Load()
	stream := pgwire.NewStream()
	q.Client.Answer(core.Answer{Verdict: core.Served, Body: stream})
	for until := time.Now().Add(100 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if c.current.Load() != q {
			t.Error("a cancel request would find no request")
			break
		}
	}
	s.mu.Unlock()
	_, done := stream.AwaitTaker()
	done([]byte{})
	if typ, _ := readMessage(t, r); typ != 'Z' {
		t.Errorf("%c after the answer", typ)
	}
	waitFor(t, func() bool { return c.current.Load() == nil })
}
