// Package adminapi is where operators call the gateway: HTTP/1.1 on an address of its own, one call to a connection.
// It has its own goroutines and its own bound on connections, so that neither clients nor callers that hold
// connections keep an operator from an answer.
package adminapi

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachwind/internal/logthrottle"
	"reachwind/internal/suspend"
)

// Chosen for operators' calls, which are short, on links of any kind; no request and no setting is in them.
const (
	callMost   = 8 << 10                // bytes of a whole call
	idMost     = 256                    // bytes of a db machine's id
	wholeWait  = 10 * time.Second       // for a whole call, from the connection's start
	answerWait = 600 * time.Millisecond // for what the operator's call does
	writeWait  = time.Second
	lingerWait = 300 * time.Millisecond // of silence, for the caller to close, so that its answer is not lost by a reset,
	lingerMost = 3 * time.Second        // for as long in all
	lingerRead = 1 << 20                // and so many bytes
	retryPause = 20 * time.Millisecond  // after an accept that failed
	roomWait   = 200 * time.Millisecond // for a connection that was told to make room
	lastWait   = 50 * time.Millisecond  // for the rest of a call, of a connection that was told so with bytes unread
	lastIn     = 3 * time.Millisecond   // nobody must have come for so long before the listener is closed
	refusePart = 8                      // of the connections there is one of so many, and one at least, for callers being refused
	// closeWait is for calls that are being answered when the door is closed, and for those who asked to take their answers.
	closeWait = answerWait + lingerWait + 2*lastWait
	// A connection costs its goroutine, a small buffer and what the parser holds meanwhile.
	connMemory = 16 << 10
)

// Config holds what the door is told.
type Config struct {
	Addr           string // to listen on
	MaxConnections int    // connections at a time, half as many that are about to end, and some being refused; 0: DefaultMost
}

// DefaultMaxConnections are the connections at a time where nothing else is said.
const DefaultMaxConnections = 64

// Footprint is the most that the door holds: bytes, and descriptors with its listener.
func (c Config) Footprint() (memory int64, files int) {
	n := c.most()
	n += n/2 + c.refusals()
	return int64(n) * connMemory, n + 2
}

// refusals is how many callers may be told at a time that there is no room.
func (c Config) refusals() int { return max(1, c.most()/refusePart) }

func (c Config) most() int {
	if c.MaxConnections <= 0 {
		return DefaultMaxConnections
	}
	return c.MaxConnections
}

// Backend does what is asked for. Its methods return by the end of their context, where they have one, or at once.
type Backend interface {
	// Ready tells whether this process can serve: nil is yes.
	Ready() error
	// Suspend takes a db machine out: nil means that it is in force.
	Suspend(ctx context.Context, id string) error
	// Resume has it used again.
	Resume(ctx context.Context, id string) error
}

// NotReadyError is the error for a process that can't serve.
type NotReadyError struct {
	Found  string
	Remedy string
}

func (e NotReadyError) Error() string {
	return fmt.Sprintf("not ready: %s; want a process that accepts clients and has a list of db machines; %s", e.Found, e.Remedy)
}

// NotDoneError is the error for a call that was not done in time, and will not be.
type NotDoneError struct {
	ID     string
	Waited time.Duration
}

func (e NotDoneError) Error() string {
	return fmt.Sprintf("db machine %q: the gateway did not come to it within %v, want an answer in that time; nothing was changed, call again", e.ID, e.Waited)
}

// UnconfirmedError is the error for a call that was begun and not seen to be in force in time.
type UnconfirmedError struct{ NotDoneError }

func (e UnconfirmedError) Error() string {
	return fmt.Sprintf("db machine %q: the gateway began with it, and it was not in force within %v, want it to be in that time; it will be soon, "+
		"call again until the answer is yes", e.ID, e.Waited)
}

// badCall is the error for a call whose form is wrong.
type badCall struct {
	status           int
	found, want, fix string
}

func (e badCall) Error() string { return fmt.Sprintf("%s; want %s; %s", e.found, e.want, e.fix) }

