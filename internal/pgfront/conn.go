package pgfront

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
	"reachwind/internal/wake"
)

const readSize = 4 << 10 // initial size of a read buffer in bytes

// message is a message that other goroutines post to a connection: an answer, an expired timeout or a request to stop.
type message struct {
	request *core.Request
	answer  core.Answer
	stop    bool // close once idle
	last    bool // with stop: do not wait for the rest of a partial message
	expire  int  // number of the read whose timeout expired
	passed  bool // the answer was streamed; tail is the rest of it, nil: it was cut short
	tail    []byte
}

// conn is one client connection.
type conn struct {
	*wake.Conn[message]
	s        *Server
	refuse   bool // too many connections: answer with an error and close
	reads    int  // counts the starts and ends of reads with a timeout; odd during such a read
	stopping bool
	last     bool // the process ends very soon: complete messages are answered, partial ones are not waited for
	skipping bool // an extended query was refused: skip messages up to its Sync
	answered []message
	arrivals arrivals      // arrival times of the bytes in the reader
	out      []byte        // buffer for small answers
	timer    *time.Timer   // of the read with a timeout
	wait     time.Duration // that read ends after so long without bytes,
	until    time.Time     // and at this time at the latest
	due      time.Time     // deadline for the start of the startup, then of the first command; zero once that is complete

	// Guarded by Server.mu.
	spoke     bool      // a byte has been received
	asked     bool      // the first command has been received
	leaving   bool      // asked to stop, to make room
	idleSince time.Time // zero while a command is in progress
	key       key       // identifies the connection in cancel requests

	work atomic.Pointer[core.Request] // the request that a cancel request would cancel; set before it is passed to the core
}

var (
	errGone     = errors.New("client has gone")
	errEnd      = errors.New("end of connection")
	errTooSlow  = errors.New("message took too long to come")
	errSevered  = errors.New("stopping")
	errPassed   = errors.New("passed on")
	errProtocol = errors.New("protocol violation")
	errCut      = errors.New("answer cut short")
	errInUse    = errors.New("a request with this id is in work")
)

func newConn(s *Server, nc net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: wake.New[message](nc, readSize), s: s, idleSince: now, due: now.Add(s.conf.StartWait)}
	c.Came = func(n int) { c.arrivals.came(n, s.core.Now()) }
	return c
}

// client receives the answer to one request of a connection.
type client struct {
	c       *conn
	request *core.Request
}

// Answer posts the answer to the connection's goroutine.
func (k client) Answer(a core.Answer) {
	if !k.c.Leave(message{request: k.request, answer: a}) && a.Body != nil {
		a.Body.Release()
	}
}

// serve runs the connection until it is closed.
func (c *conn) serve() { c.serveFrom(c.startup()) }

// serveFrom runs the connection after the startup, which returned err.
func (c *conn) serveFrom(err error) {
	defer func() { c.s.ahead.Add(-int64(c.R.Size() - readSize)) }()
	for err == nil {
		err = c.next()
	}
	if errors.Is(err, pgwire.ErrTooLong) || errors.Is(err, errProtocol) || errors.Is(err, errTooSlow) {
		c.s.broken.Info(c.s.log, "client broke the protocol", "err", err)
		_ = c.fatal(pgwire.ProtocolViolation, err.Error(), "")
	}
	for _, m := range append(c.answered, c.Shut()...) {
		if m.answer.Body != nil {
			m.answer.Body.Release()
		}
	}
	if errors.Is(err, errPassed) || hasLeft(err) {
		_ = c.Conn.Close()
		return
	}
	c.s.linger(c)
}

