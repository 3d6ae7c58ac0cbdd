package pgfront

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/core"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
)

const buffers = 6

// fakeCore holds requests until the test answers them.
type fakeCore struct {
	mu      sync.Mutex // connections may end together
	open    []*core.Request
	arrived int
	gone    int
}

func (f *fakeCore) Now() core.Time { return core.Time(time.Now().UnixNano()) }
func (f *fakeCore) Arrive(q *core.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = append(f.open, q)
	f.arrived++
}
func (f *fakeCore) RecordFrontOutcome(string, record.Outcome, record.Cause) {}

func (f *fakeCore) Gone(q *core.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone++
	if i := slices.Index(f.open, q); i >= 0 {
		f.open = slices.Delete(f.open, i, i+1)
		q.Call.Release()
	}
}

// peer is the client's end of a connection in a test.
type peer struct {
	net.Conn
	write chan []byte
	got   bytes.Buffer
	over  atomic.Bool
}

func (p *peer) ended() bool { return p.over.Load() }

func newPeer(nc net.Conn) *peer {
	p := &peer{Conn: nc, write: make(chan []byte, 1000)}
	go func() {
		for b := range p.write {
			_, _ = nc.Write(b)
		}
	}()
	go func() {
		_, _ = io.Copy(&p.got, nc)
		p.over.Store(true)
	}()
	return p
}

// replies returns what came since, one letter a message, errors as their code and detail.
func (p *peer) replies(t *testing.T) (list []string) {
	for b := p.got.Bytes(); len(b) > 0; b = p.got.Bytes() {
		if len(b) < 5 || len(b) < 1+int(binary.BigEndian.Uint32(b[1:])) {
			t.Fatalf("message cut short: %q", b)
		}
		m := p.got.Next(1 + int(binary.BigEndian.Uint32(b[1:])))
		if m[0] == 'E' {
			list = append(list, "E"+pgwire.ErrorField(m[5:], 'C')+pgwire.ErrorField(m[5:], 'D'))
		} else {
			list = append(list, string(m[0]))
		}
	}
	return list
}

func newServer(f *fakeCore, most int) (*Server, *pgwire.Pool) {
	bufs := pgwire.NewPool(buffers, 0)
	book, err := activesettings.NewHolder(&decide.Config{MaxRetryAfter: 500 * time.Millisecond,
		Classes: []decide.Class{{Name: "r", Deadline: time.Second},
			{Name: "w", Consistency: decide.Write, Effect: decide.Keyed, Deadline: time.Second}},
		Tenants: []decide.Tenant{{Name: "t"}}})
	if err != nil {
		panic(err)
	}
	return New(f, Config{Settings: book, MaxConnections: most, SpareConnections: 2, ReservedBuffers: 1,
		StartupTimeout: time.Second, WriteTimeout: time.Second, LingerTimeout: time.Second}, bufs, slog.New(slog.DiscardHandler)), bufs
}

func query(text string) []byte { return pgwire.Append(nil, 'Q', text, "\x00") }

const read = "/* id=1,c=r,t=t,d=400,cluster=2 */ SELECT doc FROM items WHERE id = 'k'"

// TestLimit: at its limit of connections the gateway says so, and says when to come back.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(&fakeCore{}, 0)
		a, b := net.Pipe()
		s.Handle(b)
		p := newPeer(a)
		p.write <- append(pgwire.AppendStartup(nil, "app", "shop"), query(read)...)
		synctest.Wait()
		if got := p.replies(t); !slices.Equal(got, []string{"E53300500"}) || !p.ended() {
			t.Errorf("replies %q, ended %v", got, p.ended())
		}
		close(p.write)
		_ = a.Close()
		synctest.Wait()
	})
}

// dial connects a client that writes what is given.
func dial(s *Server, text []byte) *peer {
	a, b := net.Pipe()
	s.Handle(b)
	p := newPeer(a)
	p.write <- text
	synctest.Wait()
	return p
}

