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
	"reachwind/internal/interruptible"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
)

const readSize = 4 << 10

// message is what others leave a connection: an answer, or word to stop.
type message struct {
	request *core.Request
	answer  core.Answer
	stop    bool // close once idle
	last    bool // and do not wait for the rest of a message
	expire  int  // the time for this read is up
	passed  bool // the answer has passed through; tail is what is left of it, nil: it is not whole
	tail    []byte
}

// conn is one client connection.
type conn struct {
	*interruptible.Conn[message]
	s        *Server
	refuse   bool // too many connections: say so and close
	reads    int  // counts reads with a time limit; odd while one is on
	stopping bool
	last     bool // the process ends very soon: what is whole is answered, half a message is not waited for
	skipping bool // an extended query was refused: skip to its Sync
	answered []message
	arrivals arrivals      // of what is in the reader
	out      []byte        // small answers are put together here
	timer    *time.Timer   // of the read with a time limit,
	wait     time.Duration // which ends after such a silence,
	until    time.Time     // and then at the latest
	due      time.Time     // the startup, then the first command, must have begun by then; zero once that is whole

	// Under the server's lock.
	spoke     bool      // some byte has come
	asked     bool      // its first command has come
	leaving   bool      // told to stop, to make room
	idleSince time.Time // zero with a command in work
	key       key       // names it in cancel requests

	work atomic.Pointer[core.Request] // what a cancel request would cancel; set before the request arrives
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
	c := &conn{Conn: interruptible.New[message](nc, readSize), s: s, idleSince: now, due: now.Add(s.conf.StartupTimeout)}
	c.OnRead = func(n int) { c.arrivals.came(n, s.core.Now()) }
	return c
}

// client takes the answer to one request of a connection.
type client struct {
	c       *conn
	request *core.Request
}

// Answer leaves the answer for the connection's goroutine.
func (k client) Answer(a core.Answer) {
	if !k.c.Post(message{request: k.request, answer: a}) && a.Body != nil {
		a.Body.Release()
	}
}

// serve runs the connection to its end.
func (c *conn) serve() { c.serveFrom(c.startup()) }