// hasLeft reports whether err, which ended a connection, means that the client has closed it. No lingering close is needed
// then, as the client no longer reads answers that a reset could lose.
func hasLeft(err error) bool {
	for _, e := range []error{errGone, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// woken handles the messages in the mailbox.
func (c *conn) woken() error {
	for _, m := range c.Take() {
		switch {
		case m.request != nil:
			c.answered = append(c.answered, m)
		case m.stop:
			c.stopping = true
			if m.last && !c.last {
				c.last = true
				c.hurry()
			}
		case m.expire == c.reads:
			left := min(c.wait-c.Silent(), time.Until(c.until))
			switch {
			case left > 0:
				c.look(left)
			case c.last:
				return errSevered
			default:
				return errTooSlow
			}
		}
	}
	return nil
}

// limit sets timeouts for reads until stop is called: they fail once no byte has arrived for wait, and after most in any
// case. So a silent client cannot keep a connection, and one that stalls within a message cannot keep a buffer.
func (c *conn) limit(wait, most time.Duration) (stop func()) {
	c.reads++
	c.wait, c.until = wait, time.Now().Add(most)
	c.look(wait)
	read := c.reads
	return func() {
		if c.reads == read { // it may be called again
			c.timer.Stop()
			c.reads++
		}
	}
}

// look has the connection's goroutine check the timeouts of the current read after the given time.
func (c *conn) look(after time.Duration) {
	read := c.reads
	c.timer = time.AfterFunc(after, func() { c.Leave(message{expire: read}) })
}

// limitMessage sets the timeouts for the rest of a message that has begun: StartupTimeout without bytes, four times that in
// total.
func (c *conn) limitMessage() (stop func()) {
	wait := c.s.conf.StartWait
	if c.last {
		wait = min(wait, lastWait)
	}
	return c.limit(wait, 4*c.s.conf.StartWait)
}

const lastWait = 10 * time.Millisecond // timeout without bytes for the rest of a message when the process ends

// hurry shortens the timeout of the current read, if it has one.
func (c *conn) hurry() {
	if c.reads%2 == 1 && c.wait > lastWait {
		c.timer.Stop()
		c.wait = lastWait
		c.look(lastWait)
	}
}

// idle handles the mailbox between messages, where a stopping connection ends.
// A command may be unread in the socket because the deadline that interrupted the
// read hides it. It is served first: closing the connection over unread bytes would
// reset it, and the client could lose the previous answer.
func (c *conn) idle() error {
	if err := c.woken(); err != nil {
		return err
	}
	return c.parts(true)
}

// parts decides whether a stopping connection ends here: errPassed means that another process has accepted it, with whatever
// arrives on it; errSevered that no bytes wait to be read; nil that it is still served. A command that arrives after this
// check is not served: its client finds the connection closed and retries.
func (c *conn) parts(began bool) error {
	switch {
	case !c.stopping:
		return nil
	case c.R.Buffered() == 0 && c.s.pass(c.Conn.Conn, began):
		return errPassed
	case c.Quiet():
		return errSevered
	}
	return nil
}

// startup reads the startup message and answers it up to the first ReadyForQuery.
func (c *conn) startup() error {
	wait := time.Until(c.due)
	if c.refuse {
		wait = c.s.conf.RefuseWait
	}
	stop := c.limit(wait, wait)
	woken := func() error {
		if err := c.woken(); err != nil {
			return err
		}
		return c.parts(false)
	}
	_, err := c.Peek(1, woken)
	stop()
	if err != nil {
		return err
	}
	c.s.heard(c)
	woken = c.woken // a startup message that has begun is read by this process
	if c.refuse {
		defer c.limit(wait, wait)()
	} else {
		defer c.limitMessage()()
	}
	for {
		head, err := c.Peek(4, woken)
		if err != nil {
			return err
		}
		n, err := pgwire.StartupLen(head)
		if err != nil {
			return err
		}
		body := make([]byte, n)
		_, _ = c.R.Discard(4)
		if err := c.Fill(body, woken); err != nil {
			return err
		}
		switch version := binary.BigEndian.Uint32(body); {
		case version == pgwire.SSLRequest, version == pgwire.GSSENCRequest:
			if err := c.write([]byte{'N'}); err != nil {
				return err
			}
			continue
		case version == pgwire.CancelRequest:
			c.s.cancel(body)
			return errEnd
		case version>>16 != 3:
			return fmt.Errorf("%w: version %d.%d", errProtocol, version>>16, version&0xffff)
		}
		break
	}
	if c.refuse {
		if err := c.fatal(pgwire.TooManyConnections, "too many connections", c.comeBack()); err != nil {
			return err
		}
		return errEnd
	}
	out := pgwire.Append(c.out[:0], 'R', "\x00\x00\x00\x00")
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}} {
		out = pgwire.AppendStatus(out, p[0], p[1])
	}
	out = pgwire.Append(out, 'K', c.s.newKey(c))
	c.out = pgwire.AppendReady(out)
	c.due = time.Now().Add(c.s.conf.StartWait)
	return c.write(c.out)
}

