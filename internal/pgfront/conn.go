package pgfront

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
	"reachwind/internal/throttle"
)

const initialReadSize = 4 << 10 // initial size of a read buffer in bytes

// message is a message that other goroutines post to a connection: an answer, an expired timeout or a request to stop.
type message struct {
	request        *core.Request
	answer         core.Answer
	stop           bool // close once idle
	abandonPartial bool // with stop: do not wait for the rest of a partial message
	expiredRead    int  // number of the read whose timeout expired
	evictPartial   bool // close if a message is partial, to make room
	streamed       bool // the answer was streamed; tail is the rest of it, nil: it was cut short
	tail           []byte
}

// conn is one client connection.
type conn struct {
	*interruptible.Conn[message]
	s              *Server
	refusing       bool // too many connections: answer with an error and close
	readNumber     int  // counts the starts and ends of reads with a timeout; odd during such a read
	stopping       bool
	abandonPartial bool // the process ends very soon: complete messages are answered, partial ones are not waited for
	negotiations   int  // requests for encryption that were declined
	skipping       bool // an extended query was refused: skip messages up to its Sync
	answers        []message
	arrivals       arrivals // arrival times of the bytes in the reader
	work           throttle.Client
	scratch        []byte        // buffer for small answers
	readTimer      *time.Timer   // of the read with a timeout
	silenceTimeout time.Duration // that read ends after so long without bytes,
	readDeadline   time.Time     // and at this time at the latest
	startDeadline  time.Time     // deadline for the start of the startup, then of the first command; zero once that is complete

	// Guarded by Server.mu.
	received   bool      // a byte has been received
	hadCommand bool      // the first command has been received
	evicted    bool      // asked to stop, to make room
	idleSince  time.Time // zero while a command is in progress
	partial    time.Time // when the message began of which a part is still missing; zero: none
	key        key       // identifies the connection in cancel requests
	writing    bool      // a long answer is written to it; afterwards until it waits for a command, or has begun to close

	current atomic.Pointer[core.Request] // the request that a cancel request would cancel; set before it is passed to the core, until its answer is written
}

var (
	errClientGone    = errors.New("client has gone")
	errConnectionEnd = errors.New("end of connection")
	errTooSlow       = errors.New("message took too long to come")
	errStopped       = errors.New("stopping")
	errTransferred   = errors.New("passed on")
	errProtocol      = errors.New("protocol violation")
	errTruncated     = errors.New("answer cut short")
	errIDInUse       = errors.New("a request with this id is in work")
	errEvicted       = errors.New("ended in the middle of a message, to make room")
)

// newConn returns a connection whose startup must begin within StartupTimeout.
func newConn(s *Server, nc net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: interruptible.New[message](nc, initialReadSize), s: s, idleSince: now, startDeadline: now.Add(s.conf.StartupTimeout)}
	c.work = s.conf.Work.NewClient(s.core.Now())
	c.OnRead = func(n int) { c.arrivals.record(n, s.core.Now()) }
	return c
}

// client receives the answer to one request of a connection.
type client struct {
	c       *conn
	request *core.Request
}

// Answer posts the answer to the connection's goroutine.
func (k client) Answer(a core.Answer) {
	if !k.c.Post(message{request: k.request, answer: a}) && a.Body != nil {
		a.Body.Release()
	}
}

// serve runs the connection until it is closed.
func (c *conn) serve() { c.serveFrom(c.startup()) }

// serveFrom runs the connection after the startup, which returned err.
func (c *conn) serveFrom(err error) {
	defer func() { c.s.readAheadBytes.Add(-int64(c.Reader.Size() - initialReadSize)) }()
	for err == nil {
		err = c.next()
	}
	lingerBytes := maxLingerBytes
	if errors.Is(err, pgwire.ErrTooLong) || errors.Is(err, errProtocol) || errors.Is(err, errTooSlow) {
		lingerBytes = maxBrokenLingerBytes
		c.s.protocolErrorLog.Info(c.s.log, "client broke the protocol", "err", err)
		_ = c.writeFatal(pgwire.ProtocolViolation, err.Error(), "")
	}
	if errors.Is(err, errEvicted) {
		lingerBytes = maxBrokenLingerBytes
		c.s.evictedLog.Info(c.s.log, "client closed in the middle of a message: too many connections", "client", c.RemoteAddr())
		_ = c.writeFatal(pgwire.TooManyConnections, "too many connections", c.retryAfterMs())
	}
	for _, m := range append(c.answers, c.CloseMailbox()...) {
		if m.answer.Body != nil {
			m.answer.Body.Release()
		}
	}
	if errors.Is(err, errTransferred) || clientClosed(err) {
		_ = c.Conn.Close()
		return
	}
	c.s.linger(c, lingerBytes)
}