// TestMakeRoom: at the limit, clients that keep a connection without asking make room: first those that
// sent nothing, then the one idle longest, but none with a request open.
func TestMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCore{}
		s, _ := newServer(f, 3)
		hello := pgwire.AppendStartup(nil, "app", "shop")
		ask := append(slices.Clone(hello), query("")...)
		idle := dial(s, ask)
		time.Sleep(2 * time.Second)
		open := dial(s, append(slices.Clone(hello), query(read)...))
		silent := dial(s, nil)
		time.Sleep(100 * time.Millisecond)
		peers := []*peer{idle, open, silent, dial(s, ask)}
		if !silent.ended() || idle.ended() {
			t.Errorf("silent ended %v, idle %v", silent.ended(), idle.ended())
		}
		peers = append(peers, dial(s, ask))
		if !idle.ended() || open.ended() {
			t.Errorf("idle ended %v, one with a request open %v", idle.ended(), open.ended())
		}
		for _, id := range []string{"id=2", "id=3"} { // those idle for a moment go as well, then nobody is left to go
			peers = append(peers, dial(s, append(slices.Clone(hello), query(strings.Replace(read, "id=1", id, 1))...)))
		}
		last := dial(s, ask)
		if got := last.replies(t); !slices.Equal(got, []string{"E53300500"}) || open.ended() {
			t.Errorf("all others in use, yet: %q", got)
		}
		for _, p := range append(peers, last) {
			close(p.write)
			_ = p.Close()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

// TestFloodLeavesBeginners: clients that come by the hundred, faster than one that has only just connected or been welcomed
// can send the rest, do not push it out: it is served. Once it has had its time, it makes room.
func TestFloodLeavesBeginners(t *testing.T) {
	hello := pgwire.AppendStartup(nil, "app", "shop")
	ask := append(slices.Clone(hello), query(read)...)
	for name, begun := range map[string]int{"connected": 0, "half a startup": 6, "welcomed": len(hello), "half a command": len(hello) + 7} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeCore{}
				s, _ := newServer(f, 2)
				peers := []*peer{dial(s, append(slices.Clone(hello), query("")...))} // has had its turn
				honest := dial(s, ask[:begun])
				for range 100 { // at one instant
					for _, text := range [][]byte{nil, hello, append(slices.Clone(hello), query("")...)} {
						peers = append(peers, dial(s, text))
					}
				}
				if honest.ended() || !peers[0].ended() {
					t.Errorf("ended: the one that begins %v, the one that has had its turn %v", honest.ended(), peers[0].ended())
				}
				honest.write <- ask[begun:]
				synctest.Wait()
				if f.arrived != 1 {
					t.Errorf("%d requests came through the flood", f.arrived)
				}
				time.Sleep(idleLeast)
				next := dial(s, bytes.Replace(ask, []byte("id=1"), []byte("id=2"), 1))
				if f.arrived != 2 {
					t.Errorf("no room for the next one, which is told %q", next.replies(t))
				}
				for _, p := range append(peers, honest, next) {
					close(p.write)
					_ = p.Close()
				}
				time.Sleep(5 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// TestEndIdle: connections idle for long end, and the longest idle where many are, but none that has only just
// had its answer or has a request open.
func TestEndIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(&fakeCore{}, 9)
		s.conf.MaxIdleConnections, s.conf.IdleTimeout = 2, 2*time.Second
		hello := pgwire.AppendStartup(nil, "app", "shop")
		peers := []*peer{dial(s, append(slices.Clone(hello), query(read)...))}
		ended := func() (n int) {
			s.endIdle()
			synctest.Wait()
			for _, p := range peers {
				if p.ended() {
					n++
				}
			}
			return n
		}
		for i, want := range []int{0, 0, 1, 2, 3} { // two are kept
			time.Sleep(150 * time.Millisecond)
			peers = append(peers, dial(s, append(slices.Clone(hello), query("")...)))
			if n := ended(); n != want {
				t.Errorf("after %d idle ones %d ended, want %d", i+1, n, want)
			}
		}
		time.Sleep(2 * time.Second)
		if n := ended(); n != 5 || peers[0].ended() {
			t.Errorf("%d of 5 long idle ended, the open one %v", n, peers[0].ended())
		}
		for _, p := range peers {
			close(p.write)
			_ = p.Close()
		}
		synctest.Wait()
	})
}

