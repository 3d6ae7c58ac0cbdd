package pgmember

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/pgwire"
)

// heldConn is the gateway's end of a real connection to a scripted member. While held is set, an interrupted read
// returns only once held is closed: the test can have events happen between the interruption and the return of the
// read.
type heldConn struct {
	*net.TCPConn
	mu          sync.Mutex
	held        chan struct{}
	interrupted chan struct{} // a read was interrupted and waits
}

func (l *heldConn) Read(p []byte) (int, error) {
	n, err := l.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.mu.Lock()
		held := l.held
		l.mu.Unlock()
		if held != nil {
			l.interrupted <- struct{}{}
			<-held
		}
	}
	return n, err
}

// holdReads makes interrupted reads wait until the returned function is called, once.
func (l *heldConn) holdReads() (let func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(chan struct{})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		close(l.held)
		l.held = nil
	}
}

// waitUnread waits until c's socket holds n unread bytes.
func waitUnread(t *testing.T, c net.Conn, n int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		got := 0
		_ = raw.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return got >= n
	})
}

// waitRead waits until l's socket holds no unread bytes.
func waitRead(t *testing.T, l *heldConn) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		n := 0
		_ = raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return n < 1
	})
}

// waitFor waits until f returns true, for 20 s at most.
func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for range 20_000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the awaited condition did not come about within 20,000 polls")
}

// socketFixture is a pool on real sockets with one member, whose side the test plays.
type socketFixture struct {
	t        *testing.T
	module   *fakeModule
	core     *core.Core
	pool     *Pool
	bufs     *pgwire.Pool
	dialled  chan *heldConn // the gateway's ends, in the order of dialing
	accepted chan net.Conn  // the member's ends
	requests int            // number of requests so far; the last one's id

	sendBuffer  int           // socket send buffer of the gateway's ends, in bytes
	writeWithin time.Duration // time limit for writing each send, 0 = none
}

func newSocketFixture(t *testing.T) *socketFixture {
	w := &socketFixture{t: t, module: &fakeModule{outcomes: map[uint64][]decide.Event{}}, bufs: pgwire.NewPool(40, 20),
		dialled: make(chan *heldConn, 16), accepted: make(chan net.Conn, 16), sendBuffer: 4096}
	small := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	l, err := (&net.ListenConfig{Control: small}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			w.accepted <- c
		}
	}()
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		tc := c.(*net.TCPConn)
		_ = tc.SetWriteBuffer(w.sendBuffer)
		line := &heldConn{TCPConn: tc, interrupted: make(chan struct{}, 16)}
		w.dialled <- line
		return line, nil
	}
	log := slog.New(slog.DiscardHandler)
	w.core = core.New(core.NewClock(), w.module, log)
	w.pool = New(w.core, Config{User: "app", Database: "shop", MaxConns: 4, MemberIdleTimeout: time.Hour, ConnectTimeout: 20 * time.Second,
		DrainGrace: 50 * time.Millisecond}, w.bufs, dial, log)
	w.core.Connect(w.pool, nil)
	w.core.List(decide.ListChange, []core.ListedMember{{Addr: l.Addr().String(), Member: decide.Member{ID: "m"}}})
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		w.core.Run(ctx)
		close(ran)
	}()
	t.Cleanup(func() {
		cancel()
		<-ran
		_ = l.Close()
	})
	return w
}

// onOwner runs f on the owner goroutine and waits for it.
func (w *socketFixture) onOwner(f func()) {
	done := make(chan struct{})
	w.core.Post(func() {
		f()
		close(done)
	})
	<-done
}

// request passes the core a request of class k and has it sent to the member; value pads its statement.
func (w *socketFixture) request(k *decide.Class, value string) (*core.Request, *sink) {
	buf := w.bufs.Get(200+len(value), 0)
	w.requests++
	buf.B = fmt.Appendf(buf.B, "/* id=%d,c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k' -- %s", w.requests, value)
	st, err := pgwire.Parse(buf)
	if err != nil {
		w.t.Fatal(err)
	}
	q := &core.Request{Class: k, Deadline: w.core.Now() + time.Minute, Call: st, Client: &sink{}}
	w.core.Arrive(q)
	w.send()
	return q, q.Client.(*sink)
}

