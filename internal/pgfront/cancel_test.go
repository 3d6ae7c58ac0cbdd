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

// counts returns how many requests came, are open, and whose clients had gone.
func (f *fakeCore) counts() (arrived, open, gone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrived, len(f.open), f.gone
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

// sock connects a client over a real socket.
func sock(t *testing.T, s *Server) (*net.TCPConn, *bufio.Reader) {
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

// reads reads one message of the server's.
func reads(t *testing.T, r *bufio.Reader) (typ byte, body []byte) {
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

// welcomed reads up to the first ReadyForQuery and returns the key; the order of what comes is the protocol's.
func welcomed(t *testing.T, r *bufio.Reader) (k key) {
	t.Helper()
	order := ""
	for {
		typ, body := reads(t, r)
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

func cancelOf(k key) []byte {
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, pgwire.CancelRequest)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, k.pid), k.secret)
}

// TestLeavesBehindBytes: a client is seen to leave at once, by the end of its side or by a reset, however much it sent
// after its request: with the reader full, with it grown as far as it may, and with no room to grow; also while a large
// answer passes.
func TestLeavesBehindBytes(t *testing.T) {
	for _, tc := range []struct {
		bytes int
		taken bool // others read as far ahead as may be
		reset bool
	}{{0, false, false}, {0, false, true}, {3000, false, false}, {5000, false, false}, {5000, false, true}, {60_000, false, false},
		{90_000, false, false}, {5000, true, false}, {5000, true, true}, {20_000, true, false}, {1 << 20, false, true}} {
		for _, passing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%+v passing %v", tc, passing), func(t *testing.T) {
				f := &fakeCore{}
				s, _ := newServer(f, 4)
				if tc.taken {
					s.ahead.Store(aheadMost)
				}
				c, r := sock(t, s)
				_, _ = c.Write(append(pgwire.AppendStartup(nil, "app", "shop"), query(read)...))
				welcomed(t, r)
				until(t, func() bool { _, open, _ := f.counts(); return open == 1 })
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
					go func() { _, _ = c.Write(more) }() // it may never be taken whole
					if len(more) > 0 {
						until(t, func() bool { return s.ahead.Load() > 0 })
					}
					_ = c.SetLinger(0)
					_ = c.Close()
				} else {
					if _, err := c.Write(more); err != nil {
						t.Fatal(err)
					}
					_ = c.CloseWrite()
				}
				until(t, func() bool { _, _, gone := f.counts(); return gone == 1 })
				until(t, func() bool { return s.OpenConnections() == 0 })
				want := int64(0)
				if tc.taken {
					want = aheadMost
				}
				until(t, func() bool { return s.ahead.Load() == want })
				if arrived, _, _ := f.counts(); arrived != 1 {
					t.Errorf("%d requests were taken, want the one before it left", arrived)
				}
			})
		}
	}
}

// TestReadAhead: what is read ahead of an answer is served afterwards, whole and in order, and the room is given back.
func TestReadAhead(t *testing.T) {
	for _, size := range []int{10, 3000, 50_000} {
		f := &fakeCore{}
		s, bufs := newServer(f, 4)
		c, r := sock(t, s)
		const n = 40
		go func() {
			out := pgwire.AppendStartup(nil, "app", "shop")
			for i := range n {
				out = append(out, query(strings.Replace(read, "id=1", fmt.Sprintf("id=%d", i), 1)+" -- "+strings.Repeat("x", size))...)
				out = append(out, query("")...)
			}
			_, _ = c.Write(out)
		}()
		welcomed(t, r)
		for i := range n {
			var q *core.Request
			until(t, func() bool {
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
				typ, _ := reads(t, r)
				got += string(typ)
			}
			if got != "EZIZ" {
				t.Fatalf("answer %d: %s", i, got)
			}
		}
		_ = c.Close()
		until(t, func() bool { return s.OpenConnections() == 0 && s.ahead.Load() == 0 && bufs.FreeLarge() == buffers })
	}
}

// TestCancel: a cancel request with a connection's key ends what that has in work, and nothing else; its client gets
// 57014 and may go on. With another key, half of one, or nothing in work, nothing happens.
func TestCancel(t *testing.T) {
	f := &fakeCore{}
	s, _ := newServer(f, 8)
	hello := pgwire.AppendStartup(nil, "app", "shop")
	c, r := sock(t, s)
	_, _ = c.Write(hello)
	mine := welcomed(t, r)
	other, or := sock(t, s)
	_, _ = other.Write(append(slices.Clone(hello), query(strings.Replace(read, "id=1", "id=2", 1))...))
	theirs := welcomed(t, or)
	if mine.pid == 0 || mine.pid == theirs.pid {
		t.Errorf("keys %+v and %+v", mine, theirs)
	}
	cancel := func(b []byte) {
		n := s.OpenConnections()
		cc, cr := sock(t, s)
		_, _ = cc.Write(b)
		if got, err := io.ReadAll(cr); len(got) != 0 || err != nil { // all is done when it ends
			t.Errorf("told %q, %v", got, err)
		}
		until(t, func() bool { return s.OpenConnections() == n })
	}
	until(t, func() bool { _, open, _ := f.counts(); return open == 1 })
	cancel(cancelOf(mine)) // idle
	cancel(cancelOf(key{theirs.pid, theirs.secret + 1}))
	cancel(cancelOf(key{theirs.pid + 1000, theirs.secret}))
	cancel(cancelOf(key{0, 0}))
	half := cancelOf(theirs)[:12]
	binary.BigEndian.PutUint32(half, 12)
	cancel(half)
	for range 3 {
		_, _ = c.Write(query(read))
		until(t, func() bool { _, open, _ := f.counts(); return open == 2 })
		cancel(cancelOf(mine))
		typ, body := reads(t, r)
		if code := pgwire.ErrorField(body, 'C'); typ != 'E' || code != queryCanceled || pgwire.ErrorField(body, 'S') != "ERROR" {
			t.Errorf("%c %q", typ, body)
		}
		if typ, _ := reads(t, r); typ != 'Z' {
			t.Errorf("%c after the answer", typ)
		}
	}
	_, _ = c.Write(query(""))
	if typ, _ := reads(t, r); typ != 'I' {
		t.Errorf("the connection does not go on: %c", typ)
	}
	if _, open, gone := f.counts(); open != 1 || gone != 0 {
		t.Errorf("%d open, %d gone: others were cancelled too", open, gone)
	}
}

// TestCancelAtLimit: a cancel request is carried out also where its connection is one too many, as it is what frees the
// gateway of work.
func TestCancelAtLimit(t *testing.T) {
	f := &fakeCore{}
	s, _ := newServer(f, 1)
	c, r := sock(t, s)
	_, _ = c.Write(append(pgwire.AppendStartup(nil, "app", "shop"), query(read)...))
	k := welcomed(t, r)
	until(t, func() bool { _, open, _ := f.counts(); return open == 1 })
	cc, cr := sock(t, s) // above the limit: it is there to be refused
	_, _ = cc.Write(cancelOf(k))
	if got, err := io.ReadAll(cr); len(got) != 0 || err != nil {
		t.Errorf("told %q, %v", got, err)
	}
	if typ, body := reads(t, r); typ != 'E' || pgwire.ErrorField(body, 'C') != queryCanceled {
		t.Errorf("%c %q", typ, body)
	}
}