// Endpoints are the calls there are, as errors name them.
const Endpoints = "GET /v1/readyz, POST /v1/db-machines/ID/suspend or POST /v1/db-machines/ID/resume"

// status is the HTTP status that an answer comes with.
func status(err error) int {
	var bad badCall
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &bad):
		return bad.status
	case errors.As(err, new(suspend.UnknownMemberError)):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// Server is the listener with its connections.
type Server struct {
	conf Config
	op   Backend
	log  *slog.Logger
	l    net.Listener

	mu     sync.Mutex
	conns  []*conn // the oldest first
	turned []*conn // callers being refused
	closed bool
	done   sync.WaitGroup
	freed  chan struct{} // a connection ended

	failing, room, refused logthrottle.Line
}

// conn is one connection. Its stage is changed under the door's lock.
type conn struct {
	net.Conn
	stage stage
	last  bool // its reader's: it was past its time once
}

// Read implements io.Reader. A deadline that is past hides what has come: that is read first.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.last && unread(c.Conn) {
		c.last = true
		_ = c.SetReadDeadline(time.Now().Add(lastWait))
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// stage is how far a connection has come.
type stage int

const (
	incomplete stage = iota // without a whole call
	leaving                 // told to make room, unless its call proves whole
	working                 // its call is being answered
	answered                // nothing is owed: it lingers
	hurried                 // the same, and it is to end
)

// New returns a door that asks op. It does nothing before Start.
func New(conf Config, op Backend, log *slog.Logger) *Server {
	return &Server{conf: conf, op: op, log: log, freed: make(chan struct{}, 1)}
}

// Start listens and begins to answer.
func (d *Server) Start() error {
	l, err := net.Listen("tcp", d.conf.Addr)
	if err != nil {
		return fmt.Errorf("admin_addr: can't listen on %q: %w; want a free address of this machine; name another one or end who has it", d.conf.Addr, err)
	}
	d.l = l
	d.done.Add(1)
	go d.accept()
	return nil
}

// Addr is where the door listens, once started.
func (d *Server) Addr() net.Addr { return d.l.Addr() }

// Close ends the door: who has connected is let in, whole calls are answered, callers take their answers, and what is
// open after closeWait is cut.
func (d *Server) Close() {
	d.mu.Lock()
	d.closed = true
	if l, ok := d.l.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(time.Now().Add(lastIn))
	} else {
		_ = d.l.Close()
	}
	for _, c := range d.conns {
		if c.stage == incomplete {
			c.stage = leaving
			_ = c.SetReadDeadline(time.Now())
		}
	}
	d.mu.Unlock()
	late := time.AfterFunc(closeWait, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, c := range slices.Concat(d.conns, d.turned) {
			_ = c.Close()
		}
	})
	d.done.Wait()
	late.Stop()
	_ = d.l.Close()
}

func (d *Server) accept() {
	defer d.done.Done()
	for {
		nc, err := d.l.Accept()
		if err == nil {
			d.admit(nc)
			continue
		}
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if closed || errors.Is(err, net.ErrClosed) {
			return
		}
		d.failing.Warn(d.log, "operators' accept failed", "err", err) // out of descriptors, most likely
		time.Sleep(retryPause)
	}
}

