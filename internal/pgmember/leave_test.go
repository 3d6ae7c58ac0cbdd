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

// line is the gateway's end of a real connection to a scripted member. While held is set, a read that was woken waits
// for it to be closed before it returns: what happens meanwhile crosses what woke it.
type line struct {
	*net.TCPConn
	mu    sync.Mutex
	held  chan struct{}
	woken chan struct{} // a read was woken and waits
}

func (l *line) Read(p []byte) (int, error) {
	n, err := l.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.mu.Lock()
		held := l.held
		l.mu.Unlock()
		if held != nil {
			l.woken <- struct{}{}
			<-held
		}
	}
	return n, err
}

// hold has woken reads wait until let is called, once.
func (l *line) hold() (let func()) {
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

// unread waits until n bytes lie unread in c's socket.
func unread(t *testing.T, c net.Conn, n int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	until(t, func() bool {
		got := 0
		_ = raw.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return got >= n
	})
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

// wires is a pool on real sockets with one scripted member, which the test plays itself.
type wires struct {
	t        *testing.T
	script   *script
	core     *core.Core
	pool     *Pool
	bufs     *pgwire.Pool
	lines    chan *line    // the gateway's ends, as they are dialled
	accepted chan net.Conn // the member's ends
	n        int

	sendBuffer int           // of the gateway's ends
	before     time.Duration // sends must be written within it, 0 = any time
}

func newWires(t *testing.T) *wires {
	w := &wires{t: t, script: &script{outcomes: map[uint64][]decide.Event{}}, bufs: pgwire.NewPool(40, 20),
		lines: make(chan *line, 16), accepted: make(chan net.Conn, 16), sendBuffer: 4096}
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
		line := &line{TCPConn: tc, woken: make(chan struct{}, 16)}
		w.lines <- line
		return line, nil
	}
	log := slog.New(slog.DiscardHandler)
	w.core = core.New(core.NewClock(), w.script, log)
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

// owner runs f on the owner's goroutine and waits for it.
func (w *wires) owner(f func()) {
	done := make(chan struct{})
	w.core.Post(func() {
		f()
		close(done)
	})
	<-done
}

// ask hands over a request of the class and has it sent to the member; value fills its statement.
func (w *wires) ask(k *decide.Class, value string) (*core.Request, *sink) {
	buf := w.bufs.Get(200+len(value), 0)
	w.n++
	buf.B = fmt.Appendf(buf.B, "/* id=%d,c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k' -- %s", w.n, value)
	st, err := pgwire.Parse(buf)
	if err != nil {
		w.t.Fatal(err)
	}
	q := &core.Request{Class: k, Deadline: w.core.Now() + time.Minute, Call: st, Client: &sink{}}
	w.core.Arrive(q)
	w.send()
	return q, q.Client.(*sink)
}

// send has the module send the last request to the member.
func (w *wires) send() {
	w.owner(func() {
		a := decide.Action{Kind: decide.Send, Request: uint64(w.n), Member: "m"}
		if w.before > 0 {
			a.WriteBy = w.core.Now() + w.before
		}
		w.script.actions = append(w.script.actions, a)
	})
	w.core.List(decide.ListError, nil) // an event, so that there is a step
}

// outcome waits for the one outcome of the last request.
func (w *wires) outcome() (e decide.Event) {
	w.t.Helper()
	until(w.t, func() (ok bool) {
		w.owner(func() {
			if all := w.script.outcomes[uint64(w.n)]; len(all) > 0 {
				e, ok = all[0], true
			}
		})
		return ok
	})
	return e
}

// welcome plays the member's side of a startup.
func (w *wires) welcome() (*line, net.Conn) {
	l, c := <-w.lines, <-w.accepted
	w.greet(c)
	return l, c
}

func (w *wires) greet(c net.Conn) {
	head := make([]byte, 4)
	_, _ = io.ReadFull(c, head)
	n, _ := pgwire.StartupLen(head)
	_, _ = io.ReadFull(c, make([]byte, n))
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")))
}

// statement reads one message off a member's connection.
func statement(t *testing.T, c net.Conn) string {
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
	readClass  = &decide.Class{Name: "r", Consistency: decide.AnyData}
	writeClass = &decide.Class{Name: "w", Consistency: decide.Write, Effect: decide.Once}
	served     = pgwire.Append(pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x00\x01v"), 'C', "SELECT 1\x00")
	told       = pgwire.AppendParameterStatus(pgwire.AppendParameterStatus(nil, "recovery", "off"), "lsn_ms", "1767225600123")
)

// idle leaves the pool with one connection that has served and is idle.
func (w *wires) idle() (*line, net.Conn) {
	w.ask(readClass, "")
	l, c := w.welcome()
	statement(w.t, c)
	_, _ = c.Write(pgwire.AppendReadyForQuery(served))
	w.outcome()
	until(w.t, func() (idle bool) {
		w.owner(func() { idle = len(w.pool.members["m"].idle) == 1 })
		return idle
	})
	return l, c
}

// nothing sees that a member's connection brings no statement: the next thing on it is end.
func nothing(t *testing.T, c net.Conn, end string) {
	t.Helper()
	if got := statement(t, c); !strings.Contains(got, end) {
		t.Errorf("the member got %.80q", got)
	}
}

// TestNoneBeginsAfterGone: of a request whose client has left or cancelled it no attempt begins, wherever it stands then:
// in the owner's hands, waiting for a connection, or at the very line before its first byte. That holds for writes too,
// which the module calls off nowhere.
func TestNoneBeginsAfterGone(t *testing.T) {
	for _, k := range []*decide.Class{readClass, writeClass} {
		for name, leave := range map[string]func(*core.Core, *core.Request){"gone": (*core.Core).Gone, "cancelled": (*core.Core).Cancel} {
			t.Run(k.Name+" "+name+" at the write", func(t *testing.T) {
				w := newWires(t)
				_, c := w.idle()
				at, on := make(chan struct{}), make(chan struct{})
				w.owner(func() {
					w.pool.beforeWrite = func(j *job) {
						at <- struct{}{}
						<-on
						if j.attempt.Request.Closed() && j.c.begin(j, w.core.Now()+time.Minute) {
							t.Error("it could still have been written")
						}
						at <- struct{}{}
					}
				})
				q, s := w.ask(k, "")
				<-at
				blocked := make(chan struct{})
				w.core.Post(func() { <-blocked }) // the owner does not hear of it: the mark alone must do
				leave(w.core, q)
				on <- struct{}{}
				<-at
				go func() { // the next one's write
					<-at
					on <- struct{}{}
					<-at
				}()
				if !q.Closed() {
					t.Error("not marked at once")
				}
				close(blocked)
				if e := w.outcome(); e.Result != decide.NotSent {
					t.Errorf("outcome %d, want not sent", e.Result)
				}
				w.ask(readClass, "the next")
				nothing(t, c, "the next")
				_, _ = c.Write(pgwire.AppendReadyForQuery(served))
				w.outcome()
				w.owner(func() {
					if want := map[string]int{"gone": 0, "cancelled": 1}[name]; len(s.answers) != want {
						t.Errorf("%d answers, want %d", len(s.answers), want)
					}
				})
			})
			t.Run(k.Name+" "+name+" in the handshake", func(t *testing.T) {
				w := newWires(t)
				q, _ := w.ask(k, "")
				<-w.lines
				c := <-w.accepted // up, but not greeted
				leave(w.core, q)
				if e := w.outcome(); e.Result != decide.NotSent {
					t.Errorf("outcome %d, want not sent", e.Result)
				}
				w.greet(c)
				w.ask(readClass, "the next")
				nothing(t, c, "the next")
			})
			t.Run(k.Name+" "+name+" before the send", func(t *testing.T) {
				w := newWires(t)
				_, c := w.idle()
				w.n++
				buf := w.bufs.Get(200, 0)
				buf.B = append(buf.B, "/* id=9,c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k'"...)
				st, _ := pgwire.Parse(buf)
				q := &core.Request{Class: k, Deadline: w.core.Now() + time.Minute, Call: st, Client: &sink{}}
				w.core.Arrive(q)
				w.owner(func() { // it leaves while the module decides to send it
					w.script.actions = append(w.script.actions, decide.Action{Kind: decide.Send, Request: uint64(w.n), Member: "m"})
					w.core.List(decide.ListError, nil)
					leave(w.core, q)
				})
				if e := w.outcome(); e.Result != decide.NotSent {
					t.Errorf("outcome %d, want not sent", e.Result)
				}
				w.ask(readClass, "the next")
				nothing(t, c, "the next")
			})
		}
	}
}

// TestStopCrossesEnd: an attempt that was handed to a connection which ends before it writes it, and is called off before
// word of that end has come, is not begun anew on another connection.
func TestStopCrossesEnd(t *testing.T) {
	w := newWires(t)
	l, c := w.idle()
	let := l.hold()
	var conn *conn
	w.owner(func() {
		conn = w.pool.members["m"].idle[0]
		w.pool.beforeWrite = func(*job) { t.Error("it was begun anew") }
	})
	w.ask(readClass, "")
	<-l.woken        // the connection has been given the job, and has not looked yet
	w.owner(func() { // who stands here until the connection has ended
		_, _ = c.Write([]byte{'N'}) // half a line, out of turn
		unread(t, l, 1)
		let()
		until(t, func() bool { return !conn.Post(order{stall: true}) })
		for a := range w.pool.jobs {
			w.pool.Stop(a, decide.Cancelled)
		}
	})
	if e := w.outcome(); e.Result != decide.NotSent {
		t.Errorf("outcome %d, want not sent", e.Result)
	}
	w.owner(func() {
		if n := len(w.script.outcomes[uint64(w.n)]); n != 1 || w.pool.Sizes().Jobs != 0 {
			t.Errorf("%d outcomes, %d jobs", n, w.pool.Sizes().Jobs)
		}
	})
}

// TestStopCrossesAnswer: what a member had told when its attempt was given up is still learnt: a whole answer is the
// answer, a role and a position in part of one are passed on with the outcome.
func TestStopCrossesAnswer(t *testing.T) {
	long := pgwire.Append(pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x9c\x40"+strings.Repeat("v", 40_000)), 'C', "SELECT 1\x00")
	for name, tc := range map[string]struct {
		before, after string // the stop
		result        decide.Result
		told          bool
	}{
		"whole":                   {"", string(pgwire.AppendReadyForQuery(append(append([]byte{}, served...), told...))), decide.Served, true},
		"begun before":            {string(served[:9]), string(pgwire.AppendReadyForQuery(append(append([]byte{}, served[9:]...), told...))), decide.Served, true},
		"long":                    {"", string(pgwire.AppendReadyForQuery(append(append([]byte{}, long...), told...))), decide.Served, true},
		"turned away":             {"", string(pgwire.AppendReadyForQuery(append(pgwire.AppendError(nil, "ERROR", "25006", "no", ""), told...))), decide.Misdirected, true},
		"told, and no more":       {"", string(told) + string(served[:7]), decide.TimedOut, true},
		"half a line":             {"", string(served[:7]), decide.TimedOut, false},
		"nothing":                 {"", "", decide.TimedOut, false},
		"half of what it told":    {"", string(told[:len(told)-2]), decide.TimedOut, false},
		"noise":                   {"", "what is this?", decide.Errored, false},
		"more than belongs to it": {"", string(pgwire.AppendReadyForQuery(append(append([]byte{}, served...), told...))) + "N", decide.Served, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWires(t)
			w.ask(readClass, "")
			l, c := w.welcome()
			statement(t, c)
			if tc.before != "" {
				_, _ = c.Write([]byte(tc.before))
				until(t, func() bool { // read
					raw, _ := l.SyscallConn()
					n := 0
					_ = raw.Control(func(fd uintptr) {
						n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
					})
					return n < 1
				})
			}
			let := l.hold()
			w.owner(func() {
				for a := range w.pool.jobs {
					w.pool.Stop(a, decide.TimedOut)
				}
			})
			<-l.woken
			_, _ = c.Write([]byte(tc.after))
			if tc.after != "" {
				unread(t, l, min(len(tc.after), 2000))
				if len(tc.after) > 2000 { // larger than the member's own buffer, so it may yet be on its way
					unread(t, l, len(tc.after))
				}
			}
			let()
			e := w.outcome()
			if e.Result != tc.result || e.HasPosition && e.Position != 1767225600123*time.Millisecond {
				t.Errorf("outcome %+v", e)
			}
			if roleTold := e.Role == decide.Primary; name != "half of what it told" && (e.HasPosition != tc.told || roleTold != tc.told) {
				t.Errorf("outcome %+v", e)
			}
			if _, err := bufio.NewReader(c).ReadByte(); err == nil { // else a part of it might be the next one's answer
				t.Error("the connection is kept")
			}
		})
	}
}

// TestWriteCutShort: a statement of which the member has taken a part is not finished once its request is over, or the
// time in which its member may still be written to: its last byte would begin an attempt then.
func TestWriteCutShort(t *testing.T) {
	for name, tc := range map[string]struct {
		end    func(w *wires, q *core.Request)
		result decide.Result
	}{
		"gone":      {func(w *wires, q *core.Request) { w.core.Gone(q) }, decide.NotSent},
		"cancelled": {func(w *wires, q *core.Request) { w.core.Cancel(q) }, decide.NotSent},
		"stopped": {func(w *wires, q *core.Request) {
			w.owner(func() {
				for a := range w.pool.jobs {
					w.pool.Stop(a, decide.Cancelled)
				}
			})
		}, decide.NotSent},
		"drains": {func(w *wires, q *core.Request) {
			w.core.List(decide.ListChange, []core.ListedMember{{Member: decide.Member{ID: "m", State: decide.Draining}}})
		}, decide.NotSent},
		"too old":     {func(w *wires, q *core.Request) {}, decide.NotSent},
		"member goes": {func(w *wires, q *core.Request) {}, decide.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWires(t)
			_, c := w.idle()
			value := strings.Repeat("x", 120_000)
			if name == "too old" {
				w.before = 2 * time.Second // of it a moment is needed to begin
			}
			q, _ := w.ask(writeClass, value)
			unread(t, c, 1) // it is being written, and does not fit
			tc.end(w, q)
			if name == "member goes" {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			if e := w.outcome(); e.Result != tc.result {
				t.Errorf("outcome %d, want %d", e.Result, tc.result)
			}
			if name != "member goes" {
				if n, _ := io.Copy(io.Discard, c); n >= int64(len(value)) {
					t.Errorf("the member got %d bytes in the end", n)
				}
			}
		})
	}
}

// TestGoneLeavesWritten: a write that is out whole when its client leaves is left to run, and what it tells is learnt.
func TestGoneLeavesWritten(t *testing.T) {
	w := newWires(t)
	q, s := w.ask(writeClass, "")
	_, c := w.welcome()
	statement(t, c)
	w.core.Gone(q)
	w.owner(func() {})
	_, _ = c.Write(pgwire.AppendReadyForQuery(append(append([]byte{}, served...), told...)))
	if e := w.outcome(); e.Result != decide.Served || !e.HasPosition || !e.Ended || len(s.answers) != 0 {
		t.Errorf("outcome %+v, %d answers", e, len(s.answers))
	}
}

// TestBrokenAfterCommand: a write whose answer breaks off between CommandComplete and its commit is served; its commit
// counts as made by now where members tell such, so that its session reads nothing older.
func TestBrokenAfterCommand(t *testing.T) {
	for _, stamps := range []bool{true, false} {
		w := newWires(t)
		_, c := w.idle()
		if stamps {
			w.ask(readClass, "")
			statement(t, c)
			_, _ = c.Write(pgwire.AppendReadyForQuery(append(append([]byte{}, served...), told...)))
			w.outcome()
		}
		before := w.core.Now()
		w.ask(writeClass, "")
		statement(t, c)
		_, _ = c.Write(served)
		_ = c.Close()
		if e := w.outcome(); e.Result != decide.Served || e.HasPosition != stamps || stamps && e.Position < before {
			t.Errorf("outcome %+v, sent at %v", e, before)
		}
	}
}

// TestGivenUpInTransit: a statement that has been written, but not yet taken in by its member, which hangs or is cut off,
// does not reach it any more once its attempt was told as given up: it would begin then, beside the next one.
func TestGivenUpInTransit(t *testing.T) {
	for _, why := range []decide.Result{decide.TimedOut, decide.Cancelled} {
		w := newWires(t)
		w.sendBuffer = 1 << 20
		_, c := w.idle()
		value := strings.Repeat("x", 120_000)
		w.ask(writeClass, value)
		unread(t, c, 1)
		var conn *conn
		w.owner(func() { conn = w.pool.members["m"].busy[0] })
		until(t, func() bool { // its write is over
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return conn.writing == nil
		})
		w.owner(func() {
			for a := range w.pool.jobs {
				w.pool.Stop(a, why)
			}
		})
		if e := w.outcome(); e.Result != why {
			t.Errorf("outcome %d, want %d", e.Result, why)
		}
		if n, _ := io.Copy(io.Discard, c); n >= int64(len(value)) {
			t.Errorf("the member got %d bytes in the end", n)
		}
	}
}

// TestClosedAsPicked: an idle connection that its member closes as it is given a request is left, and the request is
// made on another; it was written on none before. One that breaks once it is written is told as reset, of a used
// connection, and the module has the say.
func TestClosedAsPicked(t *testing.T) {
	w := newWires(t)
	l, c := w.idle()
	let := l.hold()
	_, s := w.ask(writeClass, "")
	<-l.woken // it has been given the request, and has not looked yet
	_ = c.(*net.TCPConn).CloseWrite()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	until(t, func() bool { // the end has come
		n, got := 0, error(nil)
		_ = raw.Control(func(fd uintptr) {
			n, _, got = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return n == 0 && got == nil
	})
	let()
	_, second := w.welcome()
	if n, err := io.Copy(io.Discard, c); n != 0 || err != nil {
		t.Errorf("%d bytes were written on the connection that was closing, %v", n, err)
	}
	statement(t, second)
	_, _ = second.Write(pgwire.AppendReadyForQuery(served))
	if e := w.outcome(); e.Result != decide.Served || e.Reused {
		t.Errorf("outcome %+v", e)
	}
	w.owner(func() {
		if len(s.answers) != 1 {
			t.Errorf("%d answers", len(s.answers))
		}
	})

	w.ask(writeClass, "")
	statement(t, second)
	_ = second.(*net.TCPConn).SetLinger(0)
	_ = second.Close()
	if e := w.outcome(); e.Result != decide.Reset || !e.Reused {
		t.Errorf("outcome %+v, want a reset of a used connection", e)
	}
}