// TestStopCrosses: a command that has come when its connection is told to end, and was not read, is answered.
func TestStopCrosses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // as only a socket holds what was not read
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	s, _ := newServer(&fakeCore{}, 1)
	for range 20 {
		a, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		b, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newConn(s, b)
		c.due = time.Time{}
		if _, err := a.Write(query("")); err != nil {
			t.Fatal(err)
		}
		for c.NoPendingInput() {
			runtime.Gosched()
		}
		c.Post(message{stop: true})
		go c.serveFrom(nil)
		got, _ := io.ReadAll(a)
		if len(got) < 5 || got[0] != 'I' {
			t.Fatalf("answered %q", got)
		}
		_ = a.Close()
	}
}

// TestSilent: a client that never sends a whole command is told so, wherever it stops.
func TestSilent(t *testing.T) {
	hello := pgwire.AppendStartup(nil, "app", "shop")
	for name, text := range map[string][]byte{"nothing": nil, "half a startup": hello[:9], "startup": hello,
		"half a header": append(slices.Clone(hello), 'Q', 0), "half a command": append(slices.Clone(hello), query(read)[:40]...)} {
		synctest.Test(t, func(t *testing.T) {
			s, bufs := newServer(&fakeCore{}, 1)
			p := dial(s, text)
			time.Sleep(1100 * time.Millisecond)
			synctest.Wait()
			if got := p.replies(t); !p.ended() || len(got) == 0 || got[len(got)-1] != "E08P01" || bufs.FreeLarge() != buffers {
				t.Errorf("%s: replies %q, ended %v", name, got, p.ended())
			}
			close(p.write)
			_ = p.Close()
			synctest.Wait()
		})
	}
}

// TestSlow: a client that needs long for its startup and for each piece of a statement is served, one that never ends is not.
func TestSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, bufs := newServer(&fakeCore{}, 1)
		p := dial(s, nil)
		trickle := func(text []byte, pieces int) {
			for i := range pieces {
				time.Sleep(900 * time.Millisecond)
				p.write <- text[i*len(text)/pieces : (i+1)*len(text)/pieces]
			}
			synctest.Wait()
		}
		trickle(pgwire.AppendStartup(nil, "app", "shop"), 3)
		for range 3 {
			trickle(query("SET a = 1; -- "+strings.Repeat(" ", readSize)), 4)
		}
		if got := p.replies(t); strings.Join(got[len(got)-6:], "") != "CZCZCZ" {
			t.Errorf("replies %q", got)
		}
		trickle(query(read + strings.Repeat(" ", readSize))[:readSize], 9)
		if got := p.replies(t); !slices.Equal(got, []string{"E08P01"}) || !p.ended() || bufs.FreeLarge() != buffers {
			t.Errorf("replies %q, ended %v", got, p.ended())
		}
		close(p.write)
		_ = p.Close()
		synctest.Wait()
	})
}

// TestStartup: what comes in place of a startup message is answered plainly or closed, in time.
func TestStartup(t *testing.T) {
	ssl := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, pgwire.SSLRequest)
	for name, tc := range map[string]struct {
		in, out string
	}{
		"ssl first": {string(ssl) + string(pgwire.AppendStartup(nil, "a", "b")) + string(query("")), "NR"},
		"version 2": {"\x00\x00\x00\x08\x00\x02\x00\x00", "E"},
		"cancel":    {"\x00\x00\x00\x08\x04\xd2\x16\x2e", ""},
		"too long":  {"\xff\xff\xff\xff", "E"},
		"too short": {"\x00\x00\x00\x04", "E"},
		"silence":   {"\x00\x00", "E"},
		"http":      {"GET / HTTP/1.1\r\n\r\n", "E"},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newServer(&fakeCore{}, 1)
			a, b := net.Pipe()
			s.Handle(b)
			p := newPeer(a)
			p.write <- []byte(tc.in)
			time.Sleep(3 * time.Second)
			synctest.Wait()
			if got := p.got.String(); len(got) < len(tc.out) || got[:len(tc.out)] != tc.out || tc.out == "" && got != "" {
				t.Errorf("%s: got %q, want %q first", name, got, tc.out)
			}
			if p.ended() == (tc.out == "NR") {
				t.Errorf("%s: ended %v", name, p.ended())
			}
			close(p.write)
			_ = a.Close()
			synctest.Wait()
		})
	}
}