// admit takes a connection in and serves it. At the bound the one that has been longest without a whole call is told to
// make room; its goroutine ends it, unless it finds a whole call in what it has read by then. Where too many are about
// to end, or all are being answered, the new one waits for a moment, and is then told to come again.
func (d *Server) admit(nc net.Conn) {
	c := &conn{Conn: nc}
	most := d.conf.most()
	for late := time.Now().Add(roomWait); ; {
		d.mu.Lock()
		n := len(d.conns)
		if n >= most {
			d.makeRoom(n - most + 1)
		}
		if n < most+most/2 {
			if d.closed {
				c.stage = leaving
				_ = c.SetReadDeadline(time.Now().Add(lastWait))
			} else {
				_ = c.SetReadDeadline(time.Now().Add(wholeWait))
			}
			d.conns = append(d.conns, c)
			d.done.Add(1)
			d.mu.Unlock()
			go d.serve(c)
			return
		}
		left := time.Until(late)
		if left <= 0 || d.closed {
			d.refuse(c)
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		wait := time.NewTimer(left)
		select {
		case <-d.freed:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// refuse tells a caller that there is no room. One that comes while too many are told so is closed with no word. The
// caller holds the lock.
func (d *Server) refuse(c *conn) {
	n := len(d.conns)
	d.room.Warn(d.log, "operators' call refused: too many at a time", "open", n)
	if len(d.turned) >= d.conf.refusals() {
		_ = c.Close()
		return
	}
	d.turned = append(d.turned, c)
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		defer func() {
			_ = c.Close()
			d.mu.Lock()
			d.turned = slices.DeleteFunc(d.turned, func(o *conn) bool { return o == c })
			d.mu.Unlock()
		}()
		d.answer(c, badCall{http.StatusServiceUnavailable, fmt.Sprintf("%d calls are being answered", n), "fewer at a time", "call again"}, false)
	}()
}

// makeRoom has so many connections about to end: those that have their answer, and then the one that has been longest
// without a whole call. One with bytes that nobody has read yet is told last: they may make its call whole. The
// caller holds the lock.
func (d *Server) makeRoom(want int) {
	var late *conn
	for _, c := range d.conns {
		switch {
		case c.stage == answered:
			c.stage = hurried
			_ = c.SetReadDeadline(time.Now())
			want--
		case c.stage == hurried, c.stage == leaving:
			want--
		case c.stage == incomplete && late == nil && !unread(c.Conn):
			late = c
		}
	}
	for _, c := range d.conns {
		if late == nil && c.stage == incomplete {
			late = c
		}
	}
	if late != nil && want > 0 {
		late.stage = leaving
		_ = late.SetReadDeadline(time.Now())
		d.room.Warn(d.log, "operators' connection closed: no whole call, and another needs the room", "open", len(d.conns), "remote", late.RemoteAddr())
	}
}

// unread tells that bytes have come which nobody has read yet: they may make the call whole.
func unread(c net.Conn) (some bool) {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
				some = err == nil && n > 0
			})
		}
	}
	return some
}

// move notes how far a connection has come, and returns how far it had.
func (d *Server) move(c *conn, s stage) stage {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := c.stage
	c.stage = s
	return was
}

// serve reads one call and answers it.
func (d *Server) serve(c *conn) {
	defer d.done.Done()
	defer func() {
		_ = c.Close()
		d.mu.Lock()
		d.conns = slices.DeleteFunc(d.conns, func(o *conn) bool { return o == c })
		d.mu.Unlock()
		select {
		case d.freed <- struct{}{}:
		default:
		}
	}()
	call, err := read(c)
	if err != nil && !errors.As(err, new(badCall)) {
		return // it left
	}
	if was := d.move(c, working); was == leaving && err != nil { // also where its call came in the moment that it was told so
		err = badCall{http.StatusServiceUnavailable, "no whole call has come, and another caller needs the room", "the call right after connecting", "call again"}
	}
	if err == nil {
		err = d.do(call)
	}
	head := call != nil && call.Method == http.MethodHead
	d.answer(c, err, head)
	if err != nil {
		args := []any{"remote", c.RemoteAddr(), "status", status(err), "err", err}
		if call != nil {
			args = append(args, "method", call.Method, "path", call.URL.Path)
		}
		d.refused.Info(d.log, "operator's call answered no", args...)
	}
}

// answer writes an answer and ends the connection by a lingering close: the sending side is closed, and what the caller
// still sends is read, as a close over unread bytes would reset the connection and take the answer with it. Silence, time
// and bytes bound it, and makeRoom ends it sooner.
func (d *Server) answer(c *conn, err error, head bool) {
	_ = c.SetWriteDeadline(time.Now().Add(writeWait))
	if _, err := c.Write(answer(err, head)); err != nil {
		return
	}
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	c.last = false
	d.move(c, answered)
	end, b := time.Now().Add(lingerMost), make([]byte, 4<<10)
	for left := lingerRead; left > 0; {
		d.await(c, end)
		n, err := c.Read(b)
		if left -= n; err != nil {
			return
		}
	}
}