// clientClosed reports whether err, which ended a connection, means that the client has closed it. No lingering close is
// needed then, as the client no longer reads answers that a reset could lose.
func clientClosed(err error) bool {
	for _, e := range []error{errClientGone, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// handleMessages handles the messages in the mailbox.
func (c *conn) handleMessages() error {
	for _, m := range c.TakeMessages() {
		switch {
		case m.request != nil:
			c.answers = append(c.answers, m)
		case m.stop:
			c.stopping = true
			if m.abandonPartial && !c.abandonPartial {
				c.abandonPartial = true
				c.shortenTimeout()
			}
		case m.evictPartial:
			if c.s.stillPartial(c) {
				return errEvicted
			}
		case m.expiredRead == c.readNumber:
			left := min(c.silenceTimeout-c.SilentFor(), time.Until(c.readDeadline))
			switch {
			case left > 0:
				c.scheduleTimeoutCheck(left)
			case c.abandonPartial:
				return errStopped
			default:
				return errTooSlow
			}
		}
	}
	return nil
}

// setTimeouts sets timeouts for reads until stop is called: they fail once no byte has arrived for the time silence, and
// after total in any case. So a silent client cannot keep a connection, and one that stalls within a message cannot keep a
// buffer.
func (c *conn) setTimeouts(silence, total time.Duration) (stop func()) {
	c.readNumber++
	c.silenceTimeout, c.readDeadline = silence, time.Now().Add(total)
	c.scheduleTimeoutCheck(silence)
	read := c.readNumber
	return func() {
		if c.readNumber == read { // stop may be called again
			c.readTimer.Stop()
			c.readNumber++
		}
	}
}

// scheduleTimeoutCheck has the connection's goroutine check the timeouts of the current read after the given time.
func (c *conn) scheduleTimeoutCheck(after time.Duration) {
	read := c.readNumber
	c.readTimer = time.AfterFunc(after, func() { c.Post(message{expiredRead: read}) })
}

// setMessageTimeouts sets the timeouts for the rest of a message that has begun: StartupTimeout without bytes, four times
// that in total.
func (c *conn) setMessageTimeouts() (stop func()) {
	wait := c.s.conf.StartupTimeout
	if c.abandonPartial {
		wait = min(wait, shutdownSilenceTimeout)
	}
	c.s.markPartial(c, time.Now())
	stopTimeouts := c.setTimeouts(wait, 4*c.s.conf.StartupTimeout)
	return func() {
		c.s.markPartial(c, time.Time{})
		stopTimeouts()
	}
}

const shutdownSilenceTimeout = 10 * time.Millisecond // timeout without bytes for the rest of a message when the process ends

// shortenTimeout shortens the timeout of the current read, if it has one.
func (c *conn) shortenTimeout() {
	if c.readNumber%2 == 1 && c.silenceTimeout > shutdownSilenceTimeout {
		c.readTimer.Stop()
		c.silenceTimeout = shutdownSilenceTimeout
		c.scheduleTimeoutCheck(shutdownSilenceTimeout)
	}
}

// handleMessagesIdle handles the messages in the mailbox while the connection is between commands, where a stopping
// connection ends. A command may be unread in the socket because the deadline that interrupted the read hides it. It is
// served first: closing the connection over unread bytes would reset it, and the client could lose the previous answer.
func (c *conn) handleMessagesIdle() error {
	if err := c.handleMessages(); err != nil {
		return err
	}
	return c.checkStop(true)
}

// checkStop decides whether a stopping connection ends here: errTransferred means that another process has accepted it, with
// whatever arrives on it; errStopped that no bytes wait to be read; nil that it is still served. A command that arrives
// after this check is not served: its client finds the connection closed and retries.
func (c *conn) checkStop(began bool) error {
	switch {
	case !c.stopping:
		return nil
	case c.Reader.Buffered() == 0 && c.s.transfer(c.Conn.Conn, began):
		return errTransferred
	case c.NoPendingInput():
		return errStopped
	}
	return nil
}

// startup reads the startup message and answers it up to the first ReadyForQuery.
func (c *conn) startup() error {
	wait := time.Until(c.startDeadline)
	if c.refusing {
		wait = c.s.conf.LingerTimeout
	}
	stop := c.setTimeouts(wait, wait)
	interrupted := func() error {
		if err := c.handleMessages(); err != nil {
			return err
		}
		return c.checkStop(false)
	}
	_, err := c.Peek(1, interrupted)
	stop()
	if err != nil {
		return err
	}
	c.s.markReceived(c)
	interrupted = c.handleMessages // a startup message that has begun is read by this process
	if c.refusing {
		defer c.setTimeouts(wait, wait)()
	} else {
		defer c.setMessageTimeouts()()
	}
	for {
		head, err := c.Peek(4, interrupted)
		if err != nil {
			return err
		}
		n, err := pgwire.StartupLen(head)
		if err != nil {
			return err
		}
		body := make([]byte, n)
		_, _ = c.Reader.Discard(4)
		if err := c.ReadFull(body, interrupted); err != nil {
			return err
		}
		switch version := binary.BigEndian.Uint32(body); {
		case version == pgwire.SSLRequest, version == pgwire.GSSENCRequest:
			if c.negotiations++; c.negotiations > maxNegotiations {
				return fmt.Errorf("%w: more than %d requests for encryption", errProtocol, maxNegotiations)
			}
			if err := c.write([]byte{'N'}); err != nil {
				return err
			}
			continue
		case version == pgwire.CancelRequest:
			c.s.cancel(body)
			return errConnectionEnd
		case version>>16 != 3:
			return fmt.Errorf("%w: version %d.%d", errProtocol, version>>16, version&0xffff)
		}
		break
	}
	if c.refusing {
		if err := c.writeFatal(pgwire.TooManyConnections, "too many connections", c.retryAfterMs()); err != nil {
			return err
		}
		return errConnectionEnd
	}
	out := pgwire.Append(c.scratch[:0], 'R', "\x00\x00\x00\x00")
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}} {
		out = pgwire.AppendParameterStatus(out, p[0], p[1])
	}
	out = pgwire.Append(out, 'K', c.s.newKey(c))
	c.scratch = pgwire.AppendReadyForQuery(out)
	c.startDeadline = time.Now().Add(c.s.conf.StartupTimeout)
	return c.write(c.scratch)
}