// send makes the fake module send the last request to the member.
func (w *socketFixture) send() {
	w.onOwner(func() {
		a := decide.Action{Kind: decide.Send, Request: uint64(w.requests), Member: "m"}
		if w.writeWithin > 0 {
			a.WriteBy = w.core.Now() + w.writeWithin
		}
		w.module.actions = append(w.module.actions, a)
	})
	w.core.List(decide.ListError, nil) // an event, which causes a step
}

// outcome waits for the one outcome of the last request.
func (w *socketFixture) outcome() (e decide.Event) {
	w.t.Helper()
	waitFor(w.t, func() (ok bool) {
		w.onOwner(func() {
			if all := w.module.outcomes[uint64(w.requests)]; len(all) > 0 {
				e, ok = all[0], true
			}
		})
		return ok
	})
	return e
}

// acceptStartup accepts a connection and plays the member's side of its startup.
func (w *socketFixture) acceptStartup() (*heldConn, net.Conn) {
	l, c := <-w.dialled, <-w.accepted
	w.answerStartup(c)
	return l, c
}

// answerStartup plays the member's side of the startup on c.
func (w *socketFixture) answerStartup(c net.Conn) {
	head := make([]byte, 4)
	_, _ = io.ReadFull(c, head)
	n, _ := pgwire.StartupLen(head)
	_, _ = io.ReadFull(c, make([]byte, n))
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")))
}

// readStatement reads the marker and a statement from the member's end of a connection, answers the marker, and returns the
// statement.
func readStatement(t *testing.T, c net.Conn) string {
	t.Helper()
	if marker := readQuery(t, c); marker != "\x00" {
		t.Errorf("the member got %.80q, want the marker", marker)
	}
	_, _ = c.Write(markerAnswer)
	return readQuery(t, c)
}