// await bounds the next read of a lingering connection, unless it is to end.
func (d *Server) await(c *conn, end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := time.Now().Add(lingerWait); c.stage == answered && until.Before(end) {
		_ = c.SetReadDeadline(until)
	} else if c.stage == answered {
		_ = c.SetReadDeadline(end)
	}
}

// do has the operator do what a call asks for.
func (d *Server) do(call *http.Request) error {
	verb, id, err := route(call.Method, call.URL)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	switch verb {
	case "suspend":
		return d.op.Suspend(ctx, id)
	case "resume":
		return d.op.Resume(ctx, id)
	}
	return d.op.Ready()
}

// route finds what a call asks for: readyz, or suspend or resume with a db machine's id.
func route(method string, u *url.URL) (verb, id string, err error) {
	path := u.EscapedPath()
	want := http.MethodPost
	if path == "/v1/readyz" {
		verb, want = "readyz", http.MethodGet
	} else {
		rest, ok := strings.CutPrefix(path, "/v1/db-machines/")
		id, verb, _ = strings.Cut(rest, "/")
		if !ok || verb != "suspend" && verb != "resume" {
			return "", "", badCall{http.StatusNotFound, fmt.Sprintf("there is no %.100q", path), Endpoints, "mend the path"}
		}
		plain, err := url.PathUnescape(id)
		if err != nil || plain == "" || len(plain) > idMost {
			return "", "", badCall{http.StatusBadRequest, fmt.Sprintf("the id %.100q is no id of a db machine", id),
				fmt.Sprintf("1 to %d bytes as discovery lists them", idMost), "mend the id"}
		}
		id = plain
	}
	if method != want {
		return "", "", badCall{http.StatusMethodNotAllowed, fmt.Sprintf("the method is %.20q", method), want, "call it with " + want}
	}
	return verb, id, nil
}

// read reads one whole call, with a body where it has one, which is not looked at.
func read(c net.Conn) (*http.Request, error) {
	in := &io.LimitedReader{R: c, N: callMost}
	call, err := http.ReadRequest(bufio.NewReaderSize(in, 1024))
	if err == nil {
		if strings.EqualFold(call.Header.Get("Expect"), "100-continue") {
			_ = c.SetWriteDeadline(time.Now().Add(writeWait))
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		_, err = io.Copy(io.Discard, call.Body)
	}
	var late net.Error
	switch {
	case err == nil && call.ProtoMajor == 1:
		return call, nil
	case err == nil:
		err = errors.New("version " + call.Proto)
	case in.N <= 0:
		return nil, badCall{http.StatusBadRequest, fmt.Sprintf("the call is longer than %d bytes", callMost), "a shorter one", "leave out headers and body"}
	case errors.As(err, &late) && late.Timeout():
		return nil, badCall{http.StatusRequestTimeout, fmt.Sprintf("no whole call in %v", wholeWait), "one call at once", "look at the caller"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &late):
		return nil, err
	}
	return nil, badCall{http.StatusBadRequest, fmt.Sprintf("this is no HTTP/1.1 call (%.100s)", err), Endpoints, "mend the caller"}
}

// answer is a whole answer, a yes for nil.
func answer(err error, head bool) []byte {
	text := "yes\n"
	if err != nil {
		text = err.Error() + "\n"
	}
	code := status(err)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n", code, http.StatusText(code), len(text))
	var bad badCall
	if errors.As(err, &bad) && code == http.StatusMethodNotAllowed {
		fmt.Fprintf(&b, "Allow: %s\r\n", bad.want)
	}
	b.WriteString("\r\n")
	if !head {
		b.WriteString(text)
	}
	return b.Bytes()
}