const maxNegotiations = 2 // requests for encryption on a connection: one of each kind

// next reads one message of the client and answers it.
func (c *conn) next() error {
	if err := c.awaitTurn(); err != nil {
		return err
	}
	if err := c.checkStop(true); err != nil {
		return err
	}
	c.s.markIdle(c)
	c.arrivals.discard(c.Reader.Buffered())
	stop := func() {}
	if !c.startDeadline.IsZero() { // guards against clients that connect and never send a command
		left := time.Until(c.startDeadline)
		stop = c.setTimeouts(left, left)
	}
	_, err := c.Peek(1, c.handleMessagesIdle)
	stop()
	if err != nil {
		return err
	}
	c.s.markBusy(c)
	if c.Reader.Buffered() < 5 {
		stop = c.setMessageTimeouts()
	}
	head, err := c.Peek(5, c.handleMessages)
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
	if err := c.discard(n); err != nil {
		return err
	}
	c.chargeLocal(n)
	switch typ {
	case 'X':
		return errConnectionEnd
	case 'S':
		c.skipping = false
		return c.write(pgwire.AppendReadyForQuery(c.scratch[:0]))
	case 'H': // Flush: every answer is already flushed
		return nil
	case 'P', 'B', 'D', 'E', 'C', 'F':
		if c.skipping {
			return nil
		}
		c.skipping = typ != 'F'
		c.scratch = pgwire.AppendError(c.scratch[:0], "ERROR", pgwire.Unsupported, "only simple queries are served", "")
		if typ == 'F' {
			c.scratch = pgwire.AppendReadyForQuery(c.scratch)
		}
		return c.write(c.scratch)
	}
	return fmt.Errorf("%w: message type %q", errProtocol, typ)
}