// next reads one message and answers it.
func (c *conn) next() error {
	if err := c.parts(true); err != nil {
		return err
	}
	c.s.idle(c)
	c.arrivals.forget(c.R.Buffered())
	stop := func() {}
	if !c.due.IsZero() { // guards against clients that connect and never send a command
		left := time.Until(c.due)
		stop = c.limit(left, left)
	}
	_, err := c.Peek(1, c.idle)
	stop()
	if err != nil {
		return err
	}
	c.s.busy(c)
	if c.R.Buffered() < 5 {
		stop = c.limitMessage()
	}
	head, err := c.Peek(5, c.woken)
	stop()
	if err != nil {
		return err
	}
	typ, n, err := pgwire.Header(head)
	if err != nil {
		return err
	}
	_, _ = c.R.Discard(5)
	if typ == 'Q' {
		return c.query(n)
	}
	if err := c.skip(n); err != nil {
		return err
	}
	switch typ {
	case 'X':
		return errEnd
	case 'S':
		c.skipping = false
		return c.write(pgwire.AppendReady(c.out[:0]))
	case 'H': // Flush: every answer is already flushed
		return nil
	case 'P', 'B', 'D', 'E', 'C', 'F':
		if c.skipping {
			return nil
		}
		c.skipping = typ != 'F'
		c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.Unsupported, "only simple queries are served", "")
		if typ == 'F' {
			c.out = pgwire.AppendReady(c.out)
		}
		return c.write(c.out)
	}
	return fmt.Errorf("%w: message type %q", errProtocol, typ)
}

// skip discards n bytes.
func (c *conn) skip(n int) error {
	defer c.limitMessage()()
	for n > 0 {
		if _, err := c.Peek(1, c.woken); err != nil {
			return err
		}
		m, _ := c.R.Discard(min(n, c.R.Buffered()))
		n -= m
	}
	c.due = time.Time{}
	return nil
}

// query reads a statement of n bytes and answers it.
func (c *conn) query(n int) error {
	if n < 1 {
		return fmt.Errorf("%w: query without end", errProtocol)
	}
	stop := func() {}
	if c.R.Buffered() < n {
		stop = c.limitMessage()
	}
	buf, err := c.text(n)
	stop()
	if err != nil {
		return err
	}
	if buf == nil {
		return c.full(n)
	}
	c.due = time.Time{}
	came := c.arrivals.last(c.R.Buffered(), c.s.core.Now()) // the deadline counts from the arrival of the last byte
	if buf.B[n-1] != 0 {
		buf.Release()
		return fmt.Errorf("%w: query without end", errProtocol)
	}
	buf.B = buf.B[:n-1]
	if out, ok := local(c.out[:0], buf.B); ok {
		buf.Release()
		c.out = pgwire.AppendReady(out)
		return c.write(c.out)
	}
	q, err := c.request(buf, came)
	if err != nil {
		buf.Release()
		code, why := pgwire.SyntaxError, record.Invalid
		if errors.Is(err, errInUse) {
			code, why = pgwire.DuplicateObject, record.InUse
		}
		c.s.core.Turned(front, record.Failed, why)
		c.out = pgwire.AppendError(c.out[:0], "ERROR", code, err.Error(), "")
		c.out = pgwire.AppendReady(c.out)
		return c.write(c.out)
	}
	q.Client = client{c, q}
	c.work.Store(q)
	c.s.core.Arrive(q)
	m, err := c.await(q)
	if err != nil {
		c.s.core.Gone(q)
		return err
	}
	if s, ok := m.answer.Body.(*pgwire.Stream); ok {
		return c.pass(q, s)
	}
	if m.answer.Cancelled {
		return c.cancelled()
	}
	return c.answer(m.answer)
}

// pass streams an answer. Meanwhile the member's goroutine owns the sending side of the connection; this one continues to
// read, and detects that the client closes the connection.
func (c *conn) pass(q *core.Request, s *pgwire.Stream) error {
	s.Start(&lent{c: c, end: time.Now().Add(passMost)}, func(tail []byte) {
		c.Leave(message{request: q, passed: true, tail: tail})
	})
	m, err := c.await(q)
	switch {
	case err != nil:
		c.s.core.Gone(q)
		return err
	case m.tail == nil: // the client detects the truncated answer by the end of the connection
		return errCut
	}
	return c.write(pgwire.AppendReady(m.tail))
}

const passMost = time.Minute // timeout for streaming an answer, however fast the client and the member are

// lent is the sending side of a client connection while an answer is streamed.
type lent struct {
	c   *conn
	end time.Time
}