// TestStall: a client that stalls halfway through a statement loses its connection, and no buffer is kept.
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCore{}
		s, bufs := newServer(f, 1)
		a, b := net.Pipe()
		s.Handle(b)
		p := newPeer(a)
		p.write <- append(pgwire.AppendStartup(nil, "app", "shop"), query("")...)
		synctest.Wait()
		p.replies(t)
		time.Sleep(time.Minute) // idle clients may stay
		p.write <- query(read + strings.Repeat(" ", readSize))[:readSize]
		synctest.Wait()
		if p.ended() || bufs.FreeLarge() != buffers-1 {
			t.Errorf("ended %v, %d of %d buffers free", p.ended(), bufs.FreeLarge(), buffers)
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := p.replies(t); !slices.Equal(got, []string{"E08P01"}) || !p.ended() || bufs.FreeLarge() != buffers || f.arrived != 0 {
			t.Errorf("replies %q, ended %v, %d of %d buffers free", got, p.ended(), bufs.FreeLarge(), buffers)
		}
		close(p.write)
		_ = a.Close()
		synctest.Wait()
	})
}

// TestUnusable: a statement that would mislead members is answered with an error and never handed over: one
// under the id of an open request, or a write without its key. The id is free once its request is done with.
func TestUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCore{}
		s, _ := newServer(f, 2)
		hello := pgwire.AppendStartup(nil, "app", "shop")
		first := dial(s, append(slices.Clone(hello), query(read)...))
		second := dial(s, append(slices.Clone(hello), query(read)...))
		second.write <- query("/* id=2,c=w,d=400,cluster=2 */ INSERT INTO items (id, doc) VALUES ('a', 'b')")
		synctest.Wait()
		got := second.replies(t)
		if !slices.Equal(got[len(got)-4:], []string{"E42710", "Z", "E42601", "Z"}) || f.arrived != 1 {
			t.Errorf("replies %q, %d handed over", got, f.arrived)
		}
		close(first.write)
		_ = first.Close() // the request is done with when its client has left
		synctest.Wait()
		second.write <- query(read)
		synctest.Wait()
		if f.arrived != 2 {
			t.Error("the id is still taken")
		}
		close(second.write)
		_ = second.Close()
		synctest.Wait()
	})
}

// model is what the connection should do: the replies it owes, in the order of
// the commands, up to the first request that has no answer yet.
type model struct {
	commands []string // replies owed to each command; "" for a request still open
	skipping bool
	ended    bool // the connection must end once all before is answered
}

// step adds a command and returns its bytes.
func (m *model) step(b byte, left int) []byte {
	add := func(reply string) { m.commands = append(m.commands, reply) }
	extended := func(typ byte) []byte {
		if !m.skipping {
			add("E0A000")
		}
		m.skipping = true
		return pgwire.Append(nil, typ, "x")
	}
	switch b % 12 {
	case 0, 1, 2:
		add("")
		return query(read)
	case 3:
		add("I Z")
		return query(" ;\n")
	case 4:
		add("C Z")
		return query("set x = 1")
	case 5:
		add("E42601 Z")
		return query("SELECT 1")
	case 6:
		add("E42601 Z")
		return query("/* c=w,d=1 */ SELECT 'a'")
	case 7:
		return extended('P')
	case 8:
		return extended('E')
	case 9:
		m.skipping = false
		add("Z")
		return pgwire.Append(nil, 'S')
	case 10:
		m.ended = true
		if left%2 == 0 {
			return pgwire.Append(nil, 'X')
		}
		add("E08P01")
		return pgwire.Append(nil, 'y', "what")
	}
	m.ended = true
	add("E08P01")
	return []byte{'Q', 0xff, 0xff, 0xff, 0xff}
}