// discard discards n bytes.
func (c *conn) discard(n int) error {
	defer c.setMessageTimeouts()()
	for n > 0 {
		if _, err := c.Peek(1, c.handleMessages); err != nil {
			return err
		}
		m, _ := c.Reader.Discard(min(n, c.Reader.Buffered()))
		n -= m
	}
	c.startDeadline = time.Time{}
	return nil
}

// query reads a statement of n bytes and answers it.
func (c *conn) query(n int) error {
	if n < 1 {
		return fmt.Errorf("%w: query without end", errProtocol)
	}
	stop := func() {}
	if c.Reader.Buffered() < n {
		stop = c.setMessageTimeouts()
	}
	buf, err := c.readStatement(n)
	stop()
	if err != nil {
		return err
	}
	if buf == nil {
		return c.refuseWithoutBuffer(n)
	}
	c.startDeadline = time.Time{}
	receivedAt := c.arrivals.arrivalTime(c.Reader.Buffered(), c.s.core.Now()) // the deadline counts from the arrival of the last byte
	if buf.B[n-1] != 0 {
		buf.Release()
		return fmt.Errorf("%w: query without end", errProtocol)
	}
	buf.B = buf.B[:n-1]
	if out, ok := answerLocally(c.scratch[:0], buf.B); ok {
		c.chargeLocal(n)
		buf.Release()
		c.scratch = pgwire.AppendReadyForQuery(out)
		return c.write(c.scratch)
	}
	q, err := c.newRequest(buf, receivedAt)
	if err != nil {
		c.chargeLocal(n)
		buf.Release()
		code, cause := pgwire.SyntaxError, record.Invalid
		if errors.Is(err, errIDInUse) {
			code, cause = pgwire.DuplicateObject, record.InUse
		}
		c.s.core.RecordFrontOutcome(front, record.Failed, cause)
		c.scratch = pgwire.AppendError(c.scratch[:0], "ERROR", code, err.Error(), "")
		c.scratch = pgwire.AppendReadyForQuery(c.scratch)
		return c.write(c.scratch)
	}
	q.Client = client{c, q}
	c.current.Store(q)
	defer c.current.Store(nil)
	c.s.core.Arrive(q)
	m, err := c.awaitAnswer(q)
	if err != nil {
		c.s.core.Gone(q)
		return err
	}
	c.chargeAnswered(n, m.answer)
	if s, ok := m.answer.Body.(*pgwire.Stream); ok {
		return c.streamAnswer(q, s)
	}
	if m.answer.Cancelled {
		return c.writeCancelled()
	}
	return c.writeAnswer(m.answer)
}

// streamAnswer streams an answer. Meanwhile the member's goroutine owns the sending side of the connection; this one
// continues to read, and detects that the client closes the connection.
func (c *conn) streamAnswer(q *core.Request, s *pgwire.Stream) error {
	c.s.markWriting(c)
	w := newStreamWriter(c)
	s.Start(w, func(tail []byte) {
		w.end()
		c.Post(message{request: q, streamed: true, tail: tail})
	})
	m, err := c.awaitAnswer(q)
	switch {
	case err != nil:
		c.s.core.Gone(q)
		return err
	case m.tail == nil: // the client detects the truncated answer by the end of the connection
		return errTruncated
	}
	return c.write(pgwire.AppendReadyForQuery(m.tail))
}

// readStatement reads the n bytes of a query into a buffer; it returns nil if none is available.
func (c *conn) readStatement(n int) (*pgwire.Buf, error) {
	if n <= c.Reader.Size() { // guards against clients that send part of a statement and thus keep a buffer
		if _, err := c.Peek(n, c.handleMessages); err != nil {
			return nil, err
		}
	}
	buf := c.s.bufs.Get(n, c.s.conf.ReservedBuffers)
	if buf == nil {
		return nil, nil
	}
	buf.B = buf.B[:n]
	if err := c.ReadFull(buf.B, c.handleMessages); err != nil {
		buf.Release()
		return nil, err
	}
	return buf, nil
}