// Write writes all of b or fails: the client must read some bytes within WriteTimeout, and all of them by end.
func (l *lent) Write(b []byte) (done int, err error) {
	for done < len(b) && err == nil {
		until := time.Now().Add(l.c.s.conf.WriteWait)
		if until.After(l.end) {
			until = l.end
		}
		_ = l.c.SetWriteDeadline(until)
		var n int
		n, err = l.c.Conn.Conn.Write(b[done:])
		done += n
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(l.end) {
			err = nil
		}
	}
	return done, err
}

// text reads the n bytes of a query into a buffer; it returns nil if none is available.
func (c *conn) text(n int) (*pgwire.Buf, error) {
	if n <= c.R.Size() { // guards against clients that send part of a statement and thus keep a buffer
		if _, err := c.Peek(n, c.woken); err != nil {
			return nil, err
		}
	}
	buf := c.s.bufs.Get(n, c.s.conf.Keep)
	if buf == nil {
		return nil, nil
	}
	buf.B = buf.B[:n]
	if err := c.Fill(buf.B, c.woken); err != nil {
		buf.Release()
		return nil, err
	}
	return buf, nil
}

// full refuses a query of n bytes for which no buffer is available.
func (c *conn) full(n int) error {
	if err := c.skip(n); err != nil {
		return err
	}
	c.s.core.Turned(front, record.Refused, record.Buffers)
	c.s.full.Warn(c.s.log, "request refused: out of buffers")
	c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.TooManyConnections, "too many requests", c.comeBack())
	return c.write(pgwire.AppendReady(c.out))
}

// local answers statements that need no member: empty queries, and session settings, which have no effect.
func local(out, text []byte) ([]byte, bool) {
	if pgwire.Empty(text) {
		return pgwire.Append(out, 'I'), true
	}
	switch verb := pgwire.Verb(text); verb {
	case "SET", "RESET", "DISCARD":
		return pgwire.Append(out, 'C', verb, "\x00"), true
	}
	return out, false
}

// request makes a request from the statement in buf. came is the arrival time of its last byte.
func (c *conn) request(buf *pgwire.Buf, came core.Time) (*core.Request, error) {
	st, err := pgwire.Parse(buf)
	if err != nil {
		return nil, err
	}
	t := c.s.conf.Terms.Now()
	k, ok := t.Class(st.Class, came)
	if !ok {
		return nil, fmt.Errorf("unknown class %.40q", st.Class)
	}
	switch {
	case st.Read == k.Writes():
		return nil, fmt.Errorf("class %q takes no such statement", st.Class)
	case k.Effect == decide.Keyed && !st.Keyed:
		return nil, fmt.Errorf("class %q needs k", st.Class)
	case !c.s.conf.Claims.Claim(st.ID): // members would take two requests with the same id for copies of one
		return nil, errInUse
	}
	st.Done = func() { c.s.conf.Claims.Disclaim(st.ID) }
	q := &core.Request{Class: k.Class, Place: k.Place, Tenant: t.Tenant(st.Tenant), Front: front, Group: st.Cluster, Retry: st.Retry, Came: came,
		Written: core.Time(st.After) * time.Millisecond, Call: st,
		Until: came + min(core.Time(min(st.Wait, maxWait))*time.Millisecond, k.Deadline)}
	if k.HasSession() {
		q.Session = st.Key
	}
	return q, nil
}

const maxWait = 60_000 // limit in milliseconds for the time that a client says it waits

// answer writes the final answer to a request.
func (c *conn) answer(a core.Answer) error {
	switch a.Verdict {
	case core.Served:
		body := a.Body.(*pgwire.Buf)
		defer body.Release()
		body.B = pgwire.AppendReady(body.B)
		return c.write(body.B)
	case core.Refused:
		detail := ""
		if a.After > 0 {
			detail = strconv.FormatInt(a.After.Milliseconds(), 10)
		}
		c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.TooManyConnections, "refused, try again later", detail)
	case core.Failed:
		c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.SystemError, "failed, it may or may not have run", "")
	}
	c.out = pgwire.AppendReady(c.out)
	return c.write(c.out)
}

func (c *conn) comeBack() string {
	after := c.s.conf.Terms.Now().ComeBack
	if after <= 0 {
		return ""
	}
	return strconv.FormatInt(after.Milliseconds(), 10)
}

func (c *conn) write(b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(c.s.conf.WriteWait))
	_, err := c.Write(b)
	return err
}

// fatal writes a FATAL error that says why the connection is closed.
func (c *conn) fatal(code, text, detail string) error {
	return c.write(pgwire.AppendError(c.out[:0], "FATAL", code, text, detail))
}