// readQuery reads one message from the member's end of a connection and returns its body.
func readQuery(t *testing.T, c net.Conn) string {
	t.Helper()
	head := make([]byte, 5)
	if _, err := io.ReadFull(c, head); err != nil {
		t.Fatal(err)
	}
	_, n, err := pgwire.Header(head)
	if err != nil {
		t.Fatal(err)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(c, body); err != nil {
		t.Fatal(err)
	}
	return string(body)
}

var (
	readClass       = &decide.Class{Name: "r", Consistency: decide.AnyData}
	writeClass      = &decide.Class{Name: "w", Consistency: decide.Write, Effect: decide.Once}
	servedAnswer    = pgwire.Append(pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x00\x01v"), 'C', "SELECT 1\x00")
	roleAndPosition = pgwire.AppendParameterStatus(pgwire.AppendParameterStatus(nil, "recovery", "off"), "lsn_ms", "1767225600123")
)

// idleConn leaves the pool with one connection that has served and is idle.
func (w *socketFixture) idleConn() (*heldConn, net.Conn) {
	w.request(readClass, "")
	l, c := w.acceptStartup()
	readStatement(w.t, c)
	_, _ = c.Write(pgwire.AppendReadyForQuery(servedAnswer))
	w.outcome()
	waitFor(w.t, func() (idle bool) {
		w.onOwner(func() { idle = len(w.pool.members["m"].idle) == 1 })
		return idle
	})
	return l, c
}

// wantOnlyStatement checks that no other statement precedes end on a member's connection.
func wantOnlyStatement(t *testing.T, c net.Conn, end string) {
	t.Helper()
	if got := readStatement(t, c); !strings.Contains(got, end) {
		t.Errorf("the member got %.80q", got)
	}
}

// TestNoAttemptAfterClientGone: once a request's client has left or cancelled it, no attempt of it begins, whatever its
// state: with the owner goroutine, waiting for a connection, or right before its first byte is written. That includes
// writes, which the module never cancels.
func TestNoAttemptAfterClientGone(t *testing.T) {
	for _, k := range []*decide.Class{readClass, writeClass} {
		for name, leave := range map[string]func(*core.Core, *core.Request){"gone": (*core.Core).Gone, "cancelled": (*core.Core).Cancel} {
			t.Run(k.Name+" "+name+" at the write", func(t *testing.T) {
				w := newSocketFixture(t)
				_, c := w.idleConn()
				at, on := make(chan struct{}), make(chan struct{})
				w.onOwner(func() {
					w.pool.beforeWrite = func(j *job) {
						at <- struct{}{}
						<-on
						if j.attempt.Request.Closed() && j.conn.beginWrite(j, w.core.Now()+time.Minute) {
							t.Error("it could still have been written")
						}
						at <- struct{}{}
					}
				})
				q, s := w.request(k, "")
				<-at
				blocked := make(chan struct{})
				w.core.Post(func() { <-blocked }) // the owner cannot react: the request's mark alone must suffice
				leave(w.core, q)
				on <- struct{}{}
				<-at
				go func() { // lets the next request be written
					<-at
					on <- struct{}{}
					<-at
				}()
				if !q.Closed() {
					t.Error("the request is not marked as closed at once")
				}
				close(blocked)
				if e := w.outcome(); e.Result != decide.NotSent {
					t.Errorf("outcome %d, want not sent", e.Result)
				}
				w.request(readClass, "the next")
				wantOnlyStatement(t, c, "the next")
				_, _ = c.Write(pgwire.AppendReadyForQuery(servedAnswer))
				w.outcome()
				w.onOwner(func() {
					if want := map[string]int{"gone": 0, "cancelled": 1}[name]; len(s.answers) != want {
						t.Errorf("%d answers, want %d", len(s.answers), want)
					}
				})
			})
			t.Run(k.Name+" "+name+" in the handshake", func(t *testing.T) {
				w := newSocketFixture(t)
				q, _ := w.request(k, "")
				<-w.dialled
				c := <-w.accepted // established, but the startup is not answered
				leave(w.core, q)
				if e := w.outcome(); e.Result != decide.NotSent {
					t.Errorf("outcome %d, want not sent", e.Result)
				}
				w.answerStartup(c)
				w.request(readClass, "the next")
				wantOnlyStatement(t, c, "the next")
			})
			t.Run(k.Name+" "+name+" before the send", func(t *testing.T) {
				w := newSocketFixture(t)
				_, c := w.idleConn()
				w.requests++
				buf := w.bufs.Get(200, 0)
				buf.B = append(buf.B, "/* id=9,c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k'"...)
				st, _ := pgwire.Parse(buf)
				q := &core.Request{Class: k, Deadline: w.core.Now() + time.Minute, Call: st, Client: &sink{}}
				w.core.Arrive(q)
				w.onOwner(func() { // the client leaves while the module decides to send the request
					w.module.actions = append(w.module.actions, decide.Action{Kind: decide.Send, Request: uint64(w.requests), Member: "m"})
					w.core.List(decide.ListError, nil)
					leave(w.core, q)
				})
				if e := w.outcome(); e.Result != decide.NotSent {
					t.Errorf("outcome %d, want not sent", e.Result)
				}
				w.request(readClass, "the next")
				wantOnlyStatement(t, c, "the next")
			})
		}
	}
}

// TestStopWhileConnectionEnds: an attempt is given to a connection that ends before it writes it. If the attempt is
// cancelled before that end is reported, it is not restarted on another connection.
func TestStopWhileConnectionEnds(t *testing.T) {
	w := newSocketFixture(t)
	l, c := w.idleConn()
	release := l.holdReads()
	var conn *conn
	w.onOwner(func() {
		conn = w.pool.members["m"].idle[0]
		w.pool.beforeWrite = func(*job) { t.Error("the job was restarted") }
	})
	w.request(readClass, "")
	<-l.interrupted    // the connection was given the job, and has not taken it yet
	w.onOwner(func() { // keeps the owner busy until the connection has ended
		_, _ = c.Write([]byte{'N'}) // part of a message, out of turn
		waitUnread(t, l, 1)
		release()
		waitFor(t, func() bool { return !conn.Post(order{checkStall: true}) })
		for a := range w.pool.jobs {
			w.pool.Stop(a, decide.Cancelled)
		}
	})
	if e := w.outcome(); e.Result != decide.NotSent {
		t.Errorf("outcome %d, want not sent", e.Result)
	}
	w.onOwner(func() {
		if n := len(w.module.outcomes[uint64(w.requests)]); n != 1 || w.pool.Sizes().Jobs != 0 {
			t.Errorf("%d outcomes, %d jobs", n, w.pool.Sizes().Jobs)
		}
	})
}

// TestStopWhileAnswerArrives: what a member had sent when its attempt was abandoned is still used: a whole answer is
// the answer, and a role and a position in a partial one are reported with the outcome.
func TestStopWhileAnswerArrives(t *testing.T) {
	long := pgwire.Append(pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x9c\x40"+strings.Repeat("v", 40_000)), 'C', "SELECT 1\x00")
	for name, tc := range map[string]struct {
		before, after string // the stop
		result        decide.Result
		reported      bool
	}{
		"whole":                  {"", string(pgwire.AppendReadyForQuery(append(append([]byte{}, servedAnswer...), roleAndPosition...))), decide.Served, true},
		"begun before":           {string(servedAnswer[:9]), string(pgwire.AppendReadyForQuery(append(append([]byte{}, servedAnswer[9:]...), roleAndPosition...))), decide.Served, true},
		"long":                   {"", string(pgwire.AppendReadyForQuery(append(append([]byte{}, long...), roleAndPosition...))), decide.Served, true},
		"refused":                {"", string(pgwire.AppendReadyForQuery(append(pgwire.AppendError(nil, "ERROR", "25006", "no", ""), roleAndPosition...))), decide.Misdirected, true},
		"role and position only": {"", string(roleAndPosition) + string(servedAnswer[:7]), decide.TimedOut, true},
		"part of an answer":      {"", string(servedAnswer[:7]), decide.TimedOut, false},
		"nothing":                {"", "", decide.TimedOut, false},
		"part of a position":     {"", string(roleAndPosition[:len(roleAndPosition)-2]), decide.TimedOut, false},
		"noise":                  {"", "what is this?", decide.Errored, false},
		"surplus bytes":          {"", string(pgwire.AppendReadyForQuery(append(append([]byte{}, servedAnswer...), roleAndPosition...))) + "N", decide.Served, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSocketFixture(t)
			w.request(readClass, "")
			l, c := w.acceptStartup()
			readStatement(t, c)
			if tc.before != "" {
				_, _ = c.Write([]byte(tc.before))
				waitRead(t, l)
			}
			release := l.holdReads()
			w.onOwner(func() {
				for a := range w.pool.jobs {
					w.pool.Stop(a, decide.TimedOut)
				}
			})
			<-l.interrupted
			_, _ = c.Write([]byte(tc.after))
			if tc.after != "" {
				waitUnread(t, l, min(len(tc.after), 2000))
				if len(tc.after) > 2000 { // larger than the member's send buffer, so a part may still be in transit
					waitUnread(t, l, len(tc.after))
				}
			}
			release()
			e := w.outcome()
			if e.Result != tc.result || e.HasPosition && e.Position != 1767225600123*time.Millisecond {
				t.Errorf("outcome %+v", e)
			}
			if roleReported := e.Role == decide.Primary; name != "part of a position" && (e.HasPosition != tc.reported || roleReported != tc.reported) {
				t.Errorf("outcome %+v", e)
			}
			if _, err := bufio.NewReader(c).ReadByte(); err == nil { // otherwise the rest of it might be taken for the next request's answer
				t.Error("the connection is kept")
			}
		})
	}
}

// TestWriteCutShort: a partly written statement is not finished once its request is over or the member may no longer be
// written to: its last byte would start an attempt then.
func TestWriteCutShort(t *testing.T) {
	for name, tc := range map[string]struct {
		end    func(w *socketFixture, q *core.Request)
		result decide.Result
	}{
		"gone":      {func(w *socketFixture, q *core.Request) { w.core.Gone(q) }, decide.NotSent},
		"cancelled": {func(w *socketFixture, q *core.Request) { w.core.Cancel(q) }, decide.NotSent},
		"stopped": {func(w *socketFixture, q *core.Request) {
			w.onOwner(func() {
				for a := range w.pool.jobs {
					w.pool.Stop(a, decide.Cancelled)
				}
			})
		}, decide.NotSent},
		"drains": {func(w *socketFixture, q *core.Request) {
			w.core.List(decide.ListChange, []core.ListedMember{{Member: decide.Member{ID: "m", State: decide.Draining}}})
		}, decide.NotSent},
		"too old":       {func(w *socketFixture, q *core.Request) {}, decide.NotSent},
		"member closes": {func(w *socketFixture, q *core.Request) {}, decide.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSocketFixture(t)
			_, c := w.idleConn()
			value := strings.Repeat("x", 120_000)
			if name == "too old" {
				w.writeWithin = 2 * time.Second // long enough for the write to begin
			}
			q, _ := w.request(writeClass, value)
			waitUnread(t, c, 1) // the write is under way, and does not fit the buffers
			tc.end(w, q)
			if name == "member closes" {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			if e := w.outcome(); e.Result != tc.result {
				t.Errorf("outcome %d, want %d", e.Result, tc.result)
			}
			if name != "member closes" {
				if n, _ := io.Copy(io.Discard, c); n >= int64(len(value)) {
					t.Errorf("the member got all %d bytes in the end", n)
				}
			}
		})
	}
}

// TestClientGoneAfterWrite: a write that was sent whole when its client leaves may run to its end, and its answer is
// used.
func TestClientGoneAfterWrite(t *testing.T) {
	w := newSocketFixture(t)
	q, s := w.request(writeClass, "")
	_, c := w.acceptStartup()
	readStatement(t, c)
	w.core.Gone(q)
	w.onOwner(func() {})
	_, _ = c.Write(pgwire.AppendReadyForQuery(append(append([]byte{}, servedAnswer...), roleAndPosition...)))
	if e := w.outcome(); e.Result != decide.Served || !e.HasPosition || !e.Ended || len(s.answers) != 0 {
		t.Errorf("outcome %+v, %d answers", e, len(s.answers))
	}
}

// TestBrokenAfterCommand: a write whose answer breaks off between CommandComplete and the position of its commit is
// served. If members report positions, the present time is its position, so that its session reads nothing older.
func TestBrokenAfterCommand(t *testing.T) {
	for _, stamps := range []bool{true, false} {
		w := newSocketFixture(t)
		_, c := w.idleConn()
		if stamps {
			w.request(readClass, "")
			readStatement(t, c)
			_, _ = c.Write(pgwire.AppendReadyForQuery(append(append([]byte{}, servedAnswer...), roleAndPosition...)))
			w.outcome()
		}
		before := w.core.Now()
		w.request(writeClass, "")
		readStatement(t, c)
		_, _ = c.Write(servedAnswer)
		_ = c.Close()
		if e := w.outcome(); e.Result != decide.Served || e.HasPosition != stamps || stamps && e.Position < before {
			t.Errorf("outcome %+v, sent at %v", e, before)
		}
	}
}

// TestAbandonedInTransit: a statement was written, but its member, which hangs or is cut off, has not received it yet.
// Once its attempt was reported as abandoned it must not reach the member: it would run beside the next attempt.
func TestAbandonedInTransit(t *testing.T) {
	for _, why := range []decide.Result{decide.TimedOut, decide.Cancelled} {
		w := newSocketFixture(t)
		w.sendBuffer = 1 << 20
		_, c := w.idleConn()
		value := strings.Repeat("x", 120_000)
		w.request(writeClass, value)
		waitUnread(t, c, 1)
		var conn *conn
		w.onOwner(func() { conn = w.pool.members["m"].busy[0] })
		waitFor(t, func() bool { // its write is over
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return conn.writing == nil
		})
		w.onOwner(func() {
			for a := range w.pool.jobs {
				w.pool.Stop(a, why)
			}
		})
		if e := w.outcome(); e.Result != why {
			t.Errorf("outcome %d, want %d", e.Result, why)
		}
		if n, _ := io.Copy(io.Discard, c); n >= int64(len(value)) {
			t.Errorf("the member got all %d bytes in the end", n)
		}
	}
}

// TestClosedWhenAssigned: if the member closes an idle connection as it is given a request, the request is not written
// on it, but on another connection. If the connection breaks once the request is written, the outcome is a reset of a
// reused connection, and the module decides what follows.
func TestClosedWhenAssigned(t *testing.T) {
	w := newSocketFixture(t)
	l, c := w.idleConn()
	release := l.holdReads()
	_, s := w.request(writeClass, "")
	<-l.interrupted // the connection was given the request, and has not taken it yet
	_ = c.(*net.TCPConn).CloseWrite()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { // the close has arrived
		n, got := 0, error(nil)
		_ = raw.Control(func(fd uintptr) {
			n, _, got = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return n == 0 && got == nil
	})
	release()
	_, second := w.acceptStartup()
	if n, err := io.Copy(io.Discard, c); n != 0 || err != nil {
		t.Errorf("%d bytes were written on the closing connection, %v", n, err)
	}
	readStatement(t, second)
	_, _ = second.Write(pgwire.AppendReadyForQuery(servedAnswer))
	if e := w.outcome(); e.Result != decide.Served || e.Reused {
		t.Errorf("outcome %+v", e)
	}
	w.onOwner(func() {
		if len(s.answers) != 1 {
			t.Errorf("%d answers", len(s.answers))
		}
	})

	w.request(writeClass, "")
	readStatement(t, second)
	_ = second.(*net.TCPConn).SetLinger(0)
	_ = second.Close()
	if e := w.outcome(); e.Result != decide.Reset || !e.Reused {
		t.Errorf("outcome %+v, want a reset of a reused connection", e)
	}
}