// FuzzConn plays random commands, answers, departures and shutdowns against a
// connection and holds its replies against the model. Guards: one answer a
// request and in order, none for a client that left, no buffer lost.
func FuzzConn(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 150 {
		steps := make([]byte, 4+rng.IntN(40))
		for i := range steps {
			steps[i] = byte(rng.IntN(256))
		}
		f.Add(steps)
	}
	f.Add([]byte{0, 0, 0, 200, 200, 200, 251}) // three ahead, answered in order, then shutdown
	f.Add([]byte{0, 240})                      // a client that leaves with a request open
	f.Fuzz(func(t *testing.T, steps []byte) {
		synctest.Test(t, func(t *testing.T) { playConn(t, steps[:min(len(steps), 60)]) })
	})
}

func playConn(t *testing.T, steps []byte) {
	f := &fakeCore{}
	s, bufs := newServer(f, 1)
	a, b := net.Pipe()
	s.Handle(b)
	p, m := newPeer(a), &model{}
	p.write <- pgwire.AppendStartup(nil, "app", "shop")
	synctest.Wait()
	if got := p.replies(t); len(got) < 3 || got[0] != "R" || got[len(got)-1] != "Z" {
		t.Fatalf("welcome %q", got)
	}
	want, stopped, left := []string{}, false, false
	answers := map[core.Verdict]string{core.Served: "D Z", core.Refused: "E5330070 Z", core.Failed: "E58000 Z"}
	for i, b := range steps {
		open := slices.Index(m.commands, "")
		switch {
		case b >= 250 && !stopped:
			stopped = true
			go s.Shutdown()
			m.ended = true
		case b >= 240 && i > 0:
			left = true
		case b >= 150 && open >= 0 && len(f.open) > 0:
			answer := core.Answer{Verdict: core.Verdict(b % 3), RetryAfter: 70 * time.Millisecond}
			if answer.Verdict == core.Served {
				body := bufs.Get(pgwire.LargeBufSize, 0)
				body.B = pgwire.Append(body.B, 'D', "\x00\x01\x00\x00\x00\x01v")
				answer.Body = body
			}
			q := f.open[0]
			f.open = f.open[1:]
			q.Call.Release()
			q.Client.Answer(answer)
			m.commands[open] = answers[answer.Verdict]
		case b < 150 && !m.ended && len(m.commands) < 12:
			text := m.step(b, len(steps)-i)
			cut := int(b) % (len(text) + 1) // messages come in pieces
			p.write <- text[:cut]
			synctest.Wait()
			p.write <- text[cut:]
		}
		synctest.Wait()
		if left {
			break
		}
		want = want[:0]
		for _, c := range m.commands {
			if c == "" {
				break
			}
			for _, r := range bytes.Fields([]byte(c)) {
				want = append(want, string(r))
			}
		}
		if got := p.replies(t); !slices.Equal(got, want) {
			t.Fatalf("step %d: replies %q, want %q", i, got, want)
		}
		for len(m.commands) > 0 && m.commands[0] != "" {
			m.commands = m.commands[1:]
		}
		if done := m.ended && len(m.commands) == 0; p.ended() != done {
			t.Fatalf("step %d: ended %v, want %v", i, p.ended(), done)
		}
		if len(f.open) > 1 {
			t.Fatalf("step %d: %d requests of one connection in work", i, len(f.open))
		}
	}
	close(p.write)
	_ = a.Close()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	s.Shutdown()
	if len(f.open) > 0 || bufs.FreeLarge() != buffers {
		t.Fatalf("%d requests left open, %d of %d buffers back", len(f.open), bufs.FreeLarge(), buffers)
	}
}

// TestBuffers: with no buffer to spare a query is refused, with a time to come back, and the connection goes on.
func TestBuffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, bufs := newServer(&fakeCore{}, 1)
		for range buffers - 1 {
			bufs.Get(pgwire.LargeBufSize, 0)
		}
		a, b := net.Pipe()
		s.Handle(b)
		p := newPeer(a)
		p.write <- pgwire.AppendStartup(nil, "app", "shop")
		synctest.Wait()
		p.replies(t)
		p.write <- append(query(read), query("")...)
		synctest.Wait()
		if got := fmt.Sprint(p.replies(t)); got != "[E53300500 Z E53300500 Z]" {
			t.Errorf("replies %s", got)
		}
		close(p.write)
		_ = a.Close()
		synctest.Wait()
	})
}