// serveFrom goes on after the startup, which ended with err.
func (c *conn) serveFrom(err error) {
	defer func() { c.s.ahead.Add(-int64(c.Reader.Size() - readSize)) }()
	for err == nil {
		err = c.next()
	}
	if errors.Is(err, pgwire.ErrTooLong) || errors.Is(err, errProtocol) || errors.Is(err, errTooSlow) {
		c.s.broken.Info(c.s.log, "client broke the protocol", "err", err)
		_ = c.fatal(pgwire.ProtocolViolation, err.Error(), "")
	}
	for _, m := range append(c.answered, c.CloseMailbox()...) {
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

// hasLeft tells by what ended a connection that its client has closed it: nobody reads what a close could take along.
func hasLeft(err error) bool {
	for _, e := range []error{errGone, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// woken looks into the mailbox.
func (c *conn) woken() error {
	for _, m := range c.TakeMessages() {
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
			left := min(c.wait-c.SilentFor(), time.Until(c.until))
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

// limit bounds a read until stop is called, so that a client that says nothing does not keep a connection, nor one
// that stalls halfway through a message a buffer: it ends once nothing has come for wait, and after most in any case.
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

// look has the goroutine look after so long whether its read is over its limit.
func (c *conn) look(after time.Duration) {
	read := c.reads
	c.timer = time.AfterFunc(after, func() { c.Post(message{expire: read}) })
}

// limitMessage limits the read of a message that has begun: its client may pause for the time to start, four times that in all.
func (c *conn) limitMessage() (stop func()) {
	wait := c.s.conf.StartupTimeout
	if c.last {
		wait = min(wait, lastWait)
	}
	return c.limit(wait, 4*c.s.conf.StartupTimeout)
}

const lastWait = 10 * time.Millisecond // a message that has begun may pause so long when the process ends

// hurry shortens the limit of the read that is on, if it has one.
func (c *conn) hurry() {
	if c.reads%2 == 1 && c.wait > lastWait {
		c.timer.Stop()
		c.wait = lastWait
		c.look(lastWait)
	}
}

// idle is woken, for when nothing of a message has come: a stopping connection
// ends there. A command may wait in the socket, unseen for the deadline that
// woke the read: it is served first, as to close on it would reset the
// connection, and with it perhaps the answer before.
func (c *conn) idle() error {
	if err := c.woken(); err != nil {
		return err
	}
	return c.parts(true)
}

// parts tells whether a stopping connection can be let go here: errPassed if another process has taken it over, with
// whatever comes on it; errSevered if nothing has come. What comes after that look is not served: its client finds
// the connection ended and asks again. Nil: it is served on.
func (c *conn) parts(began bool) error {
	switch {
	case !c.stopping:
		return nil
	case c.Reader.Buffered() == 0 && c.s.pass(c.Conn.Conn, began):
		return errPassed
	case c.NoPendingInput():
		return errSevered
	}
	return nil
}

// startup reads the startup message and welcomes the client.
func (c *conn) startup() error {
	wait := time.Until(c.due)
	if c.refuse {
		wait = c.s.conf.LingerTimeout
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
	woken = c.woken // what it has begun to send is read here
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
		_, _ = c.Reader.Discard(4)
		if err := c.ReadFull(body, woken); err != nil {
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
		out = pgwire.AppendParameterStatus(out, p[0], p[1])
	}
	out = pgwire.Append(out, 'K', c.s.newKey(c))
	c.out = pgwire.AppendReadyForQuery(out)
	c.due = time.Now().Add(c.s.conf.StartupTimeout)
	return c.write(c.out)
}

// next reads one message and answers it.
func (c *conn) next() error {
	if err := c.parts(true); err != nil {
		return err
	}
	c.s.idle(c)
	c.arrivals.forget(c.Reader.Buffered())
	stop := func() {}
	if !c.due.IsZero() { // guards against clients that connect and never ask
		left := time.Until(c.due)
		stop = c.limit(left, left)
	}
	_, err := c.Peek(1, c.idle)
	stop()
	if err != nil {
		return err
	}
	c.s.busy(c)
	if c.Reader.Buffered() < 5 {
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
	_, _ = c.Reader.Discard(5)
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
		return c.write(pgwire.AppendReadyForQuery(c.out[:0]))
	case 'H': // flush: all is flushed
		return nil
	case 'P', 'B', 'D', 'E', 'C', 'F':
		if c.skipping {
			return nil
		}
		c.skipping = typ != 'F'
		c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.Unsupported, "only simple queries are served", "")
		if typ == 'F' {
			c.out = pgwire.AppendReadyForQuery(c.out)
		}
		return c.write(c.out)
	}
	return fmt.Errorf("%w: message type %q", errProtocol, typ)
}

// skip passes over n bytes.
func (c *conn) skip(n int) error {
	defer c.limitMessage()()
	for n > 0 {
		if _, err := c.Peek(1, c.woken); err != nil {
			return err
		}
		m, _ := c.Reader.Discard(min(n, c.Reader.Buffered()))
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
	if c.Reader.Buffered() < n {
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
	came := c.arrivals.last(c.Reader.Buffered(), c.s.core.Now()) // its time counts from its last byte
	if buf.B[n-1] != 0 {
		buf.Release()
		return fmt.Errorf("%w: query without end", errProtocol)
	}
	buf.B = buf.B[:n-1]
	if out, ok := local(c.out[:0], buf.B); ok {
		buf.Release()
		c.out = pgwire.AppendReadyForQuery(out)
		return c.write(c.out)
	}
	q, err := c.request(buf, came)
	if err != nil {
		buf.Release()
		code, why := pgwire.SyntaxError, record.Invalid
		if errors.Is(err, errInUse) {
			code, why = pgwire.DuplicateObject, record.InUse
		}
		c.s.core.RecordFrontOutcome(front, record.Failed, why)
		c.out = pgwire.AppendError(c.out[:0], "ERROR", code, err.Error(), "")
		c.out = pgwire.AppendReadyForQuery(c.out)
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

// pass has an answer pass through. The connection's sending side is lent to the member's goroutine meanwhile; the read
// goes on, and sees the client leave.
func (c *conn) pass(q *core.Request, s *pgwire.Stream) error {
	s.Start(&lent{c: c, end: time.Now().Add(passMost)}, func(tail []byte) {
		c.Post(message{request: q, passed: true, tail: tail})
	})
	m, err := c.await(q)
	switch {
	case err != nil:
		c.s.core.Gone(q)
		return err
	case m.tail == nil: // the client sees that it is not whole by the connection's end
		return errCut
	}
	return c.write(pgwire.AppendReadyForQuery(m.tail))
}

const passMost = time.Minute // that an answer may take to pass through, whatever the pace of the client and the member

// lent is the sending side of a client's connection while an answer passes through.
type lent struct {
	c   *conn
	end time.Time
}

// Write writes all of b, or fails: the client must take some of it within the time for an answer, and the whole by end.
func (l *lent) Write(b []byte) (done int, err error) {
	for done < len(b) && err == nil {
		until := time.Now().Add(l.c.s.conf.WriteTimeout)
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

// text reads the n bytes of a query into a buffer; there may be none left for it.
func (c *conn) text(n int) (*pgwire.Buf, error) {
	if n <= c.Reader.Size() { // guards against clients that send half a statement and so keep a buffer
		if _, err := c.Peek(n, c.woken); err != nil {
			return nil, err
		}
	}
	buf := c.s.bufs.Get(n, c.s.conf.ReservedBuffers)
	if buf == nil {
		return nil, nil
	}
	buf.B = buf.B[:n]
	if err := c.ReadFull(buf.B, c.woken); err != nil {
		buf.Release()
		return nil, err
	}
	return buf, nil
}

// full refuses a query that there is no buffer for.
func (c *conn) full(n int) error {
	if err := c.skip(n); err != nil {
		return err
	}
	c.s.core.RecordFrontOutcome(front, record.Refused, record.Buffers)
	c.s.full.Warn(c.s.log, "request refused: out of buffers")
	c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.TooManyConnections, "too many requests", c.comeBack())
	return c.write(pgwire.AppendReadyForQuery(c.out))
}

// local answers what needs no member: empty queries, and settings of the session, which have no effect.
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

// request makes a request of the statement in buf.
func (c *conn) request(buf *pgwire.Buf, came core.Time) (*core.Request, error) {
	st, err := pgwire.Parse(buf)
	if err != nil {
		return nil, err
	}
	t := c.s.conf.Settings.Current()
	k, ok := t.Class(st.Class, came)
	if !ok {
		return nil, fmt.Errorf("unknown class %.40q", st.Class)
	}
	switch {
	case st.IsRead == k.Writes():
		return nil, fmt.Errorf("class %q takes no such statement", st.Class)
	case k.Effect == decide.Keyed && !st.HasIdempotencyKey:
		return nil, fmt.Errorf("class %q needs k", st.Class)
	case !c.s.conf.Claims.Claim(st.ID): // under one id two requests would look to members like copies of one
		return nil, errInUse
	}
	st.Done = func() { c.s.conf.Claims.Release(st.ID) }
	q := &core.Request{Class: k.Class, ClassIndex: k.Index, Tenant: t.TenantIndex(st.Tenant), Front: front, Group: st.Cluster, Retry: st.Retry, ReceivedAt: came,
		LastWrite: core.Time(st.LastWriteUnixMs) * time.Millisecond, Call: st,
		Deadline: came + min(core.Time(min(st.WaitMs, maxWait))*time.Millisecond, k.Deadline)}
	if k.HasSession() {
		q.Session = st.ItemKey
	}
	return q, nil
}

const maxWait = 60_000 // ms; no client waits longer

// answer writes a final answer.
func (c *conn) answer(a core.Answer) error {
	switch a.Verdict {
	case core.Served:
		body := a.Body.(*pgwire.Buf)
		defer body.Release()
		body.B = pgwire.AppendReadyForQuery(body.B)
		return c.write(body.B)
	case core.Refused:
		detail := ""
		if a.RetryAfter > 0 {
			detail = strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)
		}
		c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.TooManyConnections, "refused, try again later", detail)
	case core.Failed:
		c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.SystemError, "failed, it may or may not have run", "")
	}
	c.out = pgwire.AppendReadyForQuery(c.out)
	return c.write(c.out)
}

func (c *conn) comeBack() string {
	after := c.s.conf.Settings.Current().RetryAfter
	if after <= 0 {
		return ""
	}
	return strconv.FormatInt(after.Milliseconds(), 10)
}

func (c *conn) write(b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(c.s.conf.WriteTimeout))
	_, err := c.Write(b)
	return err
}

// fatal says why the connection ends.
func (c *conn) fatal(code, text, detail string) error {
	return c.write(pgwire.AppendError(c.out[:0], "FATAL", code, text, detail))
}