// refuseWithoutBuffer refuses a query of n bytes for which no buffer is available.
func (c *conn) refuseWithoutBuffer(n int) error {
	if err := c.discard(n); err != nil {
		return err
	}
	c.chargeLocal(n)
	c.s.core.RecordFrontOutcome(front, record.Refused, record.Buffers)
	c.s.noBufferLog.Warn(c.s.log, "request refused: out of buffers")
	c.scratch = pgwire.AppendError(c.scratch[:0], "ERROR", pgwire.TooManyConnections, "too many requests", c.retryAfterMs())
	return c.write(pgwire.AppendReadyForQuery(c.scratch))
}

// answerLocally answers statements that need no member: empty queries, and session settings, which have no effect.
func answerLocally(out, text []byte) ([]byte, bool) {
	if pgwire.Empty(text) {
		return pgwire.Append(out, 'I'), true
	}
	switch verb := pgwire.Verb(text); verb {
	case "SET", "RESET", "DISCARD":
		return pgwire.Append(out, 'C', verb, "\x00"), true
	}
	return out, false
}

// newRequest makes a request from the statement in buf. came is the arrival time of its last byte.
func (c *conn) newRequest(buf *pgwire.Buf, receivedAt core.Time) (*core.Request, error) {
	st, err := pgwire.Parse(buf)
	if err != nil {
		return nil, err
	}
	settings := c.s.conf.Settings.Current()
	class, ok := settings.Class(st.Class, receivedAt)
	if !ok {
		return nil, fmt.Errorf("unknown class %.40q", st.Class)
	}
	switch {
	case st.IsRead == class.Writes():
		return nil, fmt.Errorf("class %q takes no such statement", st.Class)
	case class.Effect == decide.Keyed && !st.HasIdempotencyKey:
		return nil, fmt.Errorf("class %q needs k", st.Class)
	case !c.s.conf.Claims.Claim(st.ID): // members would take two requests with the same id for copies of one
		return nil, errIDInUse
	}
	st.Done = func() { c.s.conf.Claims.Release(st.ID) }
	q := &core.Request{Class: class.Class, ClassIndex: class.Index, Tenant: settings.TenantIndex(st.Tenant), Front: front, Group: st.Cluster, Retry: st.Retry, ReceivedAt: receivedAt,
		LastWrite: core.Time(st.LastWriteUnixMs) * time.Millisecond, Call: st,
		Deadline: receivedAt + min(core.Time(min(st.WaitMs, maxWaitMs))*time.Millisecond, class.Deadline)}
	if class.HasSession() {
		q.Session = st.ItemKey
	}
	if class.Effect != decide.Repeatable {
		q.Abandoned = func() { c.s.conf.Claims.Retain(st.ID, class.Deadline+class.KeyWindow) }
	}
	return q, nil
}

const maxWaitMs = 60_000 // limit in milliseconds for the time that a client says it waits

// writeAnswer writes the final answer to a request.
func (c *conn) writeAnswer(a core.Answer) error {
	switch a.Verdict {
	case core.Served:
		body := a.Body.(*pgwire.Buf)
		defer body.Release()
		body.B = pgwire.AppendReadyForQuery(body.B)
		if len(body.B) > maxQuickAnswer {
			c.s.markWriting(c)
		}
		return c.write(body.B)
	case core.Refused:
		detail := ""
		if a.RetryAfter > 0 {
			detail = strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)
		}
		c.scratch = pgwire.AppendError(c.scratch[:0], "ERROR", pgwire.TooManyConnections, "refused, try again later", detail)
	case core.Failed:
		c.scratch = pgwire.AppendError(c.scratch[:0], "ERROR", pgwire.SystemError, "failed, it may or may not have run", "")
	}
	c.scratch = pgwire.AppendReadyForQuery(c.scratch)
	return c.write(c.scratch)
}

// retryAfterMs returns the configured time after which a refused client should retry, in milliseconds, or "" for none. It
// is the detail of errors for too many connections or requests.
func (c *conn) retryAfterMs() string {
	after := c.s.conf.Settings.Current().RetryAfter
	if after <= 0 {
		return ""
	}
	return strconv.FormatInt(after.Milliseconds(), 10)
}

// write writes b to the client within WriteTimeout.
func (c *conn) write(b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(c.s.conf.WriteTimeout))
	_, err := c.Write(b)
	return err
}

// writeFatal writes a FATAL error that says why the connection is closed.
func (c *conn) writeFatal(code, text, detail string) error {
	return c.write(pgwire.AppendError(c.scratch[:0], "FATAL", code, text, detail))
}
